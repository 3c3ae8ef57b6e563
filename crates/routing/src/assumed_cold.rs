//! Endpoints that a gate treats as cold because it can't know whether they are.
//!
//! A gate hears of cold times from the keepers' table. While its table is not current, an endpoint may
//! restart with the same name and address, or turn cold, without the gate hearing of it.

use std::time::Duration;

use tokio::time::Instant;

/// Age of the last confirmation up to which a gate's table counts as current: two intervals of
/// heartbeats.
const MAX_TABLE_AGE: Duration = Duration::from_secs(1);
/// Longest time for which an endpoint is assumed to be cold after a sign.
const MAX_ASSUMED: Duration = Duration::from_mins(1);
/// Time after the first confirmation in which the table has the cold times of all endpoints: keepers
/// hear of them with the next heartbeats.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// When keepers last confirmed what a gate knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableContact {
    confirmed_at: Option<Instant>,
    /// When the table became current after it had not been.
    current_since: Option<Instant>,
}

impl TableContact {
    /// Records a confirmation that was requested at `requested_at` and arrived at `now`.
    pub fn record_confirmation(&mut self, requested_at: Instant, now: Instant) {
        if !self.is_current(now) {
            self.current_since = Some(now);
        }
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Returns true if the table has the cold times of all endpoints.
    pub fn is_current(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_TABLE_AGE)
    }

    /// Returns until when assumptions hold although the table is current, since it may still lack cold
    /// times; `None` if it is not.
    fn caught_up_at(&self, now: Instant) -> Option<Instant> {
        let since = self.current_since.filter(|_| self.is_current(now))?;
        Some(since + CATCH_UP_TIME)
    }
}

/// Until when an endpoint is assumed to be cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct AssumedCold {
    until: Option<Instant>,
}

impl AssumedCold {
    /// Records a sign that the endpoint restarted: its connections ended or were refused. It says
    /// nothing while the table is current.
    pub fn record_restart_sign(&mut self, contact: TableContact, now: Instant) {
        self.record_report(MAX_ASSUMED, contact, now);
    }

    /// Records that another gate treats the endpoint as cold for `left`. It says nothing while the
    /// table is current.
    pub fn record_report(&mut self, left: Duration, contact: TableContact, now: Instant) {
        if !contact.is_current(now) {
            self.until = self.until.max(Some(now + left.min(MAX_ASSUMED)));
        }
    }

    /// Ends the assumption once the table has caught up.
    pub fn apply_contact(&mut self, contact: TableContact, now: Instant) {
        let caught_up_at = contact.caught_up_at(now);
        if let Some((until, caught_up_at)) = self.until.zip(caught_up_at) {
            self.until = Some(until.min(caught_up_at));
        }
    }

    /// Returns until when the endpoint is assumed to be cold, if it is at `now`.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }
}

#[cfg(test)]
mod tests;
