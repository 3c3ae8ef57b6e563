//! Runs the commands of `jujube-bench` as processes.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::Value;

/// A process that is killed when its test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts `command` with `settings` and returns the JSON line that it prints first.
fn start(folder: &std::path::Path, command: &str, settings: &str) -> (Process, Value) {
    let file = folder.join("settings.ini");
    std::fs::write(&file, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_jujube-bench"))
        .args([command, "--config"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut stdout = BufReader::new(child.stdout.take().unwrap());
    stdout.read_line(&mut line).unwrap();
    (Process(child), serde_json::from_str(&line).unwrap())
}

fn send_http(address: &Value, request: &str, body: &str) -> String {
    let address: SocketAddr = address.as_str().unwrap().parse().unwrap();
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let length = body.len();
    let head = format!(
        "{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    socket
        .write_all(format!("{head}{body}").as_bytes())
        .unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn a_stand_in_serves_calls_and_writes_its_journal() {
    let folder = tempfile::tempdir().unwrap();
    let settings = "[vm]\nname = roster-1\navailability_zone = a\n\
                    [endpoint]\nservice = roster\nkind = pool\njournal = journal.jsonl\n";
    let (_process, printed) = start(folder.path(), "stand-in", settings);
    let body = r#"{"input":"[#r1] ice"}"#;
    let response = send_http(&printed["address"], "POST /v1/stages/roster", body);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let journal = std::fs::read_to_string(folder.path().join("journal.jsonl")).unwrap();
    let events: Vec<Value> = journal
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    assert_eq!(events[0]["event"], "started");
    assert_eq!(events[1]["event"], "finished");
    assert_eq!(events[1]["subject"], "r1");
}

#[test]
fn the_rules_of_a_proxy_are_set_over_its_control_api() {
    let folder = tempfile::tempdir().unwrap();
    let settings = "[listen]\nhttp = 127.0.0.1:0\n[proxy one]\ndelay_us = 1000\n";
    let (_process, printed) = start(folder.path(), "proxy", settings);
    let listed = send_http(&printed["control"], "GET /v1/proxies", "");
    assert!(listed.contains(r#""delay_us":1000"#), "{listed}");
    let set = send_http(
        &printed["control"],
        "PUT /v1/proxies/one/rules",
        r#"{"cut":"both"}"#,
    );
    assert!(set.contains(r#""cut":"both""#), "{set}");
    let rejected = send_http(
        &printed["control"],
        "PUT /v1/proxies/one/rules",
        r#"{"cat":"both"}"#,
    );
    assert!(rejected.starts_with("HTTP/1.1 400"), "{rejected}");
}

#[test]
fn wrong_usage_exits_with_code_2() {
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jujube-bench"));
        command
            .args(args)
            .stderr(Stdio::null())
            .status()
            .unwrap()
            .code()
    };
    assert_eq!(run(&[]), Some(2));
    assert_eq!(run(&["stand-in"]), Some(2));
    assert_eq!(run(&["experiment"]), Some(2));
    assert_eq!(run(&["proxy", "--config", "x", "--loud"]), Some(2));
}
