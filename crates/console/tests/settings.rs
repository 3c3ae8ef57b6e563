//! Checks the program's settings with `--check`, as an operator does before a start.
//!
//! An integration test in this crate also makes `cargo test --workspace` build `jujube-console`,
//! which the tests of `system` start as a process.

use std::{
    fs,
    process::{Command, Output},
};

use tempfile::TempDir;

const SETTINGS: &str = "\
[vm]
name = rockland-2
availability_zone = rockland
[listen]
http = 127.0.0.1:0
[keepers]
rockland-1 = 127.0.0.1:7404
";

/// Runs `jujube-console --check` on `settings`.
fn check(settings: &str) -> Output {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("console.ini");
    fs::write(&path, settings).unwrap();
    Command::new(env!("CARGO_BIN_EXE_jujube-console"))
        .args(["--check", "--config"])
        .arg(&path)
        .output()
        .unwrap()
}

#[test]
fn valid_settings_pass_the_check_without_a_keeper() {
    let output = check(SETTINGS);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn every_fault_of_the_settings_is_reported_with_its_line() {
    let text = SETTINGS.replace("127.0.0.1:0", "nowhere") + "[log]\nlevle = info\n";
    let output = check(&text);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{output:?}");
    assert!(stderr.contains("console.ini:5"), "{stderr}");
    assert!(stderr.contains("levle"), "{stderr}");
}
