//! Results of an experiment, written as JSON and as a table.

use std::{collections::BTreeMap, fmt::Write};

use derives::{record, value};

use crate::{check::Violation, load::Tally};

/// The baseline that the target is defined against.
const TARGET_BASELINE: &str = "least-in-flight";
/// Maximum cost of a request in time relative to that baseline.
const MAX_COST_RATIO: f64 = 1.1;
/// Maximum number of violations quoted in full.
const MAX_EXAMPLES: usize = 5;

/// Result of one scenario on one system.
#[record]
pub struct RunResult {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the system.
    pub system: String,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Metrics; all zero if the run failed.
    pub tally: Tally,
    /// Number of violations by name of the invariant.
    pub broken: BTreeMap<String, usize>,
    /// The first violations in full.
    pub examples: Vec<String>,
    /// Other observations.
    pub notes: Vec<String>,
    /// Error that made the run fail, if any.
    pub failure: Option<String>,
}

impl RunResult {
    /// Creates a result without metrics.
    pub fn new(deployment: &str, scenario: &str, system: &str, seed: u64) -> Self {
        Self {
            deployment: deployment.to_owned(),
            scenario: scenario.to_owned(),
            system: system.to_owned(),
            seed,
            tally: Tally::default(),
            broken: BTreeMap::new(),
            examples: Vec::new(),
            notes: Vec::new(),
            failure: None,
        }
    }

    /// Stores the violations that the checker found.
    pub fn set_violations(&mut self, found: &[Violation]) {
        for violation in found {
            *self.broken.entry(violation.name().to_owned()).or_default() += 1;
        }
        let quoted = found.iter().take(MAX_EXAMPLES);
        self.examples = quoted.map(Violation::to_string).collect();
    }

    /// Returns the total number of violations.
    pub fn broken_count(&self) -> usize {
        self.broken.values().sum()
    }
}

/// Compares a result of the project with the target: at least the baseline's attainment plus half of
/// what it misses, at no more than 1.1 times its cost. Returns `None` without a baseline result.
pub fn target_result(row: &RunResult, rows: &[RunResult]) -> Option<TargetResult> {
    let is_baseline = |other: &&RunResult| {
        other.system == TARGET_BASELINE
            && other.deployment == row.deployment
            && other.scenario == row.scenario
            && other.seed == row.seed
            && other.failure.is_none()
    };
    let baseline = &rows.iter().find(is_baseline)?.tally;
    let needed = baseline.attainment + (1.0 - baseline.attainment) / 2.0;
    Some(TargetResult {
        attainment: row.tally.attainment >= needed,
        cost: row.tally.cost_ms <= baseline.cost_ms * MAX_COST_RATIO,
    })
}

/// Which parts of the target are met.
#[value]
#[derive(Copy)]
pub struct TargetResult {
    /// True if attainment is high enough.
    pub attainment: bool,
    /// True if cost is low enough.
    pub cost: bool,
}

impl TargetResult {
    fn as_str(self) -> &'static str {
        match (self.attainment, self.cost) {
            (true, true) => "-",
            (true, false) => "cost",
            (false, true) => "in time",
            (false, false) => "both",
        }
    }
}

/// Formats all results as a plain-text table; `missed` names the part of the target that is missed.
pub fn results_table(rows: &[RunResult]) -> String {
    let mut text = format!(
        "{:<14} {:<22} {:<16} {:>7} {:>9} {:>9} {:>7} {:>9} {:>9} {:>7} {:>8}\n",
        "deployment",
        "scenario",
        "system",
        "offered",
        "in time",
        "cost ms",
        "waste",
        "p95 ms",
        "first ms",
        "broken",
        "missed",
    );
    for row in rows {
        let target = target_result(row, rows).filter(|_| row.system != TARGET_BASELINE);
        write_row(&mut text, row, target);
    }
    text
}

fn write_row(text: &mut String, row: &RunResult, target: Option<TargetResult>) {
    let tally = &row.tally;
    let names = (&row.deployment, &row.scenario, &row.system);
    if let Some(failure) = &row.failure {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<14} {:<22} {:<16} failed: {failure}",
            names.0, names.1, names.2
        );
        return;
    }
    let _ = writeln!(
        text,
        "{:<14} {:<22} {:<16} {:>7} {:>8.2}% {:>9.1} {:>6.1}% {:>9.1} {:>9.1} {:>7} {:>8}",
        names.0,
        names.1,
        names.2,
        tally.offered,
        tally.attainment * 100.0,
        tally.cost_ms,
        tally.wasted * 100.0,
        tally.p95_ms,
        tally.first_token_p95_ms,
        row.broken_count(),
        target.map_or("", TargetResult::as_str),
    );
}
