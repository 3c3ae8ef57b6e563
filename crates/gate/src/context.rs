//! A request under way, as every stage sees it.

use std::{sync::Arc, time::Duration};

use logs::Story;
use tokio::time::Instant;

use crate::{
    call_record::CallRecord, error::Cause, gate::Gate, request::CallerRequest, stage::Stage,
};

/// When to come back after a refusal for want of time.
const NO_TIME_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that runs.
#[derive(Debug)]
pub(crate) struct RequestContext {
    /// The gate.
    pub(crate) gate: Arc<Gate>,
    /// What the caller asked for.
    pub(crate) ask: CallerRequest,
    /// The workspace's priority.
    pub(crate) priority: u8,
    /// Availability zones that the workspace may use.
    pub(crate) zones: Vec<String>,
    /// What is known of the request's calls.
    pub(crate) record: Arc<CallRecord>,
    /// The decisions on it, for the log.
    pub(crate) story: Story,
}

impl RequestContext {
    /// Whether `stages` are likely to end before the deadline.
    pub(crate) fn fits(&self, stages: &[Stage<'_>]) -> bool {
        let left = self.ask.deadline.saturating_duration_since(Instant::now());
        let bytes = self.ask.input.get().len();
        self.gate.route.fits(stages, bytes, left)
    }
}

/// What is left of the deadline is less than the next stages are likely to take.
pub(crate) fn no_time_left() -> Cause {
    Cause::Admission {
        reason: "the remaining stages do not fit before the deadline",
        is_workspace_limit: false,
        retry_after: NO_TIME_RETRY_AFTER,
    }
}
