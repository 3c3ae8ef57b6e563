//! Backoff for model versions that the weight store refused to serve.

use std::{collections::BTreeMap, time::Duration};

use derives::value;
use tokio::time::Instant;

const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_mins(1);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Time after which a refusal is removed if the model version was not requested again.
const REFUSAL_RETENTION: Duration = Duration::from_mins(10);

/// One version of a model, as held by the weight store.
#[value]
pub struct ModelVersion {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: u32,
}

/// Refusals of one model version since it was last served.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Number of consecutive refusals.
    pub count: u32,
    /// When it may be requested again.
    pub retry_at: Instant,
    /// The reason given with the last refusal.
    pub reason: String,
}

/// Refusals by model version, as reported by the engines of one availability zone.
#[derive(Clone, Debug, Default)]
pub struct StoreBackoff(BTreeMap<ModelVersion, Refusal>);

impl StoreBackoff {
    /// Model versions that the store currently refuses.
    pub fn refusals(&self) -> &BTreeMap<ModelVersion, Refusal> {
        &self.0
    }

    /// Records a refusal at `now`; `jitter` from 0 to 1 spreads the retries of the controllers.
    pub fn record_refusal(
        &mut self,
        model_version: ModelVersion,
        reason: String,
        jitter: f64,
        now: Instant,
    ) {
        self.0.retain(|_, r| now < r.retry_at + REFUSAL_RETENTION);
        let count = self.0.get(&model_version).map_or(0, |r| r.count);
        let max_delay = INITIAL_BACKOFF * 2_u32.saturating_pow(count.min(16));
        let delay = max_delay.min(MAX_BACKOFF).mul_f64(jitter).max(MIN_BACKOFF);
        let refusal = Refusal {
            count: count + 1,
            retry_at: now + delay,
            reason,
        };
        self.0.insert(model_version, refusal);
    }

    /// Clears the refusals of `model_version` after it was served.
    pub fn record_success(&mut self, model_version: &ModelVersion) {
        self.0.remove(model_version);
    }

    /// Returns why `model_version` may not be requested yet, if it may not.
    pub fn blocked_reason(&self, model_version: &ModelVersion, now: Instant) -> Option<String> {
        let refusal = self.0.get(model_version).filter(|r| r.retry_at > now)?;
        let remaining = (refusal.retry_at - now).as_millis();
        Some(format!(
            "the weight store refused it {} times in a row; next attempt in {remaining} ms: {}",
            refusal.count, refusal.reason
        ))
    }
}
