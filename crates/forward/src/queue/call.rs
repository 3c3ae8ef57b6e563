//! A call for which a queue has an endpoint and items.

use std::{sync::Arc, time::Duration};

use super::Job;
use crate::fleet::Target;

/// What keeps a call from holding more items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Bound {
    /// It is full.
    Batch,
    /// The endpoint has no room for more results.
    Room,
    /// No more items wait that may go there.
    Items,
}

impl Bound {
    /// Its name in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Room => "room",
            Self::Items => "items",
        }
    }
}

/// A call that can be made now.
#[derive(Debug)]
pub(crate) struct NextCall {
    pub(crate) target: Arc<Target>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) expected: Duration,
    pub(crate) bound: Bound,
    /// Whether the endpoint is known to begin calls as they come, and to have room for their results.
    pub(crate) starts_at_once: bool,
    pub(super) bytes: u64,
}

impl NextCall {
    /// Bytes of inputs that its items fetch from other availability zones, about.
    pub(crate) fn crossing_bytes(&self) -> u64 {
        let submissions = self.jobs.iter().map(|job| &job.ticket.submission);
        let zone = submissions.filter(|s| !s.inputs.is_empty() && s.az != self.target.az);
        let each = zone.map(|s| s.crossing_bytes / u64::from(s.items.max(1)));
        each.sum()
    }
}
