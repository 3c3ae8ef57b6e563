//! Summarizes repeated runs by mean and range, which tells differences from noise.

use std::fmt::Write;

use derives::record;

use super::report::RunResult;

/// Mean and range of one metric over repeated runs.
#[record]
#[derive(Copy, Default)]
pub struct SampleStats {
    /// Arithmetic mean.
    pub mean: f64,
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
}

impl SampleStats {
    /// Computes mean and range of `values`; all zero if there are none.
    pub fn from_values(values: &[f64]) -> Self {
        let Some(first) = values.first() else {
            return Self::default();
        };
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            low: values.iter().copied().fold(*first, f64::min),
            high: values.iter().copied().fold(*first, f64::max),
        }
    }

    /// Returns true if all values have the same sign.
    pub fn excludes_zero(self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Summary of all runs of one scenario on one system.
#[record]
pub struct Summary {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the system.
    pub system: String,
    /// Number of runs that succeeded.
    pub runs: usize,
    /// Number of runs that failed.
    pub failed: usize,
    /// Share of requests completed within their deadline.
    pub attainment: SampleStats,
    /// Endpoint time per request in time, in milliseconds.
    pub cost_ms: SampleStats,
    /// Share of endpoint time that no request in time used.
    pub wasted: SampleStats,
    /// The first system's attainment minus this one's, over pairs of runs with the same seed; `None`
    /// for the first system and without such a pair.
    pub behind: Option<SampleStats>,
    /// Number of violations over all runs.
    pub broken: usize,
}

/// Summarizes repeated runs, in the order in which scenarios and systems first appear.
pub fn summarize(rows: &[RunResult]) -> Vec<Summary> {
    let mut summaries: Vec<Summary> = Vec::new();
    for row in rows {
        let is_known = summaries.iter().any(|s| {
            s.deployment == row.deployment && s.scenario == row.scenario && s.system == row.system
        });
        if !is_known {
            summaries.push(summary(rows, row));
        }
    }
    summaries
}

fn summary(rows: &[RunResult], of: &RunResult) -> Summary {
    let is_scenario =
        |row: &&RunResult| row.deployment == of.deployment && row.scenario == of.scenario;
    let all: Vec<&RunResult> = rows.iter().filter(is_scenario).collect();
    let of_system: Vec<&RunResult> = all
        .iter()
        .copied()
        .filter(|r| r.system == of.system)
        .collect();
    let succeeded: Vec<&RunResult> = of_system
        .iter()
        .copied()
        .filter(|r| r.failure.is_none())
        .collect();
    let stats = |of: fn(&RunResult) -> f64| {
        SampleStats::from_values(&succeeded.iter().map(|r| of(r)).collect::<Vec<_>>())
    };
    let first = all.first().map_or("", |row| row.system.as_str());
    let difference = |row: &&RunResult| {
        let is_pair = |other: &&&RunResult| {
            other.system == first && other.seed == row.seed && other.failure.is_none()
        };
        let pair = all.iter().find(is_pair)?;
        Some(pair.tally.attainment - row.tally.attainment)
    };
    let differences: Vec<f64> = succeeded.iter().filter_map(difference).collect();
    let is_compared = of.system != first && !differences.is_empty();
    Summary {
        deployment: of.deployment.clone(),
        scenario: of.scenario.clone(),
        system: of.system.clone(),
        runs: succeeded.len(),
        failed: of_system.len() - succeeded.len(),
        attainment: stats(|row| row.tally.attainment),
        cost_ms: stats(|row| row.tally.cost_ms),
        wasted: stats(|row| row.tally.wasted),
        behind: is_compared.then(|| SampleStats::from_values(&differences)),
        broken: of_system.iter().map(|row| row.broken_count()).sum(),
    }
}

/// Formats `summaries` as a plain-text table. Ranges are in brackets; `*` marks a difference from the
/// first system that has the same sign in all runs.
pub fn summary_table(summaries: &[Summary]) -> String {
    let mut text = format!(
        "{:<14} {:<26} {:<16} {:>5} {:>24} {:>22} {:>26} {:>7}\n",
        "deployment",
        "scenario",
        "system",
        "runs",
        "in time %",
        "cost ms",
        "first is ahead by %",
        "broken",
    );
    for s in summaries {
        let behind = s.behind.map_or_else(String::new, |behind| {
            let mark = if behind.excludes_zero() { "*" } else { "" };
            format!("{}{mark}", range(behind, 100.0))
        });
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<14} {:<26} {:<16} {:>5} {:>24} {:>22} {behind:>26} {:>7}",
            s.deployment,
            s.scenario,
            s.system,
            s.runs,
            range(s.attainment, 100.0),
            range(s.cost_ms, 1.0),
            s.broken,
        );
    }
    text
}

fn range(stats: SampleStats, factor: f64) -> String {
    let SampleStats { mean, low, high } = stats;
    format!(
        "{:.2} [{:.2}, {:.2}]",
        mean * factor,
        low * factor,
        high * factor
    )
}
