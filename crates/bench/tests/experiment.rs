//! Experiments on baseline gates only, which need no binaries.

use std::{fs, path::Path};

use bench::experiment::{
    MAX_PROCESSES, ResourceEstimate, RunConfig, RunResult, run_file, summarize, summary_table,
    target_result,
};

fn config(folder: &Path, text: &str) -> RunConfig {
    let file = folder.join("experiment.ini");
    fs::write(&file, text).unwrap();
    RunConfig {
        file,
        programs: folder.to_owned(),
        earlier: None,
        out: folder.join("out"),
        only: Vec::new(),
        repeat: 1,
        without_faults: false,
    }
}

async fn run(folder: &Path, text: &str) -> Vec<RunResult> {
    run_file(&config(folder, text)).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_calm_run_completes_and_writes_its_results() {
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nseed = 3\nrate = 30\nlength_ms = 1000\n\
                systems = least-in-flight, round-robin\ndeployments = watch-trading\n\
                [scenario calm]\n";
    let rows = run(folder.path(), text).await;
    assert_eq!(rows.len(), 2);
    for row in &rows {
        assert_eq!(row.failure, None);
        assert_eq!(row.broken_count(), 0, "{:?}", row.examples);
        assert_eq!(row.tally.offered, rows[0].tally.offered);
        assert!(row.tally.in_time > 0);
    }
    let json = fs::read(folder.path().join("out/results.json")).unwrap();
    let written: Vec<RunResult> = serde_json::from_slice(&json).unwrap();
    assert_eq!(written.len(), 2);
    let svg = fs::read_to_string(folder.path().join("out/results.svg")).unwrap();
    assert!(svg.contains("watch-trading"));
}

/// A baseline has no ledger: a booking whose response is lost runs again when the caller retries.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_a_baseline_runs_twice_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nseed = 3\nrate = 60\nlength_ms = 1500\n\
                systems = round-robin\ndeployments = escort-desk\n\
                [scenario close-early]\nat_0 = close-early booking\n";
    let rows = run(folder.path(), text).await;
    assert_eq!(rows[0].failure, None);
    assert!(
        rows[0].broken.contains_key("doubled_execution"),
        "{:?}",
        rows[0].broken
    );
}

#[tokio::test]
async fn all_faults_of_a_file_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nsystems = mine\ndeployments = escort-desk\n\
                [scenario one]\nat_5 = slow everything 3\nat_x = heal\n";
    let cfg = config(folder.path(), text);
    let faults = run_file(&cfg).await.unwrap_err().to_string();
    let lines: Vec<&str> = faults
        .lines()
        .map(|l| l.rsplit('/').next().unwrap())
        .collect();
    let has_line = |line: &str| lines.iter().any(|l| l.starts_with(line));
    assert!(
        has_line("experiment.ini:2: experiment: systems"),
        "{faults}"
    );
    assert!(has_line("experiment.ini:5: scenario one: at_5"), "{faults}");
    assert!(has_line("experiment.ini:6: scenario one: at_x"), "{faults}");
}

