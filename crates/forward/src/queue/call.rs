//! A call that a queue can send.

use std::{sync::Arc, time::Duration};

use routing::RetryBudget;
use tokio::time::Instant;

use super::{Job, Queue};
use crate::fleet::{Pool, ReachableZones, Target};

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

    /// Returns the last deadline of the items.
    pub(crate) fn last_deadline(&self) -> Option<Instant> {
        self.jobs.iter().map(|job| job.ticket.deadline).max()
    }
}

impl Queue {
    /// Returns true if a late call is given up: none of its items is needed any more, or all that
    /// are can run at another endpoint. That is so if another endpoint takes work, each item has a
    /// try left and `budget` has a retry for each.
    pub(crate) fn may_give_up(
        &self,
        next: &NextCall,
        pool: Option<&Pool>,
        reachable: &ReachableZones,
        budget: &RetryBudget,
        now: Instant,
    ) -> bool {
        let needed = next.jobs.iter().filter(|job| !job.ticket.is_closed());
        let needed: Vec<&Job> = needed.collect();
        let has_other = |pool| {
            let healthy = self.healthy(pool, reachable, now);
            healthy.iter().any(|t| t.name != next.target.name)
        };
        needed.is_empty()
            || needed.iter().all(|job| job.next_try().is_some())
                && pool.is_some_and(has_other)
                && budget.can_spend_many(&next.target.service, needed.len() as u32)
    }
}
