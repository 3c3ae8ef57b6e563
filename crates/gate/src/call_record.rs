//! Records the calls of a request, which decide its outcome.

use std::sync::{Mutex, MutexGuard};

use host::problem::Outcome;
use outbound::SendState;

/// State of the request's calls that may not be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum OnceState {
    /// None was sent.
    #[default]
    Unsent,
    /// The call with this index may have been sent; its result was not received.
    InDoubt(usize),
    /// The service refused a call.
    Refused,
    /// A call ran.
    Ran,
}

/// What is known about other requests with the same idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum KeyState {
    /// No stage of the pipeline needs a key.
    #[default]
    NotNeeded,
    /// An earlier request may have run under the key.
    Unverified,
    /// A quorum of keepers replied that no call has run under the key, or granted it to this
    /// request.
    Free,
}

#[derive(Debug, Default)]
struct State {
    calls: Vec<Call>,
    once: OnceState,
    key: KeyState,
}

#[derive(Debug)]
struct Call {
    send_state: SendState,
    is_refused: bool,
}

impl Call {
    /// Seals the call, so that it can no longer be sent. Returns true if the endpoint may have run
    /// it.
    fn seal_and_check_run(&self) -> bool {
        let is_unsent = self.send_state.seal();
        !is_unsent && !self.is_refused
    }
}

/// The calls of one request.
#[derive(Debug, Default)]
pub(crate) struct CallRecord(Mutex<State>);

impl CallRecord {
    /// Creates the record of a request; `needs_key` says whether a stage of its pipeline may not be
    /// repeated.
    pub(crate) fn new(needs_key: bool) -> Self {
        let key = match needs_key {
            true => KeyState::Unverified,
            false => KeyState::NotNeeded,
        };
        Self(Mutex::new(State {
            key,
            ..State::default()
        }))
    }

    /// Adds a call, before its first byte is sent. Returns its index.
    pub(crate) fn add(&self, send_state: &SendState) -> usize {
        let mut state = self.lock();
        state.calls.push(Call {
            send_state: send_state.clone(),
            is_refused: false,
        });
        state.calls.len() - 1
    }

    /// Records that the endpoint stated that it did not run the call with index `call`.
    pub(crate) fn mark_refused(&self, call: usize) {
        self.lock().calls[call].is_refused = true;
    }

    /// Returns true if an endpoint may have run one of the calls so far.
    pub(crate) fn may_have_run(&self) -> bool {
        let state = self.lock();
        let may_have_run = |call: &Call| call.send_state.has_sent() && !call.is_refused;
        state.calls.iter().any(may_have_run)
    }

    /// Sets the state of the unrepeatable calls. [`OnceState::Ran`] is final.
    pub(crate) fn set_once_state(&self, once: OnceState) {
        let mut state = self.lock();
        if state.once != OnceState::Ran {
            state.once = once;
        }
    }

    /// Sets what the ledger replied about the key.
    pub(crate) fn set_key_state(&self, key: KeyState) {
        self.lock().key = key;
    }

    /// Returns true if only the ledger can tell whether the request has run: none of its own calls
    /// that may not be repeated did. Seals the call in doubt.
    pub(crate) fn needs_ledger(&self) -> bool {
        let state = self.lock();
        let is_undecided = match state.once {
            OnceState::Unsent => true,
            OnceState::InDoubt(call) => !state.calls[call].seal_and_check_run(),
            OnceState::Refused | OnceState::Ran => false,
        };
        is_undecided && state.key == KeyState::Unverified
    }

    /// Returns the outcome of a request that did not complete. Seals pending calls first, so that
    /// the outcome can't become false.
    pub(crate) fn outcome(&self) -> Outcome {
        let state = self.lock();
        let mut may_have_run = false;
        for call in &state.calls {
            may_have_run |= call.seal_and_check_run();
        }
        match state.once {
            OnceState::Ran => Outcome::Unknown,
            OnceState::InDoubt(call) if state.calls[call].seal_and_check_run() => Outcome::Unknown,
            OnceState::Refused => Outcome::Failed,
            _ if state.key == KeyState::Unverified => Outcome::Unknown,
            _ if may_have_run => Outcome::Failed,
            _ => Outcome::NotRun,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of this lock panics")
    }
}
