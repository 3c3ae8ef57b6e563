//! Statistics of one endpoint from the gate's own calls.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use membership::ReportedLoad;
use tokio::time::Instant;

use crate::{
    affinity::Affinity,
    config::RouterConfig,
    endpoint_limit::EndpointLimit,
    ewma::DecayingMean,
    health::{Health, returning_share},
    pending::{PendingCall, PendingCalls},
    rate_share::RateShare,
};

/// Load reports closer in time than this are the same one.
const SAME_REPORT_TOLERANCE_US: u64 = 1_000;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// Mean recent latency that can be read without a lock.
#[derive(Debug)]
pub(crate) struct LatencyMean {
    mean: Mutex<DecayingMean>,
    /// Mean in microseconds; 0 if there is none.
    micros: AtomicU64,
}

impl Default for LatencyMean {
    fn default() -> Self {
        Self {
            mean: Mutex::new(DecayingMean::new(LATENCY_HALF_LIFE)),
            micros: AtomicU64::new(0),
        }
    }
}

impl LatencyMean {
    /// Adds the latency of a call.
    pub(crate) fn add(&self, elapsed: Duration, now: Instant) {
        let mut mean = self.mean.lock().expect("no holder of this lock panics");
        mean.add(elapsed.as_secs_f64(), now);
        let micros = mean.mean().unwrap_or(0.0) * 1e6;
        self.micros.store(micros as u64, Relaxed);
    }

    /// Returns the mean in seconds.
    pub(crate) fn mean(&self) -> Option<f64> {
        match self.micros.load(Relaxed) {
            0 => None,
            us => Some(us as f64 / 1e6),
        }
    }
}

/// State guarded by the lock of [`Stats`].
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) health: Health,
    pub(crate) limit: EndpointLimit,
    pub(crate) affinity: Affinity,
}

/// Longest pause that an endpoint may request. Longer ones are shortened to this.
const MAX_PAUSE: Duration = Duration::from_mins(1);

/// Calls in flight and statistics of past ones. The values that every pick reads need no lock.
#[derive(Debug)]
pub(crate) struct Stats {
    start: Instant,
    in_flight: AtomicU32,
    limit: AtomicU32,
    /// End of the latest ejection, in microseconds from `start`; 0 if there was none.
    ejected_until_us: AtomicU64,
    /// End of the requested pause, in microseconds from `start`; 0 if there was none.
    paused_until_us: AtomicU64,
    /// Time of the load report in use, in microseconds from `start`; 0 before the first.
    reported_us: AtomicU64,
    /// Calls of other gates in that report.
    other_calls: AtomicU32,
    pub(crate) latency: LatencyMean,
    pending: PendingCalls,
    /// This gate's share in the request rate that the endpoint names.
    pub(crate) rate_share: RateShare,
    inner: Mutex<Inner>,
}

impl Stats {
    pub(crate) fn new(cfg: &RouterConfig, start: Instant) -> Self {
        let inner = Inner {
            health: Health::new(cfg.ejection),
            limit: EndpointLimit::new(cfg.limit),
            affinity: Affinity::new(cfg.affinity),
        };
        Self {
            start,
            in_flight: AtomicU32::new(0),
            limit: AtomicU32::new(inner.limit.get()),
            ejected_until_us: AtomicU64::new(0),
            paused_until_us: AtomicU64::new(0),
            reported_us: AtomicU64::new(0),
            other_calls: AtomicU32::new(0),
            latency: LatencyMean::default(),
            pending: PendingCalls::default(),
            rate_share: RateShare::default(),
            inner: Mutex::new(inner),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Copies guarded state to the atomics that picks read.
    pub(crate) fn publish(&self, inner: &Inner) {
        let until = inner.health.ejected_until();
        let until_us = until.map_or(0, |until| self.micros(until));
        self.ejected_until_us.store(until_us, Relaxed);
        self.limit.store(inner.limit.get(), Relaxed);
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Returns the calls of other gates in `reported`: the reported calls minus this gate's own calls
    /// when the report was first seen. Own calls started later don't reduce it.
    pub(crate) fn other_calls(&self, reported: ReportedLoad, now: Instant) -> u32 {
        let age_us = reported.age.as_micros() as u64;
        let at_us = self.micros(now).saturating_sub(age_us).max(1);
        let known_us = self.reported_us.load(Relaxed);
        if known_us == 0 || at_us > known_us + SAME_REPORT_TOLERANCE_US {
            self.reported_us.store(at_us, Relaxed);
            let other_calls = reported.calls.saturating_sub(self.in_flight());
            self.other_calls.store(other_calls, Relaxed);
        }
        self.other_calls.load(Relaxed)
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit.load(Relaxed)
    }

    /// Increments the calls in flight and returns true, unless the limit is reached.
    pub(crate) fn try_acquire(&self) -> bool {
        let limit = self.limit();
        let increment = |n: u32| (n < limit).then_some(n + 1);
        self.in_flight
            .fetch_update(Relaxed, Relaxed, increment)
            .is_ok()
    }

    /// Records that a call starts to wait for the first byte of its response.
    pub(crate) fn begin_wait(&self, now: Instant) -> PendingCall {
        self.pending.begin(self.micros(now))
    }

    /// Records that a call no longer waits.
    pub(crate) fn end_wait(&self, call: PendingCall) {
        self.pending.end(call);
    }

    /// Records that the first byte of the response to `call` arrived.
    pub(crate) fn record_first_byte(&self, call: PendingCall, now: Instant) {
        self.pending.record_first_byte(call, self.micros(now));
    }

    /// Returns true if any call was answered after `call` started.
    pub(crate) fn has_answered_since(&self, call: PendingCall) -> bool {
        self.pending.has_answered_since(call)
    }

    /// Returns how long the oldest call of a queue has waited for the first byte of its response.
    pub(crate) fn oldest_wait(&self, now: Instant) -> Duration {
        Duration::from_micros(self.pending.oldest_wait_us(self.micros(now)))
    }

    pub(crate) fn release(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until_us.load(Relaxed) > self.micros(now)
    }

    /// Pauses the endpoint at its request. Never shortens a pause.
    pub(crate) fn pause(&self, pause: Duration, now: Instant) {
        let until = self.micros(now + pause.min(MAX_PAUSE));
        self.paused_until_us.fetch_max(until, Relaxed);
    }

    /// Returns the remaining time of the requested pause, or zero if there is none.
    pub(crate) fn remaining_pause(&self, now: Instant) -> Duration {
        let until = self.paused_until_us.load(Relaxed);
        Duration::from_micros(until.saturating_sub(self.micros(now)))
    }

    /// Returns the share of its normal load that the endpoint gets; 1 unless it was ejected recently.
    pub(crate) fn returning_share(&self, now: Instant, slow_start: Duration) -> f64 {
        match self.ejected_until_us.load(Relaxed) {
            0 => 1.0,
            until => {
                let since = self.micros(now).saturating_sub(until);
                returning_share(Duration::from_micros(since), slow_start)
            }
        }
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64 + 1
    }
}
