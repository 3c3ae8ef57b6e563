//! Mean with exponentially decaying weights.

use std::time::Duration;

use tokio::time::Instant;

/// Mean of values whose weight halves every half-life.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    half_life: Duration,
    updated_at: Option<Instant>,
    sum: f64,
    count: f64,
}

/// Returns the weight of a value after `age`, starting from 1.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

impl DecayingMean {
    /// Creates an empty mean. The weight of a value halves every `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            updated_at: None,
            sum: 0.0,
            count: 0.0,
        }
    }

    /// Adds a value observed at `now` with weight 1.
    pub fn add(&mut self, value: f64, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let remaining_weight = decay(age, self.half_life);
        self.updated_at = Some(now);
        self.sum = self.sum * remaining_weight + value;
        self.count = self.count * remaining_weight + 1.0;
    }

    /// Returns the total weight of all values.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// Returns the weighted mean, or `None` if there are no values.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
