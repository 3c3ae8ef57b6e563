//! The right to give orders that a lease grants, and when it begins and ends.

use std::time::Duration;

use tokio::time::Instant;

/// Least margin for the drift between two clocks.
const MIN_DRIFT_MARGIN: Duration = Duration::from_millis(50);
/// The drift margin as a share of a duration: one part in this many.
const DRIFT_MARGIN_DIVISOR: u32 = 50;

/// The drift that two clocks may show over `duration`.
pub(crate) fn drift_margin(duration: Duration) -> Duration {
    MIN_DRIFT_MARGIN.max(duration / DRIFT_MARGIN_DIVISOR)
}

/// A lease that was granted: its fencing number, and the time within which orders may be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Authority {
    fencing: u64,
    ends_at: Instant,
    /// Before this, an endpoint that checks no fencing number may still get orders of the holder
    /// before.
    wait_ends_at: Instant,
}

impl Authority {
    /// The right granted by an answer that came at `now` to a request made at `asked`.
    ///
    /// It counts from `asked`, and so ends before the keepers may grant the lease to another.
    /// `before` is what was held until now; a renewal under the same number keeps its wait.
    pub fn granted(
        fencing: u64,
        has_previous: bool,
        requested_at: Instant,
        now: Instant,
        duration: Duration,
        previous: Option<&Self>,
    ) -> Self {
        let wait_ends_at = match previous {
            Some(previous) if previous.fencing == fencing => previous.wait_ends_at,
            _ if has_previous => now + duration + drift_margin(duration),
            _ => now,
        };
        Self {
            fencing,
            ends_at: requested_at + duration.saturating_sub(drift_margin(duration)),
            wait_ends_at,
        }
    }

    /// The number that orders carry.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Time left until it ends.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }

    /// Time left to wait before endpoints that check no number may be ordered.
    pub fn fencing_wait(&self, now: Instant) -> Duration {
        self.wait_ends_at.saturating_duration_since(now)
    }

    /// How long an order may be under way that starts at `now` to an endpoint that checks the
    /// number or not; `None` where none may start.
    pub fn send_window(&self, checks_fencing: bool, now: Instant) -> Option<Duration> {
        let remaining = self.remaining(now);
        match checks_fencing || self.fencing_wait(now).is_zero() {
            true if !remaining.is_zero() => Some(remaining),
            _ => None,
        }
    }
}
