//! Expected waits of items that have not been submitted yet.

use std::time::Duration;

use routing::stage_admission::Announcement;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{Queue, unavailable};
use crate::{
    fleet::{Pool, ReachableZones},
    messages::{Forecast, StageFailure, Submission},
};

/// Time after the expected submission in which announced items are still expected.
const SUBMISSION_GRACE: Duration = Duration::from_millis(300);
/// Part of a wait by which it may be longer, since endpoints differ from their declared speed.
const WAIT_MARGIN_DIVISOR: u32 = 20;

impl Queue {
    /// Returns how long the items would wait that are submitted in `submitted_in`, and announces them
    /// if they would be in time.
    pub(crate) fn forecast(
        &mut self,
        submission: Submission,
        submitted_in: Duration,
        pool: &Pool,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Result<Forecast, StageFailure> {
        let submission = submission.bounded();
        let slots = self.usable_slots(&self.healthy(pool, reachable, now));
        if slots <= 0.0 {
            return Err(unavailable(pool, reachable, now));
        }
        self.remove_announcement(&submission);
        self.announced.expire(now);
        let (_, position) = self.position(&submission, now);
        let ahead = self.ahead_of(&submission, position, Some(&self.announced), now);
        let wait = self.expected_wait(ahead, slots);
        let wait = wait.saturating_add(wait / WAIT_MARGIN_DIVISOR);
        let submitted_in = submitted_in.min(submission.remaining);
        let end = wait
            .max(submitted_in)
            .saturating_add(self.stage_time(submission.items, slots));
        let is_in_time = end <= submission.remaining;
        if is_in_time && !submitted_in.is_zero() {
            let announcement = Announcement {
                position,
                urgency: submission.urgency,
                flow: submission.flow(),
                items: submission.items,
                expires_at: now + (submitted_in * 2 + SUBMISSION_GRACE).min(submission.remaining),
            };
            self.announced
                .add(announcement_key(&submission), announcement);
        }
        Ok(Forecast { wait, is_in_time })
    }

    /// Removes the announcement of items that are submitted now.
    pub(super) fn remove_announcement(&mut self, submission: &Submission) {
        if !self.announced.is_empty() {
            self.announced.remove(announcement_key(submission));
        }
    }
}

fn announcement_key(submission: &Submission) -> u64 {
    xxh3_64(format!("{}/{}", submission.request, submission.stage).as_bytes())
}

#[cfg(test)]
mod tests;
