//! Errors of calls, stages and requests.

use std::time::Duration;

use host::problem::{Outcome, Problem};
use thiserror::Error;

/// Error of one call to one endpoint.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum CallError {
    /// No connection; nothing was sent.
    #[error("connect: {0}")]
    Connect(String),
    /// The right to send expired before the first byte; the call will never be sent.
    #[error("send: the grant expired before the first byte was sent")]
    Unsent,
    /// The endpoint stated that it did not run the call.
    #[error("refused by the endpoint, which did not run it")]
    NotRun {
        /// Pause that the endpoint requested.
        retry_after: Option<Duration>,
    },
    /// Nothing arrived within the limit.
    #[error("no data for {0:?}")]
    Stalled(Duration),
    /// The connection was lost before the end of the response.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The endpoint returned an error status.
    #[error("endpoint returned status {status}: {detail}")]
    Status {
        status: u16,
        /// Start of the response body.
        detail: String,
        /// Pause that the endpoint requested.
        retry_after: Option<Duration>,
    },
    /// The response carries the id of another call, or no id where only the id can tell whose it is.
    #[error("response does not carry the id of this call and was dropped")]
    CallIdMismatch,
    /// The response could not be parsed.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The response exceeds the size limit.
    #[error("response larger than {0} bytes")]
    TooLarge(usize),
    /// The gate's memory for bodies is exhausted.
    #[error("no memory is left for the response; wait, or raise [limits] buffered_bytes")]
    NoMemory,
    /// The resumed stream contradicts text that was already forwarded.
    #[error("the resumed stream differs from the text already forwarded")]
    Diverged,
    /// The stream lagged and another endpoint may take it; the retry budget was already charged.
    #[error("the stream was too slow for its deadline; moving it to another endpoint")]
    Lagging,
    /// The request's deadline passed.
    #[error("deadline exceeded")]
    Deadline,
    #[error("the caller disconnected")]
    CallerDisconnected,
}

impl CallError {
    /// Returns true if a retry may succeed.
    pub(crate) fn is_retryable(&self) -> bool {
        match self {
            Self::Status { status, .. } => *status >= 500 || matches!(status, 408 | 429),
            Self::Deadline | Self::CallerDisconnected | Self::TooLarge(_) | Self::NoMemory => false,
            _ => true,
        }
    }

    /// Returns true if the endpoint certainly did not run the call.
    pub(crate) fn never_ran(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent | Self::NotRun { .. })
    }

    /// Pause that the endpoint requested.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after } | Self::Status { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

/// Error of a stage, or of the steps before the first stage.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StageError {
    /// Service of the stage, or the step that failed.
    pub(crate) step: String,
    /// Endpoint involved, if any.
    pub(crate) peer: Option<String>,
    pub(crate) cause: Cause,
}

