//! Faults that a stand-in can be told to show.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

/// A fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// Everything takes this many times as long.
    Slow(f64),
    /// Every n-th call runs and then answers 500.
    FailEvery(u64),
    /// Calls run, answers never come; streams stop half way.
    Stall,
    /// Calls run and their connection closes without the whole answer.
    CloseEarly,
    /// Calls are refused with 503 and an explicit `not_run`.
    Refuse,
    /// The same, and a pause of so many seconds is asked for.
    RetryAfter(u32),
    /// It works, and says in each answer that it is leaving, whatever it announces.
    LeavingHeader,
    /// Calls run and the answer echoes another call's id.
    WrongCallId,
    /// Streams leave out one chunk.
    DropChunk,
    /// Streams send each chunk twice.
    DuplicateChunk,
}

/// The fault in force, and the count of calls.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    fault: Mutex<Fault>,
    calls: AtomicU64,
}

impl Faults {
    pub(crate) fn set(&self, fault: Fault) {
        *self.fault.lock().expect("no panic under this lock") = fault;
    }

    pub(crate) fn get(&self) -> Fault {
        *self.fault.lock().expect("no panic under this lock")
    }

    /// The fault that the next call meets.
    pub(crate) fn next(&self) -> Fault {
        let n = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        match self.get() {
            Fault::FailEvery(every) if !n.is_multiple_of(every.max(1)) => Fault::None,
            fault => fault,
        }
    }

    /// By how much work is slowed.
    pub(crate) fn slowness(&self) -> f64 {
        match self.get() {
            Fault::Slow(factor) => factor.max(0.0),
            _ => 1.0,
        }
    }
}
