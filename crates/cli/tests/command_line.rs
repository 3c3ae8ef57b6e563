//! Runs the program as an operator or a CI job does.

use std::{
    fs,
    net::TcpListener,
    process::{Command, Output},
};

use expect_test::{Expect, expect};
use tempfile::TempDir;

/// A temporary folder with documents, in which the program runs.
struct Workdir {
    folder: TempDir,
}

impl Workdir {
    fn new() -> Self {
        Self {
            folder: TempDir::new().unwrap(),
        }
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_jujubeferry"))
            .args(args)
            .current_dir(self.folder.path())
            .env_remove("JUJUBEFERRY_KEEPERS")
            .env_remove("JUJUBEFERRY_TOKEN_FILE")
            .output()
            .unwrap()
    }
}

/// A declaration without findings.
const USED: &str = "[service a]\nkind = plain\nrepeatable = yes\n[route r]\nhost = h\n\
                    path_prefix = /\nrepeat = anew\npublic = yes\nservices = a 1\nattempts = 2\n";

fn assert_output(output: &Output, code: i32, stdout: Expect, stderr: Expect) {
    stdout.assert_eq(&String::from_utf8_lossy(&output.stdout));
    stderr.assert_eq(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn check_lists_every_fault_and_ends_with_code_3() {
    let workdir = Workdir::new();
    workdir.write(
        "d.ini",
        "[service a]\nkind = plain\nrepeatable = si\n[pipeline p]\nstages = b\n",
    );
    let expected = expect![[r#"
        d.ini:3: service a: repeatable: `si` is neither yes nor no; write `yes` or `no`
        d.ini:5: pipeline p: stages: service `b` is not declared; add `[service b]` or remove it
    "#]];
    assert_output(&workdir.run(&["check", "d.ini"]), 3, expect![""], expected);
}

#[test]
fn check_needs_no_server() {
    let workdir = Workdir::new();
    workdir.write("d.ini", USED);
    let text = expect![[r#"
        d.ini: valid: 0 availability zones, 1 services, 0 pipelines, 0 workspaces
    "#]];
    assert_output(&workdir.run(&["check", "d.ini"]), 0, text, expect![""]);
    let json = expect![[r#"
        {"availability_zones":0,"pipelines":0,"services":1,"workspaces":0}
    "#]];
    assert_output(
        &workdir.run(&["check", "--json", "d.ini"]),
        0,
        json,
        expect![""],
    );
}

#[test]
fn check_prints_findings_and_differences_and_ends_with_code_0() {
    let workdir = Workdir::new();
    workdir.write("old.ini", USED);
    workdir.write("new.ini", &USED.replace("attempts = 2", "attempts = 1"));
    let args = ["check", "new.ini", "--against", "old.ini"];
    let text = expect![[r#"
        new.ini: valid: 0 availability zones, 1 services, 0 pipelines, 0 workspaces
        new.ini: warning: route r: repeat: has no effect with `attempts = 1`; raise `attempts`
        against old.ini:
          [route r]
        - attempts = 2
        + attempts = 1
          host = h
          path_prefix = /
          public = yes
          repeat = anew
          services = a 1
    "#]];
    assert_output(&workdir.run(&args), 0, text, expect![""]);
    let no_keepers = workdir.run(&["check", "new.ini", "--in-force"]);
    assert_eq!(no_keepers.status.code(), Some(2));
}

#[test]
fn wrong_usage_ends_with_code_2() {
    let workdir = Workdir::new();
    let no_verb = expect![[r#"
        jujubeferry: no verb given; see `jujubeferry --help`
    "#]];
    assert_output(&workdir.run(&[]), 2, expect![""], no_verb);
    let unknown = expect![[r#"
        jujubeferry: unknown verb `fly`; see `jujubeferry --help`
    "#]];
    assert_output(&workdir.run(&["fly"]), 2, expect![""], unknown);
    let no_keepers = expect![[r#"
        jujubeferry: no keepers given; add --keepers IP:PORT or set JUJUBEFERRY_KEEPERS; see `jujubeferry --help`
    "#]];
    assert_output(&workdir.run(&["export"]), 2, expect![""], no_keepers);
    let missing = workdir.run(&["check", "absent.ini"]);
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn a_keeper_that_cannot_be_reached_ends_with_code_5_and_the_change_id() {
    let workdir = Workdir::new();
    workdir.write("d.ini", "[service a]\nkind = plain\nrepeatable = yes\n");
    // The listener is dropped at once, so connections to its port are refused.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let keepers = address.to_string();
    let id = "0198c0de-0000-7000-8000-000000000001";
    let args = [
        "apply",
        "d.ini",
        "--reason",
        "r",
        "--change",
        id,
        "--keepers",
        &keepers,
    ];
    let output = workdir.run(&args);
    assert_eq!(output.status.code(), Some(5));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains(&format!("change {id}")), "{stderr}");
    assert!(stderr.contains(&keepers), "{stderr}");
}

#[test]
fn help_names_every_verb_and_exit_code() {
    let workdir = Workdir::new();
    let output = workdir.run(&["--help"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for verb in [
        "check",
        "diff",
        "apply",
        "export",
        "status",
        "audit",
        "blocked",
        "unblock PART --reason TEXT",
        "zone evacuate NAME --reason TEXT",
        "zone return NAME --reason TEXT",
        "zone status",
        "keeper add",
    ] {
        assert!(
            text.contains(&format!("\n  {verb} ")) || text.contains(&format!("\n  {verb}\n")),
            "{verb}"
        );
    }
    assert_eq!(output.status.code(), Some(0));
}
