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
const GRACE: Duration = Duration::from_millis(200);

/// The items of one stage of one request while they are made.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) id: u64,
    pub(crate) submission: Submission,
    pub(crate) deadline: Instant,
    state: Mutex<TicketState>,
    done: Notify,
    fetched: Notify,
    is_over: AtomicBool,
    has_begun: AtomicBool,
}

#[derive(Debug)]
struct TicketState {
    made: Vec<Option<StoredResult>>,
    missing: usize,
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
            deadline: now + submission.left,
            submission,
            state: Mutex::new(TicketState {
                made: vec![None; items],
                missing: items,
                failure: None,
                has_inputs: vec![false; items],
            }),
            done: Notify::new(),
            fetched: Notify::new(),
            is_over: AtomicBool::new(false),
            has_begun: AtomicBool::new(false),
        }
    }

    fn state(&self) -> MutexGuard<'_, TicketState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nobody waits for it any more.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Whether any of its items was called.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// One of its items is called.
    pub(crate) fn begin(&self) {
        self.has_begun.store(true, Ordering::Relaxed);
    }

    /// Takes the result of `item`; false where it is not wanted.
    pub(crate) fn complete_item(&self, item: u32, made: StoredResult) -> bool {
        if self.is_over() {
            return false;
        }
        let mut state = self.state();
        let Some(slot) = state.made.get_mut(item as usize).filter(|m| m.is_none()) else {
            return false;
        };
        *slot = Some(made);
        state.missing -= 1;
        if state.missing == 0 {
            self.done.notify_one();
        }
        true
    }

    /// The endpoint that makes `item` has fetched its inputs.
    pub(crate) fn note_fetched(&self, item: u32) {
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
        if !self.is_over.swap(true, Ordering::Relaxed) {
            let left = self.deadline.saturating_duration_since(Instant::now());
            self.submission.tell(&failure, left, None);
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
                if state.missing == 0 {
                    // What comes twice from here on is unwanted.
                    self.is_over.store(true, Ordering::Relaxed);
                    return Ok(state.made.iter_mut().filter_map(Option::take).collect());
                }
            }
            let waited = timeout_at(self.deadline + GRACE, self.done.notified()).await;
            if waited.is_err() {
                let retry_after = Duration::from_millis(500);
                return Err(StageFailure::Late { retry_after });
            }
        }
    }

    /// Ends it; the handles of what was made.
    pub(crate) fn cancel(&self) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut state = self.state();
        let made = state.made.iter_mut().filter_map(Option::take);
        made.map(|m| m.handle).collect()
    }
}
