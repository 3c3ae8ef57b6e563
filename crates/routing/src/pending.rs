//! Calls that wait for the first byte of their response, and the age of the oldest in a queue.
//!
//! The oldest wait reveals a growing queue or a stalled endpoint at once, whereas the mean latency
//! reveals it only when responses arrive.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use derives::value;

/// Fewest pending calls that count as a queue.
const MIN_QUEUE_CALLS: usize = 3;
/// Value of `oldest_us` if there is no queue.
const NO_QUEUE: u64 = u64::MAX;

/// Identifies a pending call. Ordered by start time.
#[value]
#[derive(Copy)]
pub(crate) struct PendingCall {
    started_us: u64,
    number: u64,
}

/// Pending calls to one endpoint.
#[derive(Debug)]
pub(crate) struct PendingCalls {
    calls: Mutex<BTreeSet<PendingCall>>,
    next_number: AtomicU64,
    oldest_us: AtomicU64,
    last_answer_us: AtomicU64,
    /// Latest start time of an answered call.
    latest_answered_start_us: AtomicU64,
}

impl Default for PendingCalls {
    fn default() -> Self {
        Self {
            calls: Mutex::default(),
            next_number: AtomicU64::new(0),
            oldest_us: AtomicU64::new(NO_QUEUE),
            last_answer_us: AtomicU64::new(0),
            latest_answered_start_us: AtomicU64::new(0),
        }
    }
}

impl PendingCalls {
    /// Adds a call that starts at `started_us`.
    pub(crate) fn begin(&self, started_us: u64) -> PendingCall {
        let number = self.next_number.fetch_add(1, Relaxed);
        let call = PendingCall { started_us, number };
        let mut calls = self.lock();
        calls.insert(call);
        self.publish(&calls);
        call
    }

    /// Removes a call. Has no effect if it was removed before.
    pub(crate) fn end(&self, call: PendingCall) {
        let mut calls = self.lock();
        calls.remove(&call);
        self.publish(&calls);
    }

    /// Records that the first byte of the response to `call` arrived at `now_us`, and removes it.
    pub(crate) fn record_first_byte(&self, call: PendingCall, now_us: u64) {
        self.latest_answered_start_us
            .fetch_max(call.started_us, Relaxed);
        self.end(call);
        self.last_answer_us.fetch_max(now_us, Relaxed);
    }

    /// Returns true if any call was answered after `call` started.
    pub(crate) fn has_answered_since(&self, call: PendingCall) -> bool {
        self.last_answer_us.load(Relaxed) > call.started_us
    }

    /// Returns how long the oldest call of the queue has waited at `now_us`, in microseconds; 0 if
    /// there is no queue.
    pub(crate) fn oldest_wait_us(&self, now_us: u64) -> u64 {
        match self.oldest_us.load(Relaxed) {
            NO_QUEUE => 0,
            started_us => now_us.saturating_sub(started_us),
        }
    }

    /// Publishes the start time of the oldest call of the queue. Calls that started before an answered
    /// one are ignored, since they indicate a problem with their connection, and so are fewer than
    /// [`MIN_QUEUE_CALLS`] calls.
    fn publish(&self, calls: &BTreeSet<PendingCall>) {
        let from = PendingCall {
            started_us: self.latest_answered_start_us.load(Relaxed),
            number: 0,
        };
        let mut queue = calls.range(from..);
        let oldest = queue.next().map_or(NO_QUEUE, |first| first.started_us);
        let is_queue = queue.nth(MIN_QUEUE_CALLS - 2).is_some();
        let oldest = if is_queue { oldest } else { NO_QUEUE };
        self.oldest_us.store(oldest, Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<PendingCall>> {
        self.calls.lock().expect("no holder of this lock panics")
    }
}

#[cfg(test)]
mod tests;
