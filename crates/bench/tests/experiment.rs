//! Experiments on the baselines alone, which need no binaries.

use std::{fs, path::Path};

use bench::experiment::{Row, RunConfig, run_file, target};

async fn run(folder: &Path, text: &str) -> Vec<Row> {
    let file = folder.join("experiment.ini");
    fs::write(&file, text).unwrap();
    let cfg = RunConfig {
        file,
        programs: folder.to_owned(),
        earlier: None,
        out: folder.join("out"),
        only: Vec::new(),
        without_faults: false,
    };
    run_file(&cfg).await.unwrap()
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
    let written: Vec<Row> = serde_json::from_slice(&json).unwrap();
    assert_eq!(written.len(), 2);
    let svg = fs::read_to_string(folder.path().join("out/results.svg")).unwrap();
    assert!(svg.contains("watch-trading"));
}

/// The baseline has no ledger: a booking whose answer is lost runs again when it is asked again.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_a_baseline_runs_twice_is_found() {
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
async fn faults_of_the_file_are_all_named() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("experiment.ini");
    let text = "[experiment]\nsystems = mine\ndeployments = escort-desk\n\
                [scenario one]\nat_5 = slow everything 3\nat_x = heal\n";
    fs::write(&file, text).unwrap();
    let cfg = RunConfig {
        file,
        programs: folder.path().to_owned(),
        earlier: None,
        out: folder.path().join("out"),
        only: Vec::new(),
        without_faults: false,
    };
    let faults = run_file(&cfg).await.unwrap_err().to_string();
    let lines: Vec<&str> = faults
        .lines()
        .map(|l| l.rsplit('/').next().unwrap())
        .collect();
    let named = |line: &str| lines.iter().any(|l| l.starts_with(line));
    assert!(named("experiment.ini:2: experiment: systems"), "{faults}");
    assert!(named("experiment.ini:5: scenario one: at_5"), "{faults}");
    assert!(named("experiment.ini:6: scenario one: at_x"), "{faults}");
}

#[test]
fn the_target_is_half_of_what_least_in_flight_misses_at_a_tenth_more_cost() {
    let row = |system: &str, attainment: f64, cost_ms: f64| {
        let mut row = Row::new("d", "s", system);
        row.tally.attainment = attainment;
        row.tally.cost_ms = cost_ms;
        row
    };
    let met = |attainment: f64, cost_ms: f64| {
        let rows = [
            row("project", attainment, cost_ms),
            row("least-in-flight", 0.9, 100.0),
        ];
        let target = target(&rows[0], &rows).unwrap();
        (target.attainment, target.cost)
    };
    assert_eq!(met(0.96, 109.0), (true, true));
    assert_eq!(met(0.94, 109.0), (false, true));
    assert_eq!(met(0.96, 111.0), (true, false));
    assert_eq!(target(&row("project", 1.0, 1.0), &[]), None);
}
