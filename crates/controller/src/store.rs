//! Refusals of the weight store, and when a weight may be asked for again.

use std::{collections::BTreeMap, time::Duration};

use derives::value;
use tokio::time::Instant;

const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_mins(1);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// A refusal is forgotten when its weight has not been asked for again for this long.
const FORGOTTEN_AFTER: Duration = Duration::from_mins(10);

/// What the weight store holds: one version of a model.
#[value]
pub struct Weight {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: u32,
}

/// A weight that the store has refused since it last gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// How often in turn.
    pub count: u32,
    /// When it may be asked for again.
    pub next: Instant,
    /// What was said last.
    pub why: String,
}

/// Refusals by weight, as the engines of one availability zone report them.
#[derive(Clone, Debug, Default)]
pub struct Store(BTreeMap<Weight, Refusal>);

impl Store {
    /// The weights refused.
    pub fn refusals(&self) -> &BTreeMap<Weight, Refusal> {
        &self.0
    }

    /// The store refused `weight`; `drawn` from 0 to 1 spreads the controllers' next tries.
    pub fn refused(&mut self, weight: Weight, why: String, drawn: f64, now: Instant) {
        self.0.retain(|_, r| now < r.next + FORGOTTEN_AFTER);
        let count = self.0.get(&weight).map_or(0, |r| r.count);
        let bound = FIRST_BACKOFF * 2_u32.saturating_pow(count.min(16));
        let pause = bound.min(MAX_BACKOFF).mul_f64(drawn).max(MIN_BACKOFF);
        let refusal = Refusal {
            count: count + 1,
            next: now + pause,
            why,
        };
        self.0.insert(weight, refusal);
    }

    /// The store gave `weight`.
    pub fn gave(&mut self, weight: &Weight) {
        self.0.remove(weight);
    }

    /// Why `weight` may not be asked for yet.
    pub fn hindrance(&self, weight: &Weight, now: Instant) -> Option<String> {
        let refusal = self.0.get(weight).filter(|r| r.next > now)?;
        let left = (refusal.next - now).as_millis();
        Some(format!(
            "the weight store refused it {} times in turn, next try in {left} ms: {}",
            refusal.count, refusal.why
        ))
    }
}
