//! State that changes with every announcement: last heartbeat and load, read without locks. Also the
//! request rate that the endpoint names.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::time::Instant;

use crate::{Load, ObservedRate};

/// Last reported load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Calls in progress or queued.
    pub calls: u32,
    /// Time since the report arrived at a gate.
    pub age: Duration,
}

/// Last heartbeat and load of one endpoint; times are microseconds since the table's start.
#[derive(Debug)]
pub struct LiveState {
    start: Instant,
    last_heartbeat_us: AtomicU64,
    load_us: AtomicU64,
    calls: AtomicU64,
    rate: Mutex<Option<ObservedRate>>,
    /// Bits of the limit in `rate`, read without the lock; [`NO_LIMIT`] if there is none.
    limit_bits: AtomicU64,
}

impl LiveState {
    /// Creates the state of an endpoint last seen at `last_seen`; `start` is the table's start.
    pub(crate) fn new(start: Instant, last_seen: Instant) -> Self {
        let live = Self {
            start,
            last_heartbeat_us: AtomicU64::new(0),
            load_us: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            rate: Mutex::default(),
            limit_bits: AtomicU64::new(NO_LIMIT),
        };
        live.last_heartbeat_us
            .store(live.micros(last_seen), Relaxed);
        live
    }

    /// Returns the time since the last announcement that this gate knows any gate to have received.
    pub fn silence(&self, now: Instant) -> Duration {
        let last_seen = self.last_heartbeat_us.load(Relaxed);
        Duration::from_micros(self.micros(now).saturating_sub(last_seen))
    }

    /// Returns the last reported load.
    pub fn reported_load(&self, now: Instant) -> ReportedLoad {
        let age = self.micros(now).saturating_sub(self.load_us.load(Relaxed));
        ReportedLoad {
            calls: self.calls.load(Relaxed) as u32,
            age: Duration::from_micros(age),
        }
    }

    /// Records a heartbeat received at `at`. Returns true if it is later than the last known one.
    pub(crate) fn record_heartbeat(&self, at: Instant) -> bool {
        let at = self.micros(at);
        self.last_heartbeat_us.fetch_max(at, Relaxed) < at
    }

    /// Records a load report received at `at`; ignores it if a later one is known.
    pub fn report(&self, calls: u32, at: Instant) {
        let at = self.micros(at);
        if self.load_us.fetch_max(at, Relaxed) <= at {
            self.calls.store(u64::from(calls), Relaxed);
        }
    }

    /// Returns the request rate that was reported last.
    pub fn rate(&self) -> Option<ObservedRate> {
        *self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limit in requests per second that was reported last, if any.
    pub fn limit(&self) -> Option<f64> {
        let bits = self.limit_bits.load(Relaxed);
        (bits != NO_LIMIT).then(|| f64::from_bits(bits))
    }

    /// Records a reported request rate unless a later one is known. Returns true if the rate
    /// changed.
    pub(crate) fn record_rate(&self, observed: ObservedRate) -> bool {
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        if !observed.supersedes(*rate) {
            return false;
        }
        let known = rate.replace(observed);
        let bits = observed.per_second.map_or(NO_LIMIT, f64::to_bits);
        self.limit_bits.store(bits, Relaxed);
        known.and_then(|known| known.per_second) != observed.per_second
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64 + TABLE_START_OFFSET_US
    }
}

/// Bits of no number.
const NO_LIMIT: u64 = u64::MAX;
/// Allows for heartbeats that precede the table's start.
const TABLE_START_OFFSET_US: u64 = 60_000_000;

/// Returns the number of calls in progress or queued.
pub(crate) fn total_calls(load: &Load) -> u32 {
    load.running.saturating_add(load.queued)
}

/// A greater age indicates clock skew rather than an old measurement.
const MAX_LOAD_AGE: Duration = Duration::from_secs(10);

/// Returns the time since the load was measured by the endpoint's clock; zero if implausible.
pub(crate) fn load_age(load: &Load) -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let age = since_epoch
        .unwrap_or_default()
        .saturating_sub(Duration::from_millis(load.as_of_ms));
    match age <= MAX_LOAD_AGE {
        true => age,
        false => Duration::ZERO,
    }
}
