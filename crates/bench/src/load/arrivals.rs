//! Generates request times and contents from a seed: Poisson arrivals with bursts.

use std::{collections::BTreeMap, time::Duration};

use derives::record;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::deployment::{Deployment, Traffic};

/// Number of distinct shared prompt prefixes (dossiers) for each kind of traffic.
const DOSSIER_COUNT: u64 = 12;

/// A period with a higher arrival rate.
#[record]
pub struct Burst {
    /// Offset from the start of the run.
    pub start: Duration,
    /// Duration of the burst.
    #[serde(rename = "length")]
    pub duration: Duration,
    /// Multiplier of the arrival rate.
    pub factor: f64,
}

/// The load to offer in a run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Arrivals per second outside bursts.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Periods with a higher rate; where they overlap, the first one applies.
    pub bursts: Vec<Burst>,
    /// Seed of arrival times and contents.
    pub seed: u64,
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Sequence number in the run, from 0.
    pub number: u64,
    /// Intended start, as offset from the start of the run.
    pub at: Duration,
    /// Kind of request.
    pub traffic: Traffic,
    /// Availability zone whose balancer receives it.
    pub az: String,
    /// Identifier embedded in the input.
    pub subject: String,
    /// Pipeline input.
    pub input: Value,
}

/// Generates the arrivals of `plan`; the same seed gives the same arrivals. `allowed` holds the
/// availability zones of each workspace.
pub fn generate_arrivals(
    deployment: &Deployment,
    allowed: &BTreeMap<String, Vec<String>>,
    plan: &LoadPlan,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut at = Duration::ZERO;
    let mut all = Vec::new();
    loop {
        let rate = plan.rate * rate_factor(plan, at);
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / rate);
        if at >= plan.duration {
            return all;
        }
        let number = all.len() as u64;
        all.push(generate_arrival(deployment, allowed, number, at, &mut rng));
    }
}

fn rate_factor(plan: &LoadPlan, at: Duration) -> f64 {
    let covers = |b: &&Burst| at >= b.start && at < b.start + b.duration;
    plan.bursts.iter().find(covers).map_or(1.0, |b| b.factor)
}

fn generate_arrival(
    deployment: &Deployment,
    allowed: &BTreeMap<String, Vec<String>>,
    number: u64,
    at: Duration,
    rng: &mut SmallRng,
) -> Arrival {
    let traffic = pick_traffic(deployment.traffic, rng);
    let none = Vec::new();
    let azs = allowed.get(traffic.workspace).unwrap_or(&none);
    let az = match azs.len() {
        0 => deployment.azs[0].az.to_owned(),
        n => azs[rng.random_range(0..n)].clone(),
    };
    let subject = format!("r{number}");
    let dossier = rng.random_range(0..DOSSIER_COUNT);
    let prompt = prompt(&traffic, &subject, dossier);
    Arrival {
        number,
        at,
        traffic,
        az,
        input: json!({ "prompt": prompt }),
        subject,
    }
}

fn pick_traffic(traffic: &[Traffic], rng: &mut SmallRng) -> Traffic {
    let total: u32 = traffic.iter().map(|t| t.weight).sum();
    let mut remaining = rng.random_range(0..total);
    for entry in traffic {
        if remaining < entry.weight {
            return *entry;
        }
        remaining -= entry.weight;
    }
    traffic[0]
}

/// Builds a prompt: the dossier's text, the request's tag, then text of its own.
fn prompt(traffic: &Traffic, subject: &str, dossier: u64) -> String {
    let shared = repeat_to_length(
        &format!("{} dossier {dossier}. ", traffic.pipeline),
        traffic.shared_bytes,
    );
    let own = repeat_to_length(&format!("note {subject}. "), traffic.own_bytes);
    format!("{shared}[#{subject}] {own}")
}

fn repeat_to_length(text: &str, bytes: usize) -> String {
    text.chars().cycle().take(bytes).collect()
}
