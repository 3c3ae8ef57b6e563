//! State of a running request that its stages share.

use std::{sync::Arc, time::Duration};

use logs::RequestLog;
use tokio::time::Instant;

use crate::{
    call_record::CallRecord, error::Cause, gate::Gate, request::CallerRequest, stage::Stage,
};

/// `Retry-After` if the remaining stages don't fit before the deadline.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time kept before the deadline for telling the caller that the ledger did not reply.
const LEDGER_REPLY_MARGIN: Duration = Duration::from_millis(20);

/// State of a running request.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) gate: Arc<Gate>,
    pub(crate) request: CallerRequest,
    /// Priority of the workspace.
    pub(crate) priority: u8,
    /// Availability zones that the workspace may use.
    pub(crate) azs: Vec<String>,
    /// Calls made for the request, which decide its outcome.
    pub(crate) record: Arc<CallRecord>,
    /// Request log.
    pub(crate) request_log: RequestLog,
}

impl RequestContext {
    /// Returns true if `stages` are expected to finish before the deadline.
    pub(crate) fn fits_deadline(&self, stages: &[Stage<'_>]) -> bool {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let bytes = self.request.input.get().len();
        self.gate.routing.fits(stages, bytes, remaining)
    }

    /// Latest time at which a reply of the ledger is of use. Earlier than the request's deadline, so
    /// that a missing reply is reported as such and in time.
    pub(crate) fn ledger_deadline(&self) -> Instant {
        let deadline = self.request.deadline;
        deadline
            .checked_sub(LEDGER_REPLY_MARGIN)
            .unwrap_or(deadline)
    }
}

/// Cause of a refusal because the remaining stages are expected to take longer than the time to the
/// deadline.
pub(crate) fn deadline_too_close() -> Cause {
    Cause::Admission {
        reason: "the remaining stages are not expected to finish before the deadline",
        is_workspace_limit: false,
        retry_after: DEADLINE_RETRY_AFTER,
    }
}
