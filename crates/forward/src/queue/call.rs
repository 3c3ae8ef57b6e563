//! A call that a queue can send.

use std::{sync::Arc, time::Duration};

use super::Job;
use crate::fleet::Target;

/// What keeps a call from including more items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Bound {
    /// The batch is full.
    Batch,
    /// The endpoint has no free space for more results.
    Room,
    /// No more waiting items may run there.
    Items,
}

impl Bound {
    /// Label for metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Room => "room",
            Self::Items => "items",
        }
    }
}

/// What a queue does next.
#[derive(Debug)]
pub(crate) enum NextStep {
    /// Sends this call.
    Call(NextCall),
    /// Requests a permit for a call to this endpoint.
    RequestPermit(Arc<Target>),
    /// Waits for items, or for an endpoint that they may run on.
    Wait,
}

/// A call that can be sent now.
#[derive(Debug)]
pub(crate) struct NextCall {
    pub(crate) target: Arc<Target>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) expected: Duration,
    pub(crate) bound: Bound,
    /// True if the endpoint is known to start calls as they arrive and to have free space for their
    /// results.
    pub(crate) starts_at_once: bool,
    pub(super) bytes: u64,
}

impl NextCall {
    /// Returns the approximate number of input bytes that the items fetch from other availability
    /// zones.
    pub(crate) fn crossing_bytes(&self) -> u64 {
        let submissions = self.jobs.iter().map(|job| &job.ticket.submission);
        let zone = submissions.filter(|s| !s.inputs.is_empty() && s.az != self.target.az);
        let each = zone.map(|s| s.crossing_bytes / u64::from(s.items.max(1)));
        each.sum()
    }
}
