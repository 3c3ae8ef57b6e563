//! How slow an endpoint is compared with the expectation.

use tokio::time::{Duration, Instant};

/// Ratio of observed to expected latency, decaying to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowness {
    factor: f64,
    updated_at: Option<Instant>,
}

/// Weight of a new observation in the moving average.
const SMOOTHING: f64 = 0.4;
const MAX_FACTOR: f64 = 16.0;
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

impl Slowness {
    pub(crate) fn new() -> Self {
        Self {
            factor: 1.0,
            updated_at: None,
        }
    }

    /// Records that a call expected to take `expected_ms` took `ms`.
    pub(crate) fn observe(&mut self, expected_ms: f64, ms: f64, now: Instant) {
        let seen = (ms / expected_ms.max(1.0)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let old = self.factor(now);
        self.factor = old + SMOOTHING * (seen - old);
        self.updated_at = Some(now);
    }

    /// Returns the current factor; 1 means as fast as expected.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.factor - 1.0) * kept
    }
}

#[cfg(test)]
mod tests;
