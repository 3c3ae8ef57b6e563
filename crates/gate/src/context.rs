//! A request under way, as every stage sees it.

use std::{sync::Arc, time::Duration};

use logs::Story;
use tokio::time::Instant;

use crate::{
    call_record::CallRecord, error::Cause, gate::Gate, request::CallerRequest, stage::Stage,
};

/// When to come back after a refusal for want of time.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that runs.
#[derive(Debug)]
pub(crate) struct RequestContext {
    /// The gate.
    pub(crate) gate: Arc<Gate>,
    /// What the caller asked for.
    pub(crate) request: CallerRequest,
    /// The workspace's priority.
    pub(crate) priority: u8,
    /// Availability zones that the workspace may use.
    pub(crate) azs: Vec<String>,
    /// What is known of the request's calls.
    pub(crate) record: Arc<CallRecord>,
    /// The decisions on it, for the log.
    pub(crate) story: Story,
}

impl RequestContext {
    /// Whether `stages` are likely to end before the deadline.
    pub(crate) fn fits_deadline(&self, stages: &[Stage<'_>]) -> bool {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let bytes = self.request.input.get().len();
        self.gate.routing.fits(stages, bytes, remaining)
    }
}

/// What is left of the deadline is less than the next stages are likely to take.
pub(crate) fn deadline_too_close() -> Cause {
    Cause::Admission {
        reason: "the remaining stages do not fit before the deadline",
        is_workspace_limit: false,
        retry_after: DEADLINE_RETRY_AFTER,
    }
}
