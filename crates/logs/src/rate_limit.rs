//! Rate limits of lines per kind, and counts of the lines left out.

use std::sync::{
    LazyLock, Mutex,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use tokio::time::Instant;

use crate::kind::Kind;

/// Lines of one kind in the current second.
#[derive(Debug, Default)]
struct RateLimit {
    second: AtomicU64,
    used: AtomicU32,
    left_out: AtomicU64,
}

/// Rate limits of all kinds.
#[derive(Debug)]
pub(crate) struct RateLimits {
    start: Mutex<Option<Instant>>,
    limits: [RateLimit; Kind::ALL.len()],
    left_out: AtomicU64,
}

/// Rate limits of the process.
pub(crate) static RATE_LIMITS: LazyLock<RateLimits> = LazyLock::new(RateLimits::new);

impl RateLimits {
    pub(crate) fn new() -> Self {
        Self {
            start: Mutex::new(None),
            limits: std::array::from_fn(|_| RateLimit::default()),
            left_out: AtomicU64::new(0),
        }
    }

    /// Returns true if a line of `kind` may be written now. Otherwise counts it as left out.
    pub(crate) fn try_acquire(&self, kind: Kind) -> bool {
        let second = self.second();
        let limit = &self.limits[kind as usize];
        if limit.second.swap(second, Ordering::Relaxed) != second {
            limit.used.store(0, Ordering::Relaxed);
        }
        let is_allowed = limit.used.fetch_add(1, Ordering::Relaxed) < kind.max_per_second();
        if !is_allowed {
            self.count_left_out(kind);
        }
        is_allowed
    }

    /// Counts a line of `kind` as left out.
    pub(crate) fn count_left_out(&self, kind: Kind) {
        let limit = &self.limits[kind as usize];
        limit.left_out.fetch_add(1, Ordering::Relaxed);
        self.left_out.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of lines of each kind left out since the last call.
    pub(crate) fn take_left_out(&self) -> Vec<(Kind, u64)> {
        let counted = Kind::ALL.into_iter().map(|kind| {
            let limit = &self.limits[kind as usize];
            (kind, limit.left_out.swap(0, Ordering::Relaxed))
        });
        counted.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the number of lines left out since the start of the process.
    pub(crate) fn total_left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    fn second(&self) -> u64 {
        let mut start = self.start.lock().expect("no holder of this lock panics");
        let start = *start.get_or_insert_with(Instant::now);
        // 0 marks a limit that was never used.
        start.elapsed().as_secs() + 1
    }
}

#[cfg(test)]
mod tests;
