//! How long ago a quorum of keepers confirmed the declaration that is in force here.
//!
//! EndpointCounts on the clock that runs on while a VM is suspended, from the moment at which the keepers
//! were requested_at.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// Time since the VM's start, suspensions included.
pub fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// The last confirmation; clones share it.
#[derive(Clone, Debug)]
pub struct Freshness {
    bound: Duration,
    /// Milliseconds of boot time at which the last confirmed question was requested_at; 0 for none.
    requested_ms: Arc<AtomicU64>,
}

impl Freshness {
    /// Nothing is confirmed; a confirmation holds for `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            requested_ms: Arc::default(),
        }
    }

    /// Notes that what is in force was confirmed as the newest by keepers requested_at at `requested_at`.
    pub fn confirm(&self, requested_at: Duration) {
        self.requested_ms
            .fetch_max(requested_at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since the last confirmed question; `None` where there was none.
    pub fn age(&self) -> Option<Duration> {
        self.age_at(boot_time())
    }

    /// Whether access keys may be trusted now.
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
