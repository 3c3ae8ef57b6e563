//! Adaptive limit on the requests in flight at one gate.
//!
//! The limit grows while it is fully used and requests complete in time. While too many requests
//! end late or are refused for overload, it shrinks by a fixed factor, at most once per mean
//! request duration.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    admission::{AdmissionConfig, RequestOutcome},
    ewma::DecayingMean,
};

/// Share of overloaded requests above which the limit shrinks.
const MAX_OVERLOADED: f64 = 0.05;
const STEP_DOWN_FACTOR: f64 = 0.85;
const HALF_LIFE: Duration = Duration::from_millis(500);
const MIN_STEP_DOWN_INTERVAL: Duration = Duration::from_millis(100);
/// Fewest completed requests, weighted by age, for which the share of overloaded ones is used.
const MIN_COMPLETED: f64 = 5.0;

/// The limit and the statistics that it adapts to.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    cfg: AdmissionConfig,
    limit: f64,
    overloaded: DecayingMean,
    elapsed: DecayingMean,
    last_down: Option<Instant>,
}

impl ConcurrencyLimit {
    pub(crate) fn new(cfg: AdmissionConfig) -> Self {
        Self {
            limit: cfg.initial,
            cfg,
            overloaded: DecayingMean::new(HALF_LIFE),
            elapsed: DecayingMean::new(HALF_LIFE),
            last_down: None,
        }
    }

    /// Returns the limit in requests.
    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records a completed request; `at_limit` is true if the limit was fully used.
    pub(crate) fn record_completion(
        &mut self,
        outcome: RequestOutcome,
        elapsed: Duration,
        at_limit: bool,
        now: Instant,
    ) {
        if outcome == RequestOutcome::Other {
            return;
        }
        let is_overloaded = outcome == RequestOutcome::Overloaded;
        self.overloaded
            .add(if is_overloaded { 1.0 } else { 0.0 }, now);
        self.elapsed.add(elapsed.as_secs_f64(), now);
        let share = self.overloaded.mean().unwrap_or(0.0);
        let is_known = self.overloaded.count() >= MIN_COMPLETED;
        match is_overloaded {
            true if is_known && share > MAX_OVERLOADED && self.may_step_down(now) => {
                self.last_down = Some(now);
                self.set(self.limit * STEP_DOWN_FACTOR);
            }
            false if at_limit && share <= MAX_OVERLOADED => self.set(self.limit + 1.0 / self.limit),
            _ => {}
        }
    }

    /// Returns the expected wait of a request queued behind `waiting` others.
    pub(crate) fn expected_wait(&self, waiting: usize) -> Duration {
        let elapsed = self.elapsed.mean().unwrap_or(0.0);
        let secs = elapsed * (waiting + 1) as f64 / self.limit;
        Duration::from_secs_f64(secs.min(3_600.0))
    }

    /// Returns how many requests may be queued so that the last is admitted within `wait`.
    pub(crate) fn capacity(&self, wait: Duration) -> usize {
        match self.elapsed.mean() {
            Some(elapsed) if elapsed > 0.0 => (self.limit * wait.as_secs_f64() / elapsed) as usize,
            _ => usize::MAX,
        }
    }

    fn may_step_down(&self, now: Instant) -> bool {
        let elapsed = Duration::from_secs_f64(self.elapsed.mean().unwrap_or(0.0).min(60.0));
        let pause = elapsed.max(MIN_STEP_DOWN_INTERVAL);
        self.last_down
            .is_none_or(|at| now.saturating_duration_since(at) >= pause)
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.cfg.min, self.cfg.max);
    }
}
