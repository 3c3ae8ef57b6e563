//! What is known of a request's calls, from which its outcome is decided.

use std::sync::{Mutex, MutexGuard};

use host::problem::Outcome;
use outbound::Handover;

/// What became of the request's calls that may not be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum OnceState {
    /// None was sent.
    #[default]
    Unsent,
    /// The call of this number may have been sent, and its result has not been seen.
    InDoubt(usize),
    /// One was answered by a refusal.
    Refused,
    /// One ran.
    Ran,
}

#[derive(Debug, Default)]
struct State {
    calls: Vec<Call>,
    once_state: OnceState,
}

#[derive(Debug)]
struct Call {
    handover: Handover,
    is_refused: bool,
}

impl Call {
    /// Whether the endpoint may have run the call; from here on it cannot be sent any more.
    fn seal_and_check_run(&self) -> bool {
        let is_unsent = self.handover.seal();
        !is_unsent && !self.is_refused
    }
}

/// The record of one request.
#[derive(Debug, Default)]
pub(crate) struct CallRecord(Mutex<State>);

impl CallRecord {
    /// Adds a call before its first byte; returns its number.
    pub(crate) fn add(&self, handover: &Handover) -> usize {
        let mut state = self.lock();
        state.calls.push(Call {
            handover: handover.clone(),
            is_refused: false,
        });
        state.calls.len() - 1
    }

    /// The endpoint said explicitly that call number `call` did not run.
    pub(crate) fn mark_refused(&self, call: usize) {
        self.lock().calls[call].is_refused = true;
    }

    /// States what became of a call that may not be repeated; one that ran stays so.
    pub(crate) fn set_once_state(&self, once_state: OnceState) {
        let mut state = self.lock();
        if state.once_state != OnceState::Ran {
            state.once_state = once_state;
        }
    }

    /// The outcome of a request that was not answered in full. Calls that are still open are
    /// sealed first, so that the answer stays true.
    pub(crate) fn outcome(&self) -> Outcome {
        let state = self.lock();
        let mut may_have_run = false;
        for call in &state.calls {
            may_have_run |= call.seal_and_check_run();
        }
        match state.once_state {
            OnceState::Ran => Outcome::Unknown,
            OnceState::InDoubt(call) if state.calls[call].seal_and_check_run() => Outcome::Unknown,
            OnceState::Refused => Outcome::Failed,
            _ if may_have_run => Outcome::Failed,
            _ => Outcome::NotRun,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of this lock panics")
    }
}
