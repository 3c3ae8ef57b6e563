//! Fits a linear latency model to observed calls, with exponential decay of old observations.

use tokio::time::{Duration, Instant};

/// Time in which an observation loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Total weight below which the initial model is used.
const MIN_WEIGHT: f64 = 4.0;

/// Time as `base + slope * amount`, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    /// Time without any work.
    pub base_ms: f64,
    /// Time for each unit of work.
    pub slope_ms: f64,
}

impl LatencyModel {
    /// Returns the latency for `amount` of work.
    pub fn at(self, amount: f64) -> f64 {
        self.base_ms + self.slope_ms * amount
    }
}

/// Weighted least-squares fit of a [`LatencyModel`].
#[derive(Debug)]
pub struct LatencyFit {
    initial: LatencyModel,
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    updated_at: Option<Instant>,
}

impl LatencyFit {
    /// Creates a fit that returns `initial` until enough calls have been observed.
    pub fn new(initial: LatencyModel) -> Self {
        Self {
            initial,
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            updated_at: None,
        }
    }

    /// Records that `amount` of work took `ms` milliseconds.
    pub fn observe(&mut self, amount: f64, ms: f64, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.updated_at = Some(now);
        for (sum, new) in [
            (&mut self.weight, 1.0),
            (&mut self.x, amount),
            (&mut self.y, ms),
            (&mut self.xx, amount * amount),
            (&mut self.xy, amount * ms),
        ] {
            *sum = *sum * kept + new;
        }
    }

    /// Returns true if enough calls have been observed lately.
    pub fn is_fitted(&self) -> bool {
        self.weight >= MIN_WEIGHT
    }

    /// Returns the fitted model. Its base is never negative and its slope is always positive.
    pub fn model(&self) -> LatencyModel {
        if !self.is_fitted() {
            return self.initial;
        }
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let slope = match variance > 1.0 {
            true => covariance / variance,
            false => self.initial.slope_ms,
        };
        let slope_ms = slope.clamp(self.initial.slope_ms / 8.0, self.initial.slope_ms * 8.0);
        LatencyModel {
            base_ms: (mean_y - slope_ms * mean_x).max(0.0),
            slope_ms,
        }
    }
}

#[cfg(test)]
mod tests;
