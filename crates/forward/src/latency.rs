//! What calls have taken: a line through amount of work and time, forgetting what is old.

use tokio::time::{Duration, Instant};

/// Time over which an observation loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight below which the first initial stands.
const MIN_WEIGHT: f64 = 4.0;

/// Time as `base + slope * amount`, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencyModel {
    pub(crate) base_ms: f64,
    pub(crate) slope_ms: f64,
}

impl LatencyModel {
    /// The time that `amount` takes.
    pub(crate) fn at(self, amount: f64) -> f64 {
        self.base_ms + self.slope_ms * amount
    }
}

/// A line fitted to observations.
#[derive(Debug)]
pub(crate) struct LatencyFit {
    initial: LatencyModel,
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    at: Option<Instant>,
}

impl LatencyFit {
    /// Nothing observed; `initial` stands until enough is.
    pub(crate) fn new(initial: LatencyModel) -> Self {
        Self {
            initial,
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            at: None,
        }
    }

    /// Notes that `amount` took `ms`.
    pub(crate) fn observe(&mut self, amount: f64, ms: f64, now: Instant) {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.at = Some(now);
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

    /// The line that fits best; time neither falls with the amount nor is negative without any.
    pub(crate) fn model(&self) -> LatencyModel {
        if self.weight < MIN_WEIGHT {
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

/// How much slower than expected something is, forgotten over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowness {
    factor: f64,
    at: Option<Instant>,
}

/// Share of a new observation in the factor.
const SMOOTHING: f64 = 0.4;
const MAX_FACTOR: f64 = 16.0;
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

impl Slowness {
    pub(crate) fn new() -> Self {
        Self {
            factor: 1.0,
            at: None,
        }
    }

    /// Notes that what was expected to take `expected_ms` took `ms`.
    pub(crate) fn observe(&mut self, expected_ms: f64, ms: f64, now: Instant) {
        let seen = (ms / expected_ms.max(1.0)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let old = self.factor(now);
        self.factor = old + SMOOTHING * (seen - old);
        self.at = Some(now);
    }

    /// The factor now, 1 where it is as fast as expected.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.factor - 1.0) * kept
    }
}

#[cfg(test)]
mod tests;
