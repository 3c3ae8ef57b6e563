//! A mean in which older values lose weight with time.

use std::time::Duration;

use tokio::time::Instant;

/// Exponentially decaying sum of values and of their number.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    half_life: Duration,
    updated_at: Option<Instant>,
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
            updated_at: None,
            sum: 0.0,
            count: 0.0,
        }
    }

    /// Takes a value.
    pub fn add(&mut self, value: f64, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let remaining_weight = decay(age, self.half_life);
        self.updated_at = Some(now);
        self.sum = self.sum * remaining_weight + value;
        self.count = self.count * remaining_weight + 1.0;
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
