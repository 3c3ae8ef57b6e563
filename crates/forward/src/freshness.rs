//! Time since a quorum of keepers confirmed the declaration that is in force here.
//!
//! Measured on the boot-time clock, which keeps running while a VM is suspended, from the moment at
//! which the confirmation was requested.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// Time since the VM booted, including suspensions.
pub fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// The last confirmation. Clones share state.
#[derive(Clone, Debug)]
pub struct Freshness {
    bound: Duration,
    /// Boot time in milliseconds at which the last successful confirmation was requested; 0 if
    /// there was none.
    requested_ms: Arc<AtomicU64>,
}

impl Freshness {
    /// Creates an unconfirmed state; confirmations are valid for `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            requested_ms: Arc::default(),
        }
    }

    /// Records that keepers confirmed the declaration in force as the latest one, as requested at
    /// `requested_at`.
    pub fn confirm(&self, requested_at: Duration) {
        self.requested_ms
            .fetch_max(requested_at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the time since the last confirmation was requested, or `None` if there was none.
    pub fn age(&self) -> Option<Duration> {
        self.age_at(boot_time())
    }

    /// Returns true if access keys may be trusted now.
    pub fn is_fresh(&self) -> bool {
        self.age().is_some_and(|age| age < self.bound)
    }

    fn age_at(&self, now: Duration) -> Option<Duration> {
        match self.requested_ms.load(Ordering::Relaxed) {
            0 => None,
            requested_at => Some(now.saturating_sub(Duration::from_millis(requested_at))),
        }
    }
}

#[cfg(test)]
mod tests;
