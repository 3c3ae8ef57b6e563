//! Faults that can be injected into a stand-in.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

/// An injected fault; it stays in force until it is replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Normal operation.
    #[default]
    None,
    /// Calls and decode steps take this many times as long.
    Slow(f64),
    /// Every n-th call runs and then fails: a stage call with status 500, a completion with an
    /// error event halfway through the stream or a closed connection.
    FailEvery(u64),
    /// Calls run but are never answered; streams stop halfway.
    Stall,
    /// Streams fall silent for this many milliseconds after their second event and then continue;
    /// other responses take that much longer.
    Pause(u64),
    /// Calls run and the connection closes before the response is complete.
    CloseEarly,
    /// The connection of a stream closes after its second event, unless the stream is resumed.
    Interrupt,
    /// Calls are refused with status 503 and the outcome `not_run`.
    Refuse,
    /// Like `Refuse`, with a `retry-after` header of this many seconds.
    RetryAfter(u32),
    /// Calls work, and every response has the header `jujube-leaving`, whatever is announced.
    LeavingHeader,
    /// Calls run and the response carries the id of another call.
    WrongCallId,
    /// Streams omit one chunk.
    DropChunk,
    /// Streams send each chunk twice.
    DuplicateChunk,
}

/// The fault in force and the number of calls so far.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    fault: Mutex<Fault>,
    calls: AtomicU64,
}

impl FaultState {
    pub(crate) fn set(&self, fault: Fault) {
        *self.fault.lock().expect("no panic under this lock") = fault;
    }

    pub(crate) fn get(&self) -> Fault {
        *self.fault.lock().expect("no panic under this lock")
    }

    /// Counts a call and returns the fault that applies to it.
    pub(crate) fn next_for_call(&self) -> Fault {
        let n = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        match self.get() {
            Fault::FailEvery(every) if !n.is_multiple_of(every.max(1)) => Fault::None,
            fault => fault,
        }
    }

    /// Returns the factor by which work takes longer.
    pub(crate) fn slowdown(&self) -> f64 {
        match self.get() {
            Fault::Slow(factor) => factor.max(0.0),
            _ => 1.0,
        }
    }
}
