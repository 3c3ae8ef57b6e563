//! Progress and results of the items of one stage.

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

/// Time after a ticket's deadline in which results are still accepted.
const RESULT_GRACE: Duration = Duration::from_millis(200);

/// The items of one stage of one request, with their progress.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) id: u64,
    pub(crate) submission: Submission,
    pub(crate) deadline: Instant,
    /// How long the items were expected to wait when they were accepted.
    pub(crate) expected_wait: Duration,
    state: Mutex<TicketState>,
    done: Notify,
    fetched: Notify,
    is_closed: AtomicBool,
    has_started: AtomicBool,
}

#[derive(Debug)]
struct TicketState {
    results: Vec<Option<(StoredResult, Instant)>>,
    pending: usize,
    failure: Option<StageFailure>,
    /// For each item, true if its endpoint has fetched the inputs.
    has_inputs: Vec<bool>,
}

impl Ticket {
    /// Creates a ticket without results.
    pub(crate) fn new(submission: Submission, now: Instant) -> Self {
        let items = submission.items as usize;
        Self {
            id: rand::random(),
            deadline: now + submission.remaining,
            expected_wait: Duration::ZERO,
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

    /// Returns true if nothing waits for the ticket any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns true if a call with any of the items was started.
    pub(crate) fn has_started(&self) -> bool {
        self.has_started.load(Ordering::Relaxed)
    }

    /// Records that a call with one of the items was started.
    pub(crate) fn mark_started(&self) {
        self.has_started.store(true, Ordering::Relaxed);
    }

    /// Stores the result of `item`. Returns false if it is not needed.
    pub(crate) fn complete_item(&self, item: u32, result: StoredResult) -> bool {
        if self.is_closed() {
            return false;
        }
        let mut state = self.state();
        let Some(slot) = state.results.get_mut(item as usize).filter(|r| r.is_none()) else {
            return false;
        };
        *slot = Some((result, Instant::now()));
        state.pending -= 1;
        if state.pending == 0 {
            self.done.notify_one();
        }
        true
    }

    /// Records that the endpoint of `item` has fetched its inputs.
    pub(crate) fn record_inputs_fetched(&self, item: u32) {
        let mut state = self.state();
        if let Some(has_inputs) = state.has_inputs.get_mut(item as usize) {
            *has_inputs = true;
        }
        if state.has_inputs.iter().all(|has_inputs| *has_inputs) {
            self.fetched.notify_one();
        }
    }

    /// Records that `item` needs its inputs once more. Returns false if they may be released already,
    /// since the endpoints of all items had fetched them.
    pub(crate) fn reclaim_inputs(&self, item: u32) -> bool {
        if self.submission.inputs.is_empty() {
            return true;
        }
        let mut state = self.state();
        if state.has_inputs.iter().all(|has_inputs| *has_inputs) {
            return false;
        }
        if let Some(has_inputs) = state.has_inputs.get_mut(item as usize) {
            *has_inputs = false;
        }
        true
    }

    /// Waits until the endpoints of all items have fetched the inputs; never returns if that is not
    /// known before the items are completed.
    pub(crate) async fn inputs_fetched(&self) {
        self.fetched.notified().await;
    }

    /// Fails the stage; later results are not needed.
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
                    // Duplicate results are not needed from here on.
                    self.is_closed.store(true, Ordering::Relaxed);
                    let results = state.results.iter_mut().filter_map(Option::take);
                    let with_age = |(result, at): (StoredResult, Instant)| StoredResult {
                        age: at.elapsed(),
                        ..result
                    };
                    return Ok(results.map(with_age).collect());
                }
            }
            let notified = timeout_at(self.deadline + RESULT_GRACE, self.done.notified()).await;
            if notified.is_err() {
                let retry_after = Duration::from_millis(500);
                return Err(StageFailure::Late { retry_after });
            }
        }
    }

    /// Closes the ticket and returns the handles of the results so far.
    pub(crate) fn cancel(&self) -> Vec<String> {
        self.is_closed.store(true, Ordering::Relaxed);
        let mut state = self.state();
        let results = state.results.iter_mut().filter_map(Option::take);
        results.map(|(result, _)| result.handle).collect()
    }
}

#[cfg(test)]
mod tests;
