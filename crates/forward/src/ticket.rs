//! The items of one stage while they are made, and what came of them.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::messages::{StageFailure, StoredResult, Submission};

/// Time beyond a ticket's deadline for which its result is kept.
const RESULT_GRACE: Duration = Duration::from_millis(200);

/// The items of one stage of one request while they are made.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) id: u64,
    pub(crate) submission: Submission,
    pub(crate) deadline: Instant,
    state: Mutex<TicketState>,
    done: Notify,
    fetched: Notify,
    is_closed: AtomicBool,
    has_started: AtomicBool,
}

#[derive(Debug)]
struct TicketState {
    results: Vec<Option<StoredResult>>,
    pending: usize,
    failure: Option<StageFailure>,
    /// Whether the inputs of each item are at its endpoint.
    has_inputs: Vec<bool>,
}

impl Ticket {
    /// Nothing is made yet.
    pub(crate) fn new(submission: Submission, now: Instant) -> Self {
        let items = submission.items as usize;
        Self {
            id: rand::random(),
            deadline: now + submission.remaining,
            submission,
            state: Mutex::new(TicketState {
                results: vec![None; items],
                pending: items,
                failure: None,
                has_inputs: vec![false; items],
            }),
            done: Notify::new(),
            fetched: Notify::new(),
            is_closed: AtomicBool::new(false),
            has_started: AtomicBool::new(false),
        }
    }

    fn state(&self) -> MutexGuard<'_, TicketState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nobody waits for it any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Whether any of its items was called.
    pub(crate) fn has_started(&self) -> bool {
        self.has_started.load(Ordering::Relaxed)
    }

    /// One of its items is called.
    pub(crate) fn mark_started(&self) {
        self.has_started.store(true, Ordering::Relaxed);
    }

    /// Takes the result of `item`; false where it is not wanted.
    pub(crate) fn complete_item(&self, item: u32, result: StoredResult) -> bool {
        if self.is_closed() {
            return false;
        }
        let mut state = self.state();
        let Some(slot) = state.results.get_mut(item as usize).filter(|r| r.is_none()) else {
            return false;
        };
        *slot = Some(result);
        state.pending -= 1;
        if state.pending == 0 {
            self.done.notify_one();
        }
        true
    }

    /// The endpoint that makes `item` has fetched its inputs.
    pub(crate) fn record_inputs_fetched(&self, item: u32) {
        let mut state = self.state();
        if let Some(has_inputs) = state.has_inputs.get_mut(item as usize) {
            *has_inputs = true;
        }
        if state.has_inputs.iter().all(|has_inputs| *has_inputs) {
            self.fetched.notify_one();
        }
    }

    /// Waits until the inputs of all items are where these are made; for ever where that is not known
    /// before the items are made.
    pub(crate) async fn inputs_fetched(&self) {
        self.fetched.notified().await;
    }

    /// The stage has failed; nothing of it is wanted any more.
    pub(crate) fn fail(&self, failure: StageFailure) {
        if !self.is_closed.swap(true, Ordering::Relaxed) {
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            self.submission.log_failure(&failure, remaining, None);
        }
        self.state().failure.get_or_insert(failure);
        self.done.notify_one();
    }

    /// Waits for all results or a failure.
    pub(crate) async fn finished(&self) -> Result<Vec<StoredResult>, StageFailure> {
        loop {
            {
                let mut state = self.state();
                if let Some(failure) = state.failure.clone() {
                    return Err(failure);
                }
                if state.pending == 0 {
                    // What comes twice from here on is unwanted.
                    self.is_closed.store(true, Ordering::Relaxed);
                    return Ok(state.results.iter_mut().filter_map(Option::take).collect());
                }
            }
            let notified = timeout_at(self.deadline + RESULT_GRACE, self.done.notified()).await;
            if notified.is_err() {
                let retry_after = Duration::from_millis(500);
                return Err(StageFailure::Late { retry_after });
            }
        }
    }

    /// Ends it; the handles of what was made.
    pub(crate) fn cancel(&self) -> Vec<String> {
        self.is_closed.store(true, Ordering::Relaxed);
        let mut state = self.state();
        let results = state.results.iter_mut().filter_map(Option::take);
        results.map(|r| r.handle).collect()
    }
}
