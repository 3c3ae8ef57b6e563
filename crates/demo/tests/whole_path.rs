//! The whole path as a newcomer runs it: from callers through every stage and back.

use std::process::Command;

use serde_json::Value;

fn demo(args: &[&str]) -> (Option<i32>, String, String) {
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
    let (code, stdout, stderr) = demo(&["--json"]);
    assert_eq!(code, Some(0), "{stdout}{stderr}");
    let told: Value = serde_json::from_str(&stdout).unwrap();
    let requests = told["requests"].as_array().unwrap();
    assert_eq!(requests.len(), 10);
    assert!(
        requests.iter().all(|got| got["outcome"] == "completed"),
        "{stdout}"
    );
    let streamed: Vec<&Value> = requests
        .iter()
        .filter(|got| got["manner"] == "streamed")
        .collect();
    assert_eq!(streamed.len(), 2);
    assert!(
        streamed.iter().all(|got| got["events"].as_u64() > Some(2)),
        "{stdout}"
    );
    for pair in requests.chunks(5) {
        let (first, again) = (&pair[2], &pair[3]);
        assert_eq!(
            first["output"], again["output"],
            "a repeat gets the stored answer"
        );
        assert_eq!(again["executions"], 1);
        let passed = &pair[4];
        assert_eq!(passed["output"]["path"], "/notices/today", "{stdout}");
        assert_eq!(passed["output"]["workspace"], "demo-callers");
    }
}

#[test]
fn wrong_usage_ends_with_code_2() {
    let (code, _, stderr) = demo(&["--fast"]);
    assert_eq!(code, Some(2));
    assert!(stderr.contains("--fast"), "{stderr}");
}