/// Cause of a [`StageError`].
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum Cause {
    /// The last try failed.
    #[error("{0}")]
    Call(CallError),
    /// No endpoint can take the call now.
    #[error("no endpoint can take the call: {reason}")]
    NoEndpoint {
        /// Reason given by routing.
        reason: String,
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The remaining stages do not fit before the deadline, or the workspace's limit is reached.
    #[error("refused: {reason}")]
    Admission {
        /// Reason given by admission.
        reason: &'static str,
        /// True if the workspace's own limit was reached.
        is_workspace_limit: bool,
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The gate shuts down before the request could end.
    #[error("the gate shuts down")]
    ShuttingDown {
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The ledger did not reply, or its reply was invalid.
    #[error("at-most-once ledger: {0}")]
    Ledger(String),
    /// The ledger has no room for another key.
    #[error("at-most-once ledger: it is full; nothing was recorded")]
    LedgerFull,
    /// The key was used with another request.
    #[error("the idempotency key was used with another request; use a new key for a new request")]
    Conflict,
    /// The key is older than the ledger keeps entries.
    #[error("the idempotency key is too old for the ledger; use a new key if the request is new")]
    TooOld,
    /// The key's timestamp is in the future.
    #[error("the timestamp of the idempotency key is in the future; check the caller's clock")]
    InFuture,
    /// An earlier request with this key is still in progress.
    #[error("an earlier request with this key is still in progress; retry with the same key")]
    InProgress,
    /// An earlier request with this key was sent, but its result was never received.
    #[error("an earlier request with this key was sent and its result was never received")]
    EarlierUnknown,
    /// An earlier request with this key was refused by the service.
    #[error("an earlier request with this key was refused with status {status}: {detail}")]
    EarlierRefused {
        /// Status returned by the endpoint.
        status: u16,
        /// Start of the endpoint's response.
        detail: String,
    },
    /// An earlier request with this key completed, but its output was too large to store.
    #[error(
        "an earlier request with this key completed; its output of {0} bytes was too large to store"
    )]
    EarlierTooLarge(u64),
}

/// `Retry-After` if nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl StageError {
    /// Error of a call to `endpoint` for `service`.
    pub(crate) fn for_call(service: &str, endpoint: &str, error: CallError) -> Self {
        Self {
            step: service.to_owned(),
            peer: Some(endpoint.to_owned()),
            cause: Cause::Call(error),
        }
    }

    /// Error that involves no endpoint.
    pub(crate) fn new(step: &str, cause: Cause) -> Self {
        Self {
            step: step.to_owned(),
            peer: None,
            cause,
        }
    }

    /// Builds the problem document for a request that failed with this error; `outcome` is what its
    /// call record says.
    pub(crate) fn problem(&self, outcome: Outcome, request: &str) -> Problem {
        let (status, kind, title) = self.heading(outcome);
        let mut problem = Problem::new(status, kind, title, self.detail());
        problem.outcome = Some(self.settled_outcome(outcome));
        problem.step = Some(self.step.clone());
        problem.peer.clone_from(&self.peer);
        problem.retry_after_ms = self.retry_after().map(|d| d.as_millis() as u64);
        problem.request = Some(request.to_owned());
        problem
    }

    /// The outcome reported to the caller. An earlier request with the same key may have decided
    /// it.
    pub(crate) fn settled_outcome(&self, outcome: Outcome) -> Outcome {
        match self.cause {
            Cause::InProgress
            | Cause::EarlierUnknown
            | Cause::EarlierTooLarge(_)
            | Cause::TooOld => Outcome::Unknown,
            Cause::EarlierRefused { .. } => Outcome::Failed,
            _ => outcome,
        }
    }

    /// Size of the output of an earlier request that was too large to store.
    pub(crate) fn unkept_output_bytes(&self) -> Option<u64> {
        match self.cause {
            Cause::EarlierTooLarge(bytes) => Some(bytes),
            _ => None,
        }
    }

    /// Returns true if the error indicates overload.
    pub(crate) fn is_overload(&self) -> bool {
        match &self.cause {
            Cause::Call(CallError::Deadline) | Cause::NoEndpoint { .. } => true,
            Cause::Call(e) => e.never_ran(),
            Cause::Admission {
                is_workspace_limit, ..
            } => !is_workspace_limit,
            _ => false,
        }
    }

    /// Returns true if the ledger itself replied with this error.
    pub(crate) fn is_ledger_reply(&self) -> bool {
        match &self.cause {
            Cause::LedgerFull
            | Cause::Conflict
            | Cause::TooOld
            | Cause::InFuture
            | Cause::InProgress
            | Cause::EarlierUnknown
            | Cause::EarlierRefused { .. }
            | Cause::EarlierTooLarge(_) => true,
            Cause::Call(_)
            | Cause::NoEndpoint { .. }
            | Cause::Admission { .. }
            | Cause::ShuttingDown { .. }
            | Cause::Ledger(_) => false,
        }
    }

    fn detail(&self) -> String {
        match &self.peer {
            Some(peer) => format!("{} at {peer}: {}", self.step, self.cause),
            None => format!("{}: {}", self.step, self.cause),
        }
    }

    fn heading(&self, outcome: Outcome) -> (u16, &'static str, &'static str) {
        match &self.cause {
            Cause::Call(CallError::Deadline) => (504, "deadline", "Deadline reached"),
            Cause::Conflict => (409, "key-conflict", "Key used with another request"),
            Cause::TooOld => (410, "key-too-old", "Key too old"),
            Cause::InFuture => (400, "key-in-future", "Key from the future"),
            Cause::Admission {
                is_workspace_limit: true,
                ..
            } if outcome == Outcome::NotRun => (429, "workspace-limit", "Workspace limit reached"),
            _ if self.settled_outcome(outcome) == Outcome::NotRun => (503, "not-run", "Not run"),
            _ if self.settled_outcome(outcome) == Outcome::Unknown => {
                (502, "unknown", "Outcome unknown")
            }
            _ => (502, "failed", "Failed"),
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match &self.cause {
            Cause::NoEndpoint { retry_after, .. }
            | Cause::Admission { retry_after, .. }
            | Cause::ShuttingDown { retry_after } => Some(*retry_after),
            Cause::Conflict | Cause::TooOld | Cause::InFuture => None,
            Cause::EarlierTooLarge(_) | Cause::EarlierRefused { .. } | Cause::EarlierUnknown => {
                None
            }
            Cause::Call(CallError::Status { status, .. }) if *status < 500 && *status != 429 => {
                None
            }
            Cause::Call(e) => e.retry_after().or(Some(DEFAULT_RETRY_AFTER)),
            _ => Some(DEFAULT_RETRY_AFTER),
        }
    }
}
