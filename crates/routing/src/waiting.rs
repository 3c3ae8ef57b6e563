//! Calls that wait for the first part of their answer, and for how long the oldest of a queue has.
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

/// Fewer calls that wait are no queue.
const MIN_QUEUE: usize = 3;
/// No queue.
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
    answered_us: AtomicU64,
    /// The latest start of a call that was answered.
    overtaken_us: AtomicU64,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            calls: Mutex::default(),
            next: AtomicU64::new(0),
            oldest_us: AtomicU64::new(NONE),
            answered_us: AtomicU64::new(0),
            overtaken_us: AtomicU64::new(0),
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

    /// The first part of a call's answer came at `now_us`.
    pub(crate) fn record_first_byte(&self, started: Started, now_us: u64) {
        self.overtaken_us.fetch_max(started.at_us, Relaxed);
        self.end(started);
        self.answered_us.fetch_max(now_us, Relaxed);
    }

    /// Whether any call was answered after `started` began.
    pub(crate) fn has_answered_since(&self, started: Started) -> bool {
        self.answered_us.load(Relaxed) > started.at_us
    }

    /// Microseconds for which the oldest call has waited at `now_us`; 0 where none waits.
    pub(crate) fn oldest_wait_us(&self, now_us: u64) -> u64 {
        match self.oldest_us.load(Relaxed) {
            NONE => 0,
            at_us => now_us.saturating_sub(at_us),
        }
    }

    /// A call that later ones have overtaken tells of its connection, not of a queue, and so do
    /// few calls.
    fn publish(&self, calls: &BTreeSet<Started>) {
        let from = Started {
            at_us: self.overtaken_us.load(Relaxed),
            number: 0,
        };
        let mut queue = calls.range(from..);
        let oldest = queue.next().map_or(NONE, |first| first.at_us);
        let is_queue = queue.nth(MIN_QUEUE - 2).is_some();
        let oldest = if is_queue { oldest } else { NONE };
        self.oldest_us.store(oldest, Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Started>> {
        self.calls.lock().expect("no holder of this lock panics")
    }
}

#[cfg(test)]
mod tests;
