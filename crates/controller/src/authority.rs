//! The right to send orders that a lease grants, and its start and end.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum margin for the drift between two clocks.
const MIN_DRIFT_MARGIN: Duration = Duration::from_millis(50);
/// The drift margin is the duration divided by this number.
const DRIFT_MARGIN_DIVISOR: u32 = 50;

/// Returns the margin for the drift between two clocks over `duration`.
pub(crate) fn drift_margin(duration: Duration) -> Duration {
    MIN_DRIFT_MARGIN.max(duration / DRIFT_MARGIN_DIVISOR)
}

/// A granted lease: its fencing token and the time within which orders may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Authority {
    fencing: u64,
    ends_at: Instant,
    /// Until then an endpoint that doesn't check the fencing token may still get orders of the
    /// previous holder.
    wait_ends_at: Instant,
}

impl Authority {
    /// Returns the right granted by a reply that arrived at `now` to a request sent at
    /// `requested_at`.
    ///
    /// It is counted from `requested_at`, and so ends before the keepers may grant the lease to
    /// another holder. `previous` is the right held so far; a renewal with the same fencing token
    /// keeps its wait.
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

    /// Returns the fencing token that orders carry.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Returns the time until the right ends.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }

    /// Returns the time until orders may go to endpoints that don't check the fencing token.
    pub fn fencing_wait(&self, now: Instant) -> Duration {
        self.wait_ends_at.saturating_duration_since(now)
    }

    /// Returns the time within which an order sent at `now` must arrive, or `None` if none may be
    /// sent. `checks_fencing` is true if the endpoint checks the fencing token.
    pub fn send_window(&self, checks_fencing: bool, now: Instant) -> Option<Duration> {
        let remaining = self.remaining(now);
        match checks_fencing || self.fencing_wait(now).is_zero() {
            true if !remaining.is_zero() => Some(remaining),
            _ => None,
        }
    }
}
