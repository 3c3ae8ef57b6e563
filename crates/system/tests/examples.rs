//! The example settings are valid for their roles.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

fn program_folder() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().to_owned()
}

/// Returns the settings files of a deployment, each named `VM.ROLE.ini`.
fn settings_files(deployment: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let files = fs::read_dir(folder.join(deployment)).unwrap();
    let paths = files.map(|f| f.unwrap().path());
    paths
        .filter(|path| !path.ends_with("declaration.ini"))
        .collect()
}

#[test]
fn example_settings_are_valid() {
    for (deployment, vms) in [("escort-desk", 7), ("watch-trading", 8)] {
        let files = settings_files(deployment);
        let is_gate = |path: &&PathBuf| path.to_string_lossy().ends_with(".gate.ini");
        assert_eq!(files.iter().filter(is_gate).count(), vms);
        for path in files {
            let name = path.file_stem().unwrap().to_string_lossy().into_owned();
            let (_, role) = name.rsplit_once('.').unwrap();
            let output = Command::new(program_folder().join(format!("jujube-{role}")))
                .arg("--config")
                .arg(&path)
                .arg("--check")
                .output()
                .unwrap();
            let stderr = String::from_utf8_lossy(&output.stderr);
            assert!(output.status.success(), "{name}: {stderr}");
        }
    }
}

#[test]
fn check_lists_all_faults_of_settings() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("bad.ini");
    fs::write(
        &path,
        "[vm]\nname = a\n[listen]\nhttp = somewhere\n[lisen]\n",
    )
    .unwrap();
    let output = Command::new(program_folder().join("jujube-gate"))
        .arg("--config")
        .arg(&path)
        .arg("--check")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    for fault in [
        "availability_zone: missing",
        ":4: listen: http:",
        ":5: lisen: unknown section",
    ] {
        assert!(stderr.contains(fault), "{fault} is not in {stderr}");
    }
}
