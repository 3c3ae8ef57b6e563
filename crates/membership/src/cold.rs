//! Endpoints that are cold: slow for some seconds after a start, or at any later time.

use std::time::Duration;

use derives::record;
use tokio::time::Instant;

use crate::{Announcement, Endpoint};

/// Difference up to which a later announcement's remaining time counts as the earlier one that ran
/// down. Announcements are delayed on their way by different times.
pub(crate) const DRIFT: Duration = Duration::from_millis(250);

/// Longest cold time; bounds one that no endpoint announces.
pub(crate) const MAX_COLD: Duration = Duration::from_hours(1);

/// When an endpoint stops being cold, as announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdState {
    /// Sequence number of the announcement that said so; the latest one holds.
    pub seq: u64,
    /// End of the cold time; in the past for an endpoint that is warm.
    pub until: Instant,
}

/// A [`ColdState`] on its way to another process.
#[record]
#[derive(Eq)]
pub struct ReportedCold {
    /// Sequence number of the announcement.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Remaining time; zero for an endpoint that is warm again.
    #[serde(rename = "l")]
    pub left: Duration,
}

impl ColdState {
    /// Returns true if this replaces `known`: a later announcement does, and of two reports of the
    /// same one, that with the larger remaining time.
    pub fn supersedes(&self, known: Option<Self>) -> bool {
        known.is_none_or(|known| (self.seq, self.until) > (known.seq, known.until))
    }

    /// Returns the report of this state at `now`.
    pub fn report(&self, now: Instant) -> ReportedCold {
        ReportedCold {
            seq: self.seq,
            left: self.until.saturating_duration_since(now),
        }
    }
}

impl ReportedCold {
    /// Returns the state, for a report that arrived at `now`.
    pub fn state(&self, now: Instant) -> ColdState {
        ColdState {
            seq: self.seq,
            until: now + self.left.min(MAX_COLD),
        }
    }
}

/// Returns the end of the cold time that `a` announces at `now`, if it does.
pub(crate) fn announced_until(a: &Announcement, now: Instant) -> Option<Instant> {
    (a.cold_left_ms > 0).then(|| now + left(a))
}

/// Replaces the cold time of `a` by that of `known` if it is of the same incarnation and the time merely
/// ran down. Returns the end of the cold time, and false if it changed within the incarnation.
pub(crate) fn carry_over(
    a: &mut Announcement,
    known: &Endpoint,
    now: Instant,
) -> (Option<Instant>, bool) {
    if a.incarnation != known.announced.incarnation {
        return (announced_until(a, now), true);
    }
    let left = left(a);
    let is_same = known
        .cold_until
        .map_or(left.is_zero(), |until| is_same_time(until, left, now));
    if is_same {
        a.cold_left_ms = known.announced.cold_left_ms;
        return (known.cold_until, true);
    }
    // An endpoint that is warm again keeps an end, by which other processes learn of it.
    (Some(now + left), false)
}

fn left(a: &Announcement) -> Duration {
    Duration::from_millis(a.cold_left_ms).min(MAX_COLD)
}

/// Returns true if an endpoint that is cold until `known` announces at `now` that it stays cold for
/// `left`, and that is the same cold time as before, which merely ran down.
fn is_same_time(known: Instant, left: Duration, now: Instant) -> bool {
    let known_left = known.saturating_duration_since(now);
    match (known_left.is_zero(), left.is_zero()) {
        // The end of a cold time needs no announcement, and a new one is always announced.
        (true, is_warm) => is_warm,
        (false, _) => known_left.abs_diff(left) <= DRIFT,
    }
}

#[cfg(test)]
mod tests;
