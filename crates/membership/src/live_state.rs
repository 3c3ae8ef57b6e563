//! What changes with every announcement: last sign of life and load; read without locks.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::time::Instant;

use crate::Load;

/// Load of one endpoint as last reported, in calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Calls that run or wait.
    pub calls: u32,
    /// Time since the report arrived at a gate.
    pub age: Duration,
}

/// Last sign of life and load of one endpoint, in microseconds since the table's start.
#[derive(Debug)]
pub struct LiveState {
    start: Instant,
    last_heartbeat_us: AtomicU64,
    load_us: AtomicU64,
    calls: AtomicU64,
}

impl LiveState {
    /// An endpoint heard at `heard`; `start` is the table's start.
    pub(crate) fn new(start: Instant, heard: Instant) -> Self {
        let live = Self {
            start,
            last_heartbeat_us: AtomicU64::new(0),
            load_us: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        };
        live.last_heartbeat_us.store(live.micros(heard), Relaxed);
        live
    }

    /// Time since the last announcement that any gate heard, as far as is known here.
    pub fn silence(&self, now: Instant) -> Duration {
        let heard = self.last_heartbeat_us.load(Relaxed);
        Duration::from_micros(self.micros(now).saturating_sub(heard))
    }

    /// The load as last reported.
    pub fn reported_load(&self, now: Instant) -> ReportedLoad {
        let age = self.micros(now).saturating_sub(self.load_us.load(Relaxed));
        ReportedLoad {
            calls: self.calls.load(Relaxed) as u32,
            age: Duration::from_micros(age),
        }
    }

    /// Takes a sign of life at `at`; an older one than known changes nothing.
    pub(crate) fn record_heartbeat(&self, at: Instant) -> bool {
        let at = self.micros(at);
        self.last_heartbeat_us.fetch_max(at, Relaxed) < at
    }

    /// Takes a load report that arrived at `at`; an older one than known changes nothing.
    pub fn report(&self, calls: u32, at: Instant) {
        let at = self.micros(at);
        if self.load_us.fetch_max(at, Relaxed) <= at {
            self.calls.store(u64::from(calls), Relaxed);
        }
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64 + TABLE_START_OFFSET_US
    }
}

/// Leaves room for signs of life before the table's start.
const TABLE_START_OFFSET_US: u64 = 60_000_000;

/// Calls that run or wait at the endpoint.
pub(crate) fn calls_of(load: &Load) -> u32 {
    load.running.saturating_add(load.queued)
}

/// A longer lag tells more of the endpoint's clock than of its load.
const MAX_LOAD_AGE: Duration = Duration::from_secs(10);

/// How long ago the load was measured, by the endpoint's clock; zero where that is not credible.
pub(crate) fn load_age(load: &Load) -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let lag = since_epoch
        .unwrap_or_default()
        .saturating_sub(Duration::from_millis(load.as_of_ms));
    match lag <= MAX_LOAD_AGE {
        true => lag,
        false => Duration::ZERO,
    }
}
