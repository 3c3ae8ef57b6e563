//! Violations of the invariants.

use std::fmt::{self, Display, Formatter};

use derives::value;

/// A violated invariant.
#[value]
pub enum Violation {
    /// A call that may not be repeated ran more than once.
    DuplicateExecution {
        /// Idempotency key of the call or request.
        key: String,
        /// Service that ran it.
        service: String,
        /// Number of executions.
        times: usize,
    },
    /// A completed request has an output other than the expected one.
    WrongAnswer {
        /// Identifier of the request, from the marker in its input.
        subject: String,
    },
    /// The streamed text differs from the output.
    BrokenStream {
        /// Identifier of the request, from the marker in its input.
        subject: String,
    },
    /// A request reported as `not_run` ran.
    FalseNotRun {
        /// Identifier of the request, from the marker in its input.
        subject: String,
        /// Endpoint that ran it.
        endpoint: String,
    },
    /// A request reported as `not_run` or `failed` ran a call that may not be repeated.
    FalseFailed {
        /// Identifier of the request, from the marker in its input.
        subject: String,
        /// Endpoint that ran it.
        endpoint: String,
    },
    /// A request completed although one of its stages never ran.
    UnexecutedResult {
        /// Identifier of the request, from the marker in its input.
        subject: String,
        /// Service of the stage that never ran.
        service: String,
    },
    /// The ledger does not hold a result that a caller has received.
    LostResult {
        /// Idempotency key of the call or request.
        key: String,
    },
    /// A request got no reply, or its connection closed early without a fault that explains it.
    InterruptedRequest {
        /// Identifier of the request, from the marker in its input.
        subject: String,
    },
    /// An endpoint accepted an order with a lower fencing token than an earlier one.
    StaleOrder {
        /// Name of the endpoint.
        endpoint: String,
        /// Highest fencing token accepted before.
        newest: u64,
        /// Lower fencing token accepted after that.
        accepted: u64,
    },
    /// An endpoint got new work too long after it had announced `leaving`.
    WorkAfterLeaving {
        /// Name of the endpoint.
        endpoint: String,
        /// Time from the announcement to the work, in milliseconds.
        after_ms: u64,
    },
    /// A gate reported an older revision than before.
    RevertedRevision {
        /// Name of the gate.
        gate: String,
        /// Newest revision reported before.
        from: u64,
        /// Older revision reported after that.
        to: u64,
    },
}

impl Violation {
    /// Returns the name of the violation in tables and JSON.
    pub fn name(&self) -> &'static str {
        match self {
            Self::DuplicateExecution { .. } => "doubled_execution",
            Self::WrongAnswer { .. } => "wrong_answer",
            Self::BrokenStream { .. } => "broken_stream",
            Self::FalseNotRun { .. } => "false_not_run",
            Self::FalseFailed { .. } => "false_failed",
            Self::UnexecutedResult { .. } => "invented_result",
            Self::LostResult { .. } => "lost_result",
            Self::InterruptedRequest { .. } => "cut_request",
            Self::StaleOrder { .. } => "stale_order",
            Self::WorkAfterLeaving { .. } => "work_after_leaving",
            Self::RevertedRevision { .. } => "reverted_revision",
        }
    }
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.name())?;
        match self {
            Self::DuplicateExecution {
                key,
                service,
                times,
            } => write!(f, "key {key} ran {times} times at {service}"),
            Self::WrongAnswer { subject }
            | Self::BrokenStream { subject }
            | Self::InterruptedRequest { subject } => write!(f, "request {subject}"),
            Self::FalseNotRun { subject, endpoint } | Self::FalseFailed { subject, endpoint } => {
                write!(f, "request {subject} ran at {endpoint}")
            }
            Self::UnexecutedResult { subject, service } => {
                write!(f, "request {subject} never ran at {service}")
            }
            Self::LostResult { key } => write!(f, "key {key}"),
            Self::StaleOrder {
                endpoint,
                newest,
                accepted,
            } => write!(f, "{endpoint} obeyed {accepted} after {newest}"),
            Self::WorkAfterLeaving { endpoint, after_ms } => {
                write!(
                    f,
                    "{endpoint} got a call {after_ms} ms after it announced that it leaves"
                )
            }
            Self::RevertedRevision { gate, from, to } => {
                write!(f, "{gate} went from {from} back to {to}")
            }
        }
    }
}
