//! A mean in which older values lose weight with time.

use std::time::Duration;

use tokio::time::Instant;

/// Exponentially decaying sum of values and of their number.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    half_life: Duration,
    at: Option<Instant>,
    sum: f64,
    count: f64,
}

/// What is left of a weight of one after `age`.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

impl DecayingMean {
    /// No values yet; a value loses half of its weight in `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            at: None,
            sum: 0.0,
            count: 0.0,
        }
    }

    /// Takes a value.
    pub fn add(&mut self, value: f64, now: Instant) {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = decay(age, self.half_life);
        self.at = Some(now);
        self.sum = self.sum * kept + value;
        self.count = self.count * kept + 1.0;
    }

    /// The number of values, old ones counting less.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// The weighted mean; `None` before the first value.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
