//! Order in which waiting items are called, by position or by shares.

use std::collections::BTreeSet;

use routing::{
    fair_share::{FairShare, WaitingStage},
    stage_admission::Announced,
};
use tokio::time::Instant;

use super::{Job, Queue, URGENCY_STEP_MS, job::QueuePosition};
use crate::messages::Submission;

/// The waiting items of one stage.
#[derive(Clone, Copy, Debug)]
struct StageEntry {
    /// True if it can't be in time any more, then its urgency and its position.
    rank: (bool, u8, i64),
    waiting: WaitingStage,
    /// Position of its first item; the others follow it.
    first: QueuePosition,
}

impl Queue {
    /// Makes the shares of workspaces and kinds of requests decide who is refused.
    pub(crate) fn use_shares(&mut self) {
        self.shares.get_or_insert_default();
    }

    /// Returns the items in the order in which they are called.
    pub(super) fn in_order(
        &self,
        first_due: i64,
    ) -> Box<dyn Iterator<Item = (&QueuePosition, &Job)> + '_> {
        match &self.shares {
            None => Box::new(self.by_position(first_due)),
            Some(shares) => Box::new(self.by_share(shares, first_due)),
        }
    }

    /// Returns the items by position, first those that can still be in time or whose stages have
    /// started, as results of a started stage occupy space until its last item is completed. The
    /// other items are worth less and follow.
    fn by_position(&self, first_due: i64) -> impl Iterator<Item = (&QueuePosition, &Job)> {
        let is_first = move |job: &Job| job.due >= first_due || job.ticket.has_started();
        let first = self.jobs.iter().filter(move |(_, job)| is_first(job));
        first.chain(self.jobs.iter().filter(move |(_, job)| !is_first(job)))
    }

    fn by_share(
        &self,
        shares: &FairShare,
        first_due: i64,
    ) -> impl Iterator<Item = (&QueuePosition, &Job)> {
        let stages = self.stages(first_due);
        let waiting: Vec<WaitingStage> = stages.iter().map(|stage| stage.waiting).collect();
        let order = shares.order(&waiting).into_iter();
        order.flat_map(move |index| {
            let stage = stages[index];
            self.jobs
                .range(stage.first..)
                .take(stage.waiting.items as usize)
        })
    }

    /// Returns the waiting stages in the order of their ranks.
    fn stages(&self, first_due: i64) -> Vec<StageEntry> {
        let mut stages: Vec<StageEntry> = Vec::new();
        let mut ticket_id = None;
        for (position, job) in &self.jobs {
            let (ticket, submission) = (&job.ticket, &job.ticket.submission);
            // Items of a stage have adjacent positions.
            if ticket_id.replace(ticket.id) != Some(ticket.id) {
                stages.push(StageEntry {
                    rank: (job.due < first_due, submission.urgency, position.0),
                    waiting: WaitingStage {
                        flow: submission.flow(),
                        items: 0,
                        has_started: ticket.has_started(),
                    },
                    first: *position,
                });
            }
            if let Some(stage) = stages.last_mut() {
                stage.waiting.items += 1;
            }
        }
        stages.sort_by_key(|stage| stage.rank);
        stages
    }

    /// Returns the number of items that are called before those of `submission` at `position`, with
    /// those that are `announced`.
    pub(super) fn ahead_of(
        &self,
        submission: &Submission,
        position: i64,
        announced: Option<&Announced>,
        now: Instant,
    ) -> usize {
        let Some(shares) = &self.shares else {
            let waiting = self.jobs.range(..(position, 0)).count();
            return waiting + announced.map_or(0, |announced| announced.ahead(position));
        };
        let first_due = self.first_due(now);
        let entry = |position: i64, urgency: u8, flow, items| StageEntry {
            rank: (
                position - i64::from(urgency) * URGENCY_STEP_MS < first_due,
                urgency,
                position,
            ),
            waiting: WaitingStage {
                flow,
                items,
                has_started: false,
            },
            first: (position, 0),
        };
        let mut stages = self.stages(first_due);
        let announced = announced.into_iter().flat_map(Announced::iter);
        stages.extend(announced.map(|a| entry(a.position, a.urgency, a.flow, a.items)));
        stages.sort_by_key(|stage| stage.rank);
        let own = entry(
            position,
            submission.urgency,
            submission.flow(),
            submission.items,
        );
        let own_index = stages.partition_point(|stage| stage.rank <= own.rank);
        stages.insert(own_index, own);
        let waiting: Vec<WaitingStage> = stages.iter().map(|stage| stage.waiting).collect();
        let order = shares.order(&waiting).into_iter();
        let before = order.take_while(|index| *index != own_index);
        before.map(|index| waiting[index].items as usize).sum()
    }

    /// Records that a stage of `flow` arrives.
    pub(super) fn activate_flow(&mut self, flow: u64) {
        if let Some(shares) = &mut self.shares
            && !self
                .jobs
                .values()
                .any(|job| job.ticket.submission.flow() == flow)
        {
            shares.activate(flow);
        }
    }

    /// Records that `jobs` are called, before their stages count as started.
    pub(super) fn record_shares(&mut self, jobs: &[Job]) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        let waiting = self.jobs.values().chain(jobs);
        let flows = waiting.map(|job| job.ticket.submission.flow());
        let flows: BTreeSet<u64> = flows.collect();
        let mut started = BTreeSet::new();
        for job in jobs {
            let (ticket, submission) = (&job.ticket, &job.ticket.submission);
            if !ticket.has_started() && started.insert(ticket.id) {
                shares.start(submission.flow(), submission.items, flows.len() as u64);
            }
            shares.advance(1);
        }
    }
}

#[cfg(test)]
mod tests;
