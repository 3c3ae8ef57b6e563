//! What a gate knows of one endpoint from its own calls.

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
    ewma::Decaying,
    health::{Health, returning_share},
    limit::Limit,
    waiting::{Started, Waiting},
};

/// Reports that are apart by less are the same one.
const SAME_REPORT_US: u64 = 1_000;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// A mean time of recent answers that is read without a lock.
#[derive(Debug)]
pub(crate) struct Latency {
    mean: Mutex<Decaying>,
    /// Microseconds; 0 where none is known.
    micros: AtomicU64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            mean: Mutex::new(Decaying::new(LATENCY_HALF_LIFE)),
            micros: AtomicU64::new(0),
        }
    }
}

impl Latency {
    /// Takes the time of an answer.
    pub(crate) fn add(&self, elapsed: Duration, now: Instant) {
        let mut mean = self.mean.lock().expect("no holder of this lock panics");
        mean.add(elapsed.as_secs_f64(), now);
        let micros = mean.mean().unwrap_or(0.0) * 1e6;
        self.micros.store(micros as u64, Relaxed);
    }

    /// The mean in seconds.
    pub(crate) fn mean(&self) -> Option<f64> {
        match self.micros.load(Relaxed) {
            0 => None,
            us => Some(us as f64 / 1e6),
        }
    }
}

/// What [`Stats`]' lock guards.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) health: Health,
    pub(crate) limit: Limit,
    pub(crate) affinity: Affinity,
}

/// Longest pause that an endpoint may ask for; a longer one counts as this.
const MAX_PAUSE: Duration = Duration::from_mins(1);

/// Calls in flight and what earlier ones told; the numbers that every pick reads need no lock.
#[derive(Debug)]
pub(crate) struct Stats {
    start: Instant,
    in_flight: AtomicU32,
    limit: AtomicU32,
    /// Microseconds from `start`; 0 where it never was ejected.
    ejected_until_us: AtomicU64,
    /// Until when it asked for a pause, in microseconds from `start`; 0 where it never did.
    paused_until_us: AtomicU64,
    /// When the load report in use came, in microseconds from `start`; 0 before the first.
    reported_us: AtomicU64,
    /// Calls of others in that report.
    others: AtomicU32,
    pub(crate) latency: Latency,
    waiting: Waiting,
    inner: Mutex<Inner>,
}

impl Stats {
    pub(crate) fn new(cfg: &RouterConfig, start: Instant) -> Self {
        let inner = Inner {
            health: Health::new(cfg.ejection),
            limit: Limit::new(cfg.limit),
            affinity: Affinity::new(cfg.affinity),
        };
        Self {
            start,
            in_flight: AtomicU32::new(0),
            limit: AtomicU32::new(inner.limit.get()),
            ejected_until_us: AtomicU64::new(0),
            paused_until_us: AtomicU64::new(0),
            reported_us: AtomicU64::new(0),
            others: AtomicU32::new(0),
            latency: Latency::default(),
            waiting: Waiting::default(),
            inner: Mutex::new(inner),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Copies what the lock guards to where picks read it.
    pub(crate) fn publish(&self, inner: &Inner) {
        let until = inner.health.ejected_until();
        let until_us = until.map_or(0, |until| self.micros(until));
        self.ejected_until_us.store(until_us, Relaxed);
        self.limit.store(inner.limit.get(), Relaxed);
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Calls of others in `reported`: what exceeded our own calls when it came. Those that began
    /// since add to them.
    pub(crate) fn others(&self, reported: ReportedLoad, now: Instant) -> u32 {
        let age_us = reported.age.as_micros() as u64;
        let at_us = self.micros(now).saturating_sub(age_us).max(1);
        let known_us = self.reported_us.load(Relaxed);
        if known_us == 0 || at_us > known_us + SAME_REPORT_US {
            self.reported_us.store(at_us, Relaxed);
            let others = reported.calls.saturating_sub(self.in_flight());
            self.others.store(others, Relaxed);
        }
        self.others.load(Relaxed)
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit.load(Relaxed)
    }

    /// Takes a slot where the limit allows one.
    pub(crate) fn try_enter(&self) -> bool {
        let limit = self.limit();
        let enter = |n: u32| (n < limit).then_some(n + 1);
        self.in_flight.fetch_update(Relaxed, Relaxed, enter).is_ok()
    }

    /// A call starts to wait for the first part of its answer.
    pub(crate) fn begin_wait(&self, now: Instant) -> Started {
        self.waiting.begin(self.micros(now))
    }

    /// The call waits no longer.
    pub(crate) fn end_wait(&self, started: Started) {
        self.waiting.end(started);
    }

    /// The first part of the call's answer is there.
    pub(crate) fn answered(&self, started: Started, now: Instant) {
        self.waiting.answered(started, self.micros(now));
    }

    /// Whether any call was answered after `started` began.
    pub(crate) fn has_answered_since(&self, started: Started) -> bool {
        self.waiting.has_answered_since(started)
    }

    /// For how long the oldest call has waited for the first part of its answer.
    pub(crate) fn oldest_wait(&self, now: Instant) -> Duration {
        Duration::from_micros(self.waiting.oldest_wait_us(self.micros(now)))
    }

    pub(crate) fn leave(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until_us.load(Relaxed) > self.micros(now)
    }

    /// It asked for a pause; a longer one replaces a shorter one.
    pub(crate) fn pause(&self, pause: Duration, now: Instant) {
        let until = self.micros(now + pause.min(MAX_PAUSE));
        self.paused_until_us.fetch_max(until, Relaxed);
    }

    /// What is left of the pause that it asked for; zero where it takes work.
    pub(crate) fn pause_left(&self, now: Instant) -> Duration {
        let until = self.paused_until_us.load(Relaxed);
        Duration::from_micros(until.saturating_sub(self.micros(now)))
    }

    /// The share of its usual work that it gets now, 1 where it was not ejected of late.
    pub(crate) fn returning_share(&self, now: Instant, slow_return: Duration) -> f64 {
        match self.ejected_until_us.load(Relaxed) {
            0 => 1.0,
            until => {
                let since = self.micros(now).saturating_sub(until);
                returning_share(Duration::from_micros(since), slow_return)
            }
        }
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64 + 1
    }
}