#[test]
fn the_target_is_half_of_what_least_in_flight_misses_at_a_tenth_more_cost() {
    let row = |system: &str, attainment: f64, cost_ms: f64| {
        let mut row = RunResult::new("d", "s", system, 1);
        row.tally.attainment = attainment;
        row.tally.cost_ms = cost_ms;
        row
    };
    let met = |attainment: f64, cost_ms: f64| {
        let rows = [
            row("project", attainment, cost_ms),
            row("least-in-flight", 0.9, 100.0),
        ];
        let target = target_result(&rows[0], &rows).unwrap();
        (target.attainment, target.cost)
    };
    assert_eq!(met(0.96, 109.0), (true, true));
    assert_eq!(met(0.94, 109.0), (false, true));
    assert_eq!(met(0.96, 111.0), (true, false));
    assert_eq!(target_result(&row("project", 1.0, 1.0), &[]), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_runs_have_distinct_seeds_and_a_summary() {
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nseed = 3\nrate = 30\nlength_ms = 1000\n\
                systems = least-in-flight\ndeployments = watch-trading\n[scenario calm]\n";
    let cfg = RunConfig {
        repeat: 2,
        ..config(folder.path(), text)
    };
    let rows = run_file(&cfg).await.unwrap();
    let seeds: Vec<u64> = rows.iter().map(|row| row.seed).collect();
    assert_eq!(seeds, [3, 4]);
    assert_ne!(rows[0].tally.offered, rows[1].tally.offered);
    let json = fs::read(folder.path().join("out/summary.json")).unwrap();
    let written: serde_json::Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(written[0]["runs"], 2);
    for seed in [3, 4] {
        let evidence = format!("out/watch-trading.calm.least-in-flight.{seed}/evidence.json");
        assert!(folder.path().join(evidence).is_file());
    }
}

#[test]
fn a_summary_marks_only_differences_of_one_sign() {
    let row = |system: &str, seed: u64, attainment: f64| {
        let mut row = RunResult::new("d", "s", system, seed);
        row.tally.attainment = attainment;
        row
    };
    let mut rows = vec![
        row("project", 1, 0.9),
        row("earlier", 1, 0.8),
        row("noisy", 1, 0.8),
    ];
    rows.extend([
        row("project", 2, 0.7),
        row("earlier", 2, 0.6),
        row("noisy", 2, 0.8),
    ]);
    let mut failed = row("earlier", 3, 0.0);
    failed.failure = Some("did not start".to_owned());
    rows.extend([row("project", 3, 0.8), failed]);
    let summaries = summarize(&rows);
    let [project, earlier, noisy] = summaries.as_slice() else {
        panic!("three systems");
    };
    let is_near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(is_near(project.attainment.mean, 0.8) && project.behind.is_none());
    assert_eq!(
        (project.attainment.low, project.attainment.high),
        (0.7, 0.9)
    );
    assert_eq!((earlier.runs, earlier.failed), (2, 1));
    assert!(is_near(earlier.behind.unwrap().mean, 0.1));
    assert!(earlier.behind.unwrap().excludes_zero());
    assert!(!noisy.behind.unwrap().excludes_zero());
    let table = summary_table(&summaries);
    let marked: Vec<bool> = table.lines().map(|line| line.contains('*')).collect();
    assert_eq!(marked, [false, false, true, false], "{table}");
}

#[tokio::test]
async fn a_run_that_exceeds_the_machine_limits_is_refused() {
    let need = |processes, memory_bytes| ResourceEstimate {
        processes,
        memory_bytes,
    };
    assert!(need(MAX_PROCESSES, 512).check(1_024).is_ok());
    assert!(need(MAX_PROCESSES + 1, 512).check(1_024).is_err());
    assert!(need(MAX_PROCESSES, 513).check(1_024).is_err());
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nrate = 10000\nlength_ms = 60000\nsystems = least-in-flight\n\
                deployments = escort-desk\n[scenario flood]\nat_1 = burst 900 59000\n";
    let refused = run_file(&config(folder.path(), text)).await.unwrap_err();
    let refused = format!("{refused:#}");
    assert!(
        refused.contains("scenario flood of escort-desk"),
        "{refused}"
    );
    assert!(refused.contains("at most half"), "{refused}");
}

#[tokio::test]
async fn an_earlier_build_without_binaries_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nsystems = project\ndeployments = escort-desk\n[scenario calm]\n";
    let cfg = RunConfig {
        earlier: Some(folder.path().to_owned()),
        ..config(folder.path(), text)
    };
    let refused = run_file(&cfg).await.unwrap_err().to_string();
    assert!(refused.contains("holds no jujube-gate"), "{refused}");
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_cut_gate_kills_a_gate_of_the_partitioned_zone() {
    let folder = tempfile::tempdir().unwrap();
    let text = "[experiment]\nseed = 3\nrate = 100\nlength_ms = 1000\nsystems = round-robin\n\
                deployments = escort-desk\n[scenario both]\nat_500 = kill-cut-gate\n";
    let rows = run(folder.path(), text).await;
    let is_killed = |note: &String| note == "killed the gate of portland-1";
    assert!(rows[0].notes.iter().any(is_killed), "{:?}", rows[0].notes);
    // The action is known to break callers' connections, so this is no violation.
    assert_eq!(rows[0].broken.get("cut_request"), None);
}
