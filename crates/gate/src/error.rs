//! Why a call, a stage or a request failed.

use std::time::Duration;

use host::problem::{Outcome, Problem};
use thiserror::Error;

/// Why one call to one endpoint failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum CallError {
    /// No connection; nothing was sent.
    #[error("connect: {0}")]
    Connect(String),
    /// The call was not sent in time and never will be.
    #[error("send: the right to send ended before the first byte left")]
    Unsent,
    /// The endpoint said explicitly that the call did not run.
    #[error("refused by the endpoint, which did not run it")]
    NotRun {
        /// When the endpoint wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// Nothing came for longer than the bound.
    #[error("silent for {0:?}")]
    Stalled(Duration),
    /// The connection ended before the answer did.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The endpoint answered with an error.
    #[error("answered with status {status}: {detail}")]
    Status {
        /// Its HTTP status.
        status: u16,
        /// Its words, shortened.
        detail: String,
        /// When the endpoint wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The answer belongs to another call.
    #[error("answered with the call id of another call; the answer was dropped")]
    CallIdMismatch,
    /// The answer is not in the form agreed.
    #[error("answer not understood: {0}")]
    Malformed(String),
    /// The answer is larger than the bound.
    #[error("answer larger than {0} bytes")]
    TooLarge(usize),
    /// The stream continued with other text than was passed on before.
    #[error("the resumed stream differs from the text passed on before")]
    Diverged,
    /// The stream lagged and goes on elsewhere, which was paid for.
    #[error("the stream lagged so far that its deadline was at risk; it goes on elsewhere")]
    Lagging,
    /// The request's deadline came first.
    #[error("no time left before the deadline")]
    Deadline,
    /// The caller is gone.
    #[error("the caller has hung up")]
    CallerDisconnected,
}

impl CallError {
    /// Whether another try may do better.
    pub(crate) fn is_retryable(&self) -> bool {
        match self {
            Self::Status { status, .. } => *status >= 500 || matches!(status, 408 | 429),
            Self::Deadline | Self::CallerDisconnected | Self::TooLarge(_) => false,
            _ => true,
        }
    }

    /// Whether the endpoint provably did nothing.
    pub(crate) fn never_ran(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent | Self::NotRun { .. })
    }

    /// When the endpoint wants to be asked again.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after } | Self::Status { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

/// Why a stage gave no result.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StageError {
    /// The service of the stage, or what was done before it.
    pub(crate) step: String,
    /// The endpoint or keeper concerned, if any.
    pub(crate) peer: Option<String>,
    /// What failed.
    pub(crate) cause: Cause,
}

/// What failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum Cause {
    /// The last try failed.
    #[error("{0}")]
    Call(CallError),
    /// No endpoint can take the call now.
    #[error("no endpoint can take the call: {reason}")]
    NoEndpoint {
        /// Why none.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// The remaining stages do not fit before the deadline, or the workspace's limit is reached.
    #[error("refused: {reason}")]
    Admission {
        /// Why.
        reason: &'static str,
        /// Whether it is the workspace's own limit.
        is_workspace_limit: bool,
        /// When to come back.
        retry_after: Duration,
    },
    /// The keepers did not grant the right to send.
    #[error("at-most-once ledger: {0}")]
    Ledger(String),
    /// The key was used with another body.
    #[error("the idempotency key was used with another request; take a new key for a new request")]
    Conflict,
    /// The key is older than the ledger remembers.
    #[error(
        "the idempotency key is older than the ledger remembers; take a new key if the request is new"
    )]
    TooOld,
    /// The key's time lies in the future.
    #[error("the idempotency key's time lies in the future; check the caller's clock")]
    InFuture,
    /// An earlier request with this key has not ended.
    #[error("an earlier request with this key has not ended; ask again with the same key")]
    InProgress,
    /// An earlier request with this key was sent and its result never seen.
    #[error("an earlier request with this key was sent and its result was never seen")]
    EarlierUnknown,
    /// An earlier request with this key was refused by the service.
    #[error("an earlier request with this key was refused with status {status}: {detail}")]
    EarlierRefused {
        /// The endpoint's status.
        status: u16,
        /// The endpoint's words.
        detail: String,
    },
    /// An earlier request with this key completed and its output was too large to keep.
    #[error(
        "an earlier request with this key completed; its output of {0} bytes was too large to keep"
    )]
    EarlierTooLarge(u64),
}

/// When to come back where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl StageError {
    /// The failure of a call at `endpoint` for `service`.
    pub(crate) fn for_call(service: &str, endpoint: &str, error: CallError) -> Self {
        Self {
            step: service.to_owned(),
            peer: Some(endpoint.to_owned()),
            cause: Cause::Call(error),
        }
    }

    /// A failure without a peer.
    pub(crate) fn new(step: &str, cause: Cause) -> Self {
        Self {
            step: step.to_owned(),
            peer: None,
            cause,
        }
    }

    /// The problem document for a request that ended so, with its true `outcome`.
    pub(crate) fn problem(&self, outcome: Outcome, request: &str) -> Problem {
        let (status, kind, title) = self.heading(outcome);
        let mut problem = Problem::new(status, kind, title, self.detail());
        problem.outcome = Some(self.settled_outcome(outcome));
        problem.step = Some(self.step.clone());
        problem.peer.clone_from(&self.peer);
        problem.retry_after_ms = self.retry_after(outcome).map(|d| d.as_millis() as u64);
        problem.request = Some(request.to_owned());
        problem
    }

    /// The outcome, where an earlier request with the same key has decided it.
    pub(crate) fn settled_outcome(&self, outcome: Outcome) -> Outcome {
        match self.cause {
            Cause::InProgress | Cause::EarlierUnknown | Cause::EarlierTooLarge(_) => {
                Outcome::Unknown
            }
            Cause::EarlierRefused { .. } => Outcome::Failed,
            _ => outcome,
        }
    }

    /// The size of an output that an earlier request had and the ledger did not keep.
    pub(crate) fn unkept_output_bytes(&self) -> Option<u64> {
        match self.cause {
            Cause::EarlierTooLarge(bytes) => Some(bytes),
            _ => None,
        }
    }

    /// Whether the failure tells of too much load.
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
            } => (429, "workspace-limit", "Workspace limit reached"),
            _ if self.settled_outcome(outcome) == Outcome::NotRun => (503, "not-run", "Not run"),
            _ if self.settled_outcome(outcome) == Outcome::Unknown => {
                (502, "unknown", "Outcome unknown")
            }
            _ => (502, "failed", "Failed"),
        }
    }

    fn retry_after(&self, outcome: Outcome) -> Option<Duration> {
        match &self.cause {
            Cause::NoEndpoint { retry_after, .. } | Cause::Admission { retry_after, .. } => {
                Some(*retry_after)
            }
            Cause::Conflict | Cause::TooOld | Cause::InFuture => None,
            Cause::EarlierTooLarge(_) | Cause::EarlierRefused { .. } | Cause::EarlierUnknown => {
                None
            }
            Cause::Call(CallError::Status { status, .. }) if *status < 500 && *status != 429 => {
                None
            }
            Cause::Call(e) => e.retry_after().or(Some(DEFAULT_RETRY_AFTER)),
            _ if outcome == Outcome::Unknown => None,
            _ => Some(DEFAULT_RETRY_AFTER),
        }
    }
}
