//! The right to give orders that a lease grants, and when it begins and ends.

use std::time::Duration;

use tokio::time::Instant;

/// Least margin for the drift between two clocks.
const MIN_MARGIN: Duration = Duration::from_millis(50);
/// The drift margin as a share of a duration: one part in this many.
const MARGIN_DIVISOR: u32 = 50;

/// The drift that two clocks may show over `duration`.
pub(crate) fn drift(duration: Duration) -> Duration {
    MIN_MARGIN.max(duration / MARGIN_DIVISOR)
}

/// A lease that was granted: its fencing number, and the time within which orders may be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Authority {
    fencing: u64,
    ends: Instant,
    /// Before this, an endpoint that checks no fencing number may still get orders of the holder
    /// before.
    waits_until: Instant,
}

impl Authority {
    /// The right granted by an answer that came at `now` to a request made at `asked`.
    ///
    /// It counts from `asked`, and so ends before the keepers may grant the lease to another.
    /// `before` is what was held until now; a renewal under the same number keeps its wait.
    pub fn granted(
        fencing: u64,
        has_previous: bool,
        asked: Instant,
        now: Instant,
        duration: Duration,
        before: Option<&Self>,
    ) -> Self {
        let waits_until = match before {
            Some(before) if before.fencing == fencing => before.waits_until,
            _ if has_previous => now + duration + drift(duration),
            _ => now,
        };
        Self {
            fencing,
            ends: asked + duration.saturating_sub(drift(duration)),
            waits_until,
        }
    }

    /// The number that orders carry.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Time left until it ends.
    pub fn left(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// Time left to wait before endpoints that check no number may be ordered.
    pub fn wait_left(&self, now: Instant) -> Duration {
        self.waits_until.saturating_duration_since(now)
    }

    /// How long an order may be under way that starts at `now` to an endpoint that checks the
    /// number or not; `None` where none may start.
    pub fn window(&self, checks_fencing: bool, now: Instant) -> Option<Duration> {
        let left = self.left(now);
        match checks_fencing || self.wait_left(now).is_zero() {
            true if !left.is_zero() => Some(left),
            _ => None,
        }
    }
}
