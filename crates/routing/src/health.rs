//! Outlier ejection of one endpoint by the outcome of its calls.

use std::time::Duration;

use tokio::time::Instant;

use crate::{config::EjectionConfig, ewma::DecayingMean};

/// Outcomes of one endpoint's calls and whether it is ejected.
#[derive(Debug)]
pub struct Health {
    cfg: EjectionConfig,
    consecutive_failures: u32,
    failures: DecayingMean,
    /// Ejections in a row without a healthy time between.
    ejections: u32,
    ejected_until: Option<Instant>,
    /// It was ejected, and no call of it has succeeded since.
    awaits_recovery: bool,
}

impl Health {
    /// Nothing observed yet.
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

    /// Takes an outcome; returns whether the endpoint ought to be ejected.
    pub fn observe(&mut self, failed: bool, now: Instant) -> bool {
        self.failures.add(if failed { 1.0 } else { 0.0 }, now);
        self.consecutive_failures = if failed {
            self.consecutive_failures + 1
        } else {
            0
        };
        if self.is_returned(now) {
            self.ejections = 0;
        }
        let is_returning = self.ejected_until.is_some() && !self.is_returned(now);
        let fails_often = self.failures.count() >= self.cfg.min_calls
            && self.failures.mean().unwrap_or(0.0) >= self.cfg.failure_share;
        failed
            && (is_returning
                || fails_often
                || self.consecutive_failures >= self.cfg.consecutive_failures)
    }

    /// Ejects the endpoint.
    pub fn eject(&mut self, now: Instant) {
        let doubled = self.cfg.base_duration * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + doubled.min(self.cfg.max_duration));
        self.consecutive_failures = 0;
        self.failures = DecayingMean::new(self.cfg.half_life);
        self.awaits_recovery = true;
    }

    /// A call has succeeded; whether it is the first one since an ejection.
    pub fn record_recovery(&mut self) -> bool {
        std::mem::take(&mut self.awaits_recovery)
    }

    /// Ends an ejection early.
    pub fn end_ejection(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.map(|until| until.min(now));
    }

    /// When the last ejection ends or ended.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Whether the last ejection lies so far back that the endpoint has its full share again.
    fn is_returned(&self, now: Instant) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until + self.cfg.slow_start)
    }
}

/// The share of its usual work that an endpoint gets `since` its ejection ended.
pub(crate) fn returning_share(since: Duration, slow_start: Duration) -> f64 {
    const FIRST_SHARE: f64 = 0.1;
    let passed = since.as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
    passed.clamp(FIRST_SHARE, 1.0)
}

/// How many of `endpoints` may be ejected at once.
pub fn max_ejected(endpoints: usize, max_ejected_share: f64) -> usize {
    let share = (endpoints as f64 * max_ejected_share).floor() as usize;
    match endpoints {
        0 | 1 => 0,
        _ => share.max(1),
    }
}
