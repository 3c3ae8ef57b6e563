//! The results of an experiment: a table and JSON.

use std::{collections::BTreeMap, fmt::Write};

use derives::record;

use crate::{check::Violation, load::Tally};

/// Violations quoted in full.
const EXAMPLES: usize = 5;

/// One scenario on one system.
#[record]
pub struct Row {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// The system.
    pub system: String,
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

impl Row {
    /// A row without figures yet.
    pub fn new(deployment: &str, scenario: &str, system: &str) -> Self {
        Self {
            deployment: deployment.to_owned(),
            scenario: scenario.to_owned(),
            system: system.to_owned(),
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
        let quoted = found.iter().take(EXAMPLES);
        self.examples = quoted.map(Violation::to_string).collect();
    }

    /// How many invariants were broken, over all kinds.
    pub fn broken_count(&self) -> usize {
        self.broken.values().sum()
    }
}

/// A table of all rows in plain text.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<14} {:<22} {:<16} {:>7} {:>9} {:>9} {:>7} {:>9} {:>9} {:>7}\n",
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
    );
    for row in rows {
        line(&mut text, row);
    }
    text
}

fn line(text: &mut String, row: &Row) {
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
        "{:<14} {:<22} {:<16} {:>7} {:>8.2}% {:>9.1} {:>6.1}% {:>9.1} {:>9.1} {:>7}",
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
    );
}
