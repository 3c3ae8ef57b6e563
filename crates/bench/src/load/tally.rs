//! Metrics of a run: attainment, latencies, and cost by service with wasted work counted apart.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use declaration::Declaration;
use derives::record;
use hdrhistogram::Histogram;

use super::FinishedRequest;
use crate::{
    check::Outcome,
    stand_in::{Event, JournalEntry},
};

/// Highest time that a histogram records; longer times count as this.
const MAX_RECORDED_US: u64 = 120_000_000;

/// Cost of one service.
#[record]
#[derive(Default)]
pub struct ServiceCost {
    /// Number of calls started.
    pub calls: u64,
    /// Endpoint time spent, in milliseconds.
    pub busy_ms: f64,
    /// Part of `busy_ms` that no request completed in time used.
    pub wasted_ms: f64,
}

/// Metrics of one run.
#[record]
#[derive(Default)]
pub struct Tally {
    /// Number of requests offered.
    pub offered: usize,
    /// Number of requests completed within their deadlines.
    pub in_time: usize,
    /// `in_time` divided by `offered`.
    pub attainment: f64,
    /// Number of requests by final outcome.
    pub told: BTreeMap<String, usize>,
    /// Attainment by pipeline.
    pub by_pipeline: BTreeMap<String, f64>,
    /// Median latency from the intended start of requests in time, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the same latency.
    pub p95_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// Median time from the intended start to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub between_p95_ms: f64,
    /// Endpoint time per request completed in time, in milliseconds.
    pub cost_ms: f64,
    /// Share of endpoint time that no request completed in time used.
    pub wasted: f64,
    /// Cost by service.
    pub services: BTreeMap<String, ServiceCost>,
}

/// Computes the metrics of `finished` requests and of the calls in `journals`.
pub fn tally(
    declaration: &Declaration,
    finished: &[FinishedRequest],
    journals: &[JournalEntry],
) -> Tally {
    let in_time = finished.iter().filter(|f| f.in_time).count();
    let completed: Vec<&FinishedRequest> = finished.iter().filter(|f| f.in_time).collect();
    let latencies = histogram(completed.iter().map(|f| f.latency));
    let first_tokens = histogram(finished.iter().filter_map(|f| f.first_token));
    let token_gaps = histogram(finished.iter().flat_map(|f| f.token_gaps.iter().copied()));
    let services = service_costs(declaration, &completed, journals);
    let busy: f64 = services.values().map(|s| s.busy_ms).sum();
    let wasted: f64 = services.values().map(|s| s.wasted_ms).sum();
    Tally {
        offered: finished.len(),
        in_time,
        attainment: ratio(in_time, finished.len()),
        told: count_outcomes(finished),
        by_pipeline: attainment_by_pipeline(finished),
        p50_ms: quantile(&latencies, 0.5),
        p95_ms: quantile(&latencies, 0.95),
        p99_ms: quantile(&latencies, 0.99),
        first_token_p50_ms: quantile(&first_tokens, 0.5),
        first_token_p95_ms: quantile(&first_tokens, 0.95),
        between_p95_ms: quantile(&token_gaps, 0.95),
        cost_ms: busy / in_time.max(1) as f64,
        wasted: if busy > 0.0 { wasted / busy } else { 0.0 },
        services,
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the bounds are valid");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    histogram
}

fn quantile(histogram: &Histogram<u64>, q: f64) -> f64 {
    histogram.value_at_quantile(q) as f64 / 1_000.0
}

fn count_outcomes(finished: &[FinishedRequest]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in finished {
        let last = request.request.attempts.last();
        let name = match last.map(|attempt| attempt.reply.outcome) {
            Some(Outcome::Completed) if !request.in_time => "completed_late".to_owned(),
            told => outcome_name(told),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn outcome_name(told: Option<Outcome>) -> String {
    let value = serde_json::to_value(told).unwrap_or_default();
    value.as_str().unwrap_or("none").to_owned()
}

fn attainment_by_pipeline(finished: &[FinishedRequest]) -> BTreeMap<String, f64> {
    let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for request in finished {
        let count = counts.entry(&request.request.pipeline).or_default();
        count.0 += usize::from(request.in_time);
        count.1 += 1;
    }
    let shares = counts
        .into_iter()
        .map(|(name, (in_time, total))| (name.to_owned(), ratio(in_time, total)));
    shares.collect()
}

/// Computes cost by service. For each request in time, the first complete run of each stage counts
/// as used and all other work as wasted.
fn service_costs(
    declaration: &Declaration,
    completed: &[&FinishedRequest],
    journals: &[JournalEntry],
) -> BTreeMap<String, ServiceCost> {
    let stages: HashMap<&str, &[String]> = completed
        .iter()
        .filter_map(|f| {
            let pipeline = declaration.pipelines.get(&f.request.pipeline)?;
            Some((f.request.subject.as_str(), pipeline.stages.as_slice()))
        })
        .collect();
    let mut used = HashSet::new();
    let mut costs: BTreeMap<String, ServiceCost> = BTreeMap::new();
    for entry in journals {
        let cost = costs.entry(entry.service.clone()).or_default();
        let (work_us, is_complete) = match entry.event {
            Event::Started => {
                cost.calls += 1;
                continue;
            }
            Event::Finished { busy_us, .. } => (busy_us, true),
            Event::Failed { busy_us } | Event::Cancelled { busy_us, .. } => (busy_us, false),
            _ => continue,
        };
        let subject = entry.subject.as_deref().unwrap_or_default();
        let is_in_pipeline = stages
            .get(subject)
            .is_some_and(|s| s.contains(&entry.service));
        let busy_ms = work_us as f64 / 1_000.0;
        cost.busy_ms += busy_ms;
        if !(is_complete && is_in_pipeline && used.insert((subject, entry.service.as_str()))) {
            cost.wasted_ms += busy_ms;
        }
    }
    costs
}
