//! The ways in which a run can break an invariant.

use std::fmt::{self, Display, Formatter};

use derives::value;

/// One broken invariant.
#[value]
pub enum Violation {
    /// A call that may not be repeated ran more than once.
    DuplicateExecution {
        /// The idempotency key.
        key: String,
        /// The service that ran it.
        service: String,
        /// How often it ran.
        times: usize,
    },
    /// A completed answer is not that of its request.
    WrongAnswer {
        /// The request's mark.
        subject: String,
    },
    /// A stream's text is not the answer's.
    BrokenStream {
        /// The request's mark.
        subject: String,
    },
    /// A request said to be not run did run.
    FalseNotRun {
        /// The request's mark.
        subject: String,
        /// Where it ran.
        endpoint: String,
    },
    /// A request said to be failed ran a call that may not be repeated.
    FalseFailed {
        /// The request's mark.
        subject: String,
        /// Where it ran.
        endpoint: String,
    },
    /// A request completed without a stage having run for it.
    UnexecutedResult {
        /// The request's mark.
        subject: String,
        /// The service that never ran it.
        service: String,
    },
    /// A result that a caller was given is not in the ledger.
    LostResult {
        /// The idempotency key.
        key: String,
    },
    /// A connection broke or went quiet in a run where nothing explains it.
    InterruptedRequest {
        /// The request's mark.
        subject: String,
    },
    /// An endpoint obeyed an order with a lower fencing number than one before.
    StaleOrder {
        /// The endpoint.
        endpoint: String,
        /// The higher fencing number that it had obeyed.
        newest: u64,
        /// The lower one that it obeyed after that.
        accepted: u64,
    },
    /// An endpoint got new work long after it had announced that it leaves.
    WorkAfterLeaving {
        /// The endpoint.
        endpoint: String,
        /// Milliseconds from its announcement to the work.
        after_ms: u64,
    },
    /// A gate went back to an older revision.
    RevertedRevision {
        /// The gate.
        gate: String,
        /// The newer revision that it had.
        from: u64,
        /// The older one that it went back to.
        to: u64,
    },
}

impl Violation {
    /// The violation's name in tables and JSON.
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
