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
const MIN_QUEUE_CALLS: usize = 3;
/// No queue.
const NONE: u64 = u64::MAX;

/// One call that waits.
#[value]
#[derive(Copy)]
pub(crate) struct PendingCall {
    started_us: u64,
    number: u64,
}

/// The calls to one endpoint that wait.
#[derive(Debug)]
pub(crate) struct PendingCalls {
    calls: Mutex<BTreeSet<PendingCall>>,
    next_number: AtomicU64,
    oldest_us: AtomicU64,
    last_answer_us: AtomicU64,
    /// The latest start of a call that was answered.
    latest_answered_start_us: AtomicU64,
}

impl Default for PendingCalls {
    fn default() -> Self {
        Self {
            calls: Mutex::default(),
            next_number: AtomicU64::new(0),
            oldest_us: AtomicU64::new(NONE),
            last_answer_us: AtomicU64::new(0),
            latest_answered_start_us: AtomicU64::new(0),
        }
    }
}

impl PendingCalls {
    /// A call starts at `at_us`.
    pub(crate) fn begin(&self, started_us: u64) -> PendingCall {
        let number = self.next_number.fetch_add(1, Relaxed);
        let call = PendingCall { started_us, number };
        let mut calls = self.lock();
        calls.insert(call);
        self.publish(&calls);
        call
    }

    /// A call waits no longer; saying so again changes nothing.
    pub(crate) fn end(&self, call: PendingCall) {
        let mut calls = self.lock();
        calls.remove(&call);
        self.publish(&calls);
    }

    /// The first part of a call's answer came at `now_us`.
    pub(crate) fn record_first_byte(&self, call: PendingCall, now_us: u64) {
        self.latest_answered_start_us
            .fetch_max(call.started_us, Relaxed);
        self.end(call);
        self.last_answer_us.fetch_max(now_us, Relaxed);
    }

    /// Whether any call was answered after `started` began.
    pub(crate) fn has_answered_since(&self, call: PendingCall) -> bool {
        self.last_answer_us.load(Relaxed) > call.started_us
    }

    /// Microseconds for which the oldest call has waited at `now_us`; 0 where none waits.
    pub(crate) fn oldest_wait_us(&self, now_us: u64) -> u64 {
        match self.oldest_us.load(Relaxed) {
            NONE => 0,
            started_us => now_us.saturating_sub(started_us),
        }
    }

    /// A call that later ones have overtaken tells of its connection, not of a queue, and so do
    /// few calls.
    fn publish(&self, calls: &BTreeSet<PendingCall>) {
        let from = PendingCall {
            started_us: self.latest_answered_start_us.load(Relaxed),
            number: 0,
        };
        let mut queue = calls.range(from..);
        let oldest = queue.next().map_or(NONE, |first| first.started_us);
        let is_queue = queue.nth(MIN_QUEUE_CALLS - 2).is_some();
        let oldest = if is_queue { oldest } else { NONE };
        self.oldest_us.store(oldest, Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<PendingCall>> {
        self.calls.lock().expect("no holder of this lock panics")
    }
}

#[cfg(test)]
mod tests;
