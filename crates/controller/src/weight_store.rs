//! Refusals of the weight store, and when a weight may be asked for again.

use std::{collections::BTreeMap, time::Duration};

use derives::value;
use tokio::time::Instant;

const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_mins(1);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// A refusal is forgotten when its weight has not been asked for again for this long.
const REFUSAL_RETENTION: Duration = Duration::from_mins(10);

/// What the weight store holds: one version of a model.
#[value]
pub struct ModelVersion {
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
    pub retry_at: Instant,
    /// What was said last.
    pub reason: String,
}

/// Refusals by weight, as the engines of one availability zone report them.
#[derive(Clone, Debug, Default)]
pub struct StoreBackoff(BTreeMap<ModelVersion, Refusal>);

impl StoreBackoff {
    /// The weights refused.
    pub fn refusals(&self) -> &BTreeMap<ModelVersion, Refusal> {
        &self.0
    }

    /// The store refused `weight`; `drawn` from 0 to 1 spreads the controllers' next tries.
    pub fn record_refusal(
        &mut self,
        model_version: ModelVersion,
        reason: String,
        jitter: f64,
        now: Instant,
    ) {
        self.0.retain(|_, r| now < r.retry_at + REFUSAL_RETENTION);
        let count = self.0.get(&model_version).map_or(0, |r| r.count);
        let bound = INITIAL_BACKOFF * 2_u32.saturating_pow(count.min(16));
        let pause = bound.min(MAX_BACKOFF).mul_f64(jitter).max(MIN_BACKOFF);
        let refusal = Refusal {
            count: count + 1,
            retry_at: now + pause,
            reason,
        };
        self.0.insert(model_version, refusal);
    }

    /// The store gave `weight`.
    pub fn record_success(&mut self, model_version: &ModelVersion) {
        self.0.remove(model_version);
    }

    /// Why `weight` may not be asked for yet.
    pub fn blocked_reason(&self, model_version: &ModelVersion, now: Instant) -> Option<String> {
        let refusal = self.0.get(model_version).filter(|r| r.retry_at > now)?;
        let remaining = (refusal.retry_at - now).as_millis();
        Some(format!(
            "the weight store refused it {} times in turn, next try in {remaining} ms: {}",
            refusal.count, refusal.reason
        ))
    }
}
