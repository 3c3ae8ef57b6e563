//! Calls that wait for the first part of their answer, and for how long the oldest has waited.
//!
//! The oldest wait tells of a queue, or of an endpoint that stands still, as it grows; a mean of
//! answers tells of it only once answers come.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use derives::value;

/// No call waits.
const NONE: u64 = u64::MAX;

/// One call that waits.
#[value]
#[derive(Copy)]
pub(crate) struct Started {
    at_us: u64,
    number: u64,
}

/// The calls to one endpoint that wait.
#[derive(Debug)]
pub(crate) struct Waiting {
    calls: Mutex<BTreeSet<Started>>,
    next: AtomicU64,
    oldest_us: AtomicU64,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            calls: Mutex::default(),
            next: AtomicU64::new(0),
            oldest_us: AtomicU64::new(NONE),
        }
    }
}

impl Waiting {
    /// A call starts at `at_us`.
    pub(crate) fn begin(&self, at_us: u64) -> Started {
        let number = self.next.fetch_add(1, Relaxed);
        let started = Started { at_us, number };
        let mut calls = self.lock();
        calls.insert(started);
        self.publish(&calls);
        started
    }

    /// A call waits no longer; saying so again changes nothing.
    pub(crate) fn end(&self, started: Started) {
        let mut calls = self.lock();
        calls.remove(&started);
        self.publish(&calls);
    }

    /// Microseconds for which the oldest call has waited at `now_us`; 0 where none waits.
    pub(crate) fn oldest_wait_us(&self, now_us: u64) -> u64 {
        match self.oldest_us.load(Relaxed) {
            NONE => 0,
            at_us => now_us.saturating_sub(at_us),
        }
    }

    fn publish(&self, calls: &BTreeSet<Started>) {
        let oldest = calls.first().map_or(NONE, |first| first.at_us);
        self.oldest_us.store(oldest, Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Started>> {
        self.calls.lock().expect("no holder of this lock panics")
    }
}

#[cfg(test)]
mod tests {
    use super::Waiting;

    #[test]
    fn the_oldest_wait_is_that_of_the_first_call_that_still_waits() {
        let waiting = Waiting::default();
        assert_eq!(waiting.oldest_wait_us(50), 0);
        let first = waiting.begin(10);
        let second = waiting.begin(30);
        assert_eq!(waiting.oldest_wait_us(50), 40);
        waiting.end(first);
        waiting.end(first);
        assert_eq!(waiting.oldest_wait_us(50), 20);
        waiting.end(second);
        assert_eq!(waiting.oldest_wait_us(50), 0);
    }
}
