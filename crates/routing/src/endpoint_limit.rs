//! Adaptive limit on the calls in flight to one endpoint.
//!
//! The limit grows while it is in use and latency is at its baseline. It shrinks in proportion when
//! latency rises, and by a fixed factor when the endpoint refuses a call or stalls.

use std::time::Duration;

use crate::config::LimitConfig;

/// Weight of a new value in the baseline latency.
const BASELINE_WEIGHT: f64 = 0.01;
/// Weight of a new value in the recent latency.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of a new limit against the old one.
const SMOOTHING: f64 = 0.2;
/// Factor applied to the limit after a refusal or a stall.
const BACKOFF_FACTOR: f64 = 0.9;
/// Ratio of baseline to recent latency above which the baseline decays faster.
const MUCH_FASTER_FACTOR: f64 = 2.0;

/// Concurrency limit of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointLimit {
    cfg: LimitConfig,
    calls: f64,
    baseline: Option<f64>,
    recent: f64,
}

impl EndpointLimit {
    pub(crate) fn new(cfg: LimitConfig) -> Self {
        Self {
            cfg,
            calls: cfg.initial,
            baseline: None,
            recent: 0.0,
        }
    }

    /// Returns the limit in calls.
    pub(crate) fn get(&self) -> u32 {
        self.calls.round() as u32
    }

    /// Records the latency of an answered call that was one of `in_flight` calls.
    pub(crate) fn record_response(&mut self, elapsed: Duration, in_flight: u32) {
        let elapsed = elapsed.as_secs_f64().max(1e-6);
        let baseline = match self.baseline {
            None => {
                self.recent = elapsed;
                elapsed
            }
            Some(baseline) => {
                self.recent += RECENT_WEIGHT * (elapsed - self.recent);
                baseline + BASELINE_WEIGHT * (elapsed - baseline)
            }
        };
        let is_much_faster = baseline > MUCH_FASTER_FACTOR * self.recent;
        let baseline = if is_much_faster {
            baseline * 0.95
        } else {
            baseline
        };
        self.baseline = Some(baseline);
        let gradient = (self.cfg.tolerance * baseline / self.recent).clamp(0.5, 1.0);
        let is_in_use = f64::from(in_flight) >= self.calls / 2.0;
        if is_in_use || gradient < 1.0 {
            let target = self.calls * gradient + self.calls.sqrt();
            let target = if is_in_use {
                target
            } else {
                target.min(self.calls)
            };
            self.set(self.calls + SMOOTHING * (target - self.calls));
        }
    }

    /// Lowers the limit after a refusal or a stall.
    pub(crate) fn back_off(&mut self) {
        self.set(self.calls * BACKOFF_FACTOR);
    }

    fn set(&mut self, limit: f64) {
        self.calls = limit.clamp(self.cfg.min, self.cfg.max);
    }
}
