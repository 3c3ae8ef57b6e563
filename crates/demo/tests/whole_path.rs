//! Runs the demo program, whose requests pass through every role and back to their callers.

use std::process::Command;

use serde_json::Value;

fn run_demo(args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_jujube-demo"))
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn every_request_completes_and_no_booking_runs_twice() {
    let (code, stdout, stderr) = run_demo(&["--json"]);
    assert_eq!(code, Some(0), "{stdout}{stderr}");
    let report: Value = serde_json::from_str(&stdout).unwrap();
    let requests = report["requests"].as_array().unwrap();
    assert_eq!(requests.len(), 10);
    assert!(
        requests
            .iter()
            .all(|response| response["outcome"] == "completed"),
        "{stdout}"
    );
    let streamed: Vec<&Value> = requests
        .iter()
        .filter(|response| response["manner"] == "streamed")
        .collect();
    assert_eq!(streamed.len(), 2);
    assert!(
        streamed
            .iter()
            .all(|response| response["events"].as_u64() > Some(2)),
        "{stdout}"
    );
    for pair in requests.chunks(5) {
        let (first, repeat) = (&pair[2], &pair[3]);
        assert_eq!(
            first["output"], repeat["output"],
            "a repeated request gets the stored response"
        );
        assert_eq!(repeat["executions"], 1);
        let routed = &pair[4];
        assert_eq!(routed["output"]["path"], "/notices/today", "{stdout}");
        assert_eq!(routed["output"]["workspace"], "demo-callers");
    }
}

#[test]
fn wrong_usage_ends_with_code_2() {
    let (code, _, stderr) = run_demo(&["--fast"]);
    assert_eq!(code, Some(2));
    assert!(stderr.contains("--fast"), "{stderr}");
}
