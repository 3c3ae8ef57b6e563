//! Outlier detection for one endpoint, based on the outcomes of its calls.

use std::time::Duration;

use tokio::time::Instant;

use crate::{config::EjectionConfig, ewma::DecayingMean};

/// Recent outcomes and ejection state of one endpoint.
#[derive(Debug)]
pub struct Health {
    cfg: EjectionConfig,
    consecutive_failures: u32,
    failures: DecayingMean,
    /// Consecutive ejections without a healthy period in between.
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Set from an ejection until the next successful call.
    awaits_recovery: bool,
}

impl Health {
    /// Creates the state of an endpoint without observed calls.
    pub fn new(cfg: EjectionConfig) -> Self {
        Self {
            failures: DecayingMean::new(cfg.half_life),
            cfg,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            awaits_recovery: false,
        }
    }

    /// Records an outcome. Returns true if the endpoint should be ejected.
    pub fn observe(&mut self, failed: bool, now: Instant) -> bool {
        self.failures.add(if failed { 1.0 } else { 0.0 }, now);
        self.consecutive_failures = if failed {
            self.consecutive_failures + 1
        } else {
            0
        };
        if self.has_full_share(now) {
            self.ejections = 0;
        }
        let is_ramping_up = self.ejected_until.is_some() && !self.has_full_share(now);
        let exceeds_failure_share = self.failures.count() >= self.cfg.min_calls
            && self.failures.mean().unwrap_or(0.0) >= self.cfg.failure_share;
        failed
            && (is_ramping_up
                || exceeds_failure_share
                || self.consecutive_failures >= self.cfg.consecutive_failures)
    }

    /// Ejects the endpoint. The duration doubles with each consecutive ejection.
    pub fn eject(&mut self, now: Instant) {
        let duration = self.cfg.base_duration * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + duration.min(self.cfg.max_duration));
        self.consecutive_failures = 0;
        self.failures = DecayingMean::new(self.cfg.half_life);
        self.awaits_recovery = true;
    }

    /// Records a successful call. Returns true if it is the first one since an ejection.
    pub fn record_recovery(&mut self) -> bool {
        std::mem::take(&mut self.awaits_recovery)
    }

    /// Ends the current ejection, if any, at `now`.
    pub fn end_ejection(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.map(|until| until.min(now));
    }

    /// Returns the end of the latest ejection, which may be in the past.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Returns true if the slow start after the latest ejection is over.
    fn has_full_share(&self, now: Instant) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until + self.cfg.slow_start)
    }
}

/// Returns the share of its normal load that an endpoint gets `since` its ejection ended.
pub(crate) fn returning_share(since: Duration, slow_start: Duration) -> f64 {
    const INITIAL_SHARE: f64 = 0.1;
    let progress = since.as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
    progress.clamp(INITIAL_SHARE, 1.0)
}

/// Returns how many of `endpoints` may be ejected at once.
pub fn max_ejected(endpoints: usize, max_ejected_share: f64) -> usize {
    let share = (endpoints as f64 * max_ejected_share).floor() as usize;
    match endpoints {
        0 | 1 => 0,
        _ => share.max(1),
    }
}
