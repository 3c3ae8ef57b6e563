//! The results of an experiment: a table and JSON.

use std::{collections::BTreeMap, fmt::Write};

use derives::{record, value};

use crate::{check::Violation, load::Tally};

/// The baseline that the target names.
const TARGET_BASELINE: &str = "least-in-flight";
/// Most that a request in time may cost against that baseline.
const MAX_COST_RATIO: f64 = 1.1;
/// Violations quoted in full.
const MAX_EXAMPLES: usize = 5;

/// One scenario on one system.
#[record]
pub struct RunResult {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// The system.
    pub system: String,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Figures; all zero where the run failed.
    pub tally: Tally,
    /// Broken invariants by name.
    pub broken: BTreeMap<String, usize>,
    /// Some of them in full.
    pub examples: Vec<String>,
    /// What else was seen.
    pub notes: Vec<String>,
    /// Why the run failed, if it did.
    pub failure: Option<String>,
}

impl RunResult {
    /// A row without figures yet.
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

    /// Takes in what the checker found.
    pub fn set_violations(&mut self, found: &[Violation]) {
        for violation in found {
            *self.broken.entry(violation.name().to_owned()).or_default() += 1;
        }
        let quoted = found.iter().take(MAX_EXAMPLES);
        self.examples = quoted.map(Violation::to_string).collect();
    }

    /// How many invariants were broken, over all kinds.
    pub fn broken_count(&self) -> usize {
        self.broken.values().sum()
    }
}

/// How a row of the project stands to the target: at least the baseline's attainment plus half of
/// what it misses, at 1.1 times its cost at most; `None` without the baseline's row.
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

/// Whether each part of the target is met.
#[value]
#[derive(Copy)]
pub struct TargetResult {
    /// Attainment.
    pub attainment: bool,
    /// Cost.
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

/// A table of all rows in plain text; `missed` names the part of the target that a row misses.
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
        // Writing into a string cannot fail.
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
