//! Why an endpoint takes no new work from this gate.

use std::time::Duration;

use logs::Event;
use membership::EndpointState;
use tokio::time::Instant;
use uuid::Uuid;

/// Longest pause that an endpoint may ask for; a longer one counts as this.
pub(crate) const MAX_PAUSE: Duration = Duration::from_mins(1);
/// Pause after a connection to an endpoint was not made, backoff for each one in a row.
const CONNECT_BACKOFF: Duration = Duration::from_millis(100);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(1_600);

/// Why an endpoint takes no new work from this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnavailableReason {
    /// It is leaving; only a later incarnation of it takes work.
    Leaving,
    /// Its heartbeats are missing.
    Suspect,
    /// Its availability zone can't be reached.
    ZoneCut,
    /// It asked for a pause.
    Paused(Instant),
    /// Another endpoint has its address.
    Misplaced(Instant),
    /// No connection to it is made.
    Unreached(Instant),
    /// Its calls failed too often.
    Ejected(Instant),
    /// It said that it is full.
    Full(Instant),
}

impl UnavailableReason {
    /// Every label, in the order in which one goes before another.
    pub(crate) const LABELS: [&'static str; 8] = [
        "leaving",
        "suspect",
        "zone_cut",
        "paused",
        "misplaced",
        "unreached",
        "ejected",
        "full",
    ];

    /// A word for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::ZoneCut => "zone_cut",
            Self::Paused(_) => "paused",
            Self::Misplaced(_) => "misplaced",
            Self::Unreached(_) => "unreached",
            Self::Ejected(_) => "ejected",
            Self::Full(_) => "full",
        }
    }

    /// When it ends by itself, where it does.
    pub(crate) fn until(self) -> Option<Instant> {
        match self {
            Self::Leaving | Self::Suspect | Self::ZoneCut => None,
            Self::Paused(until)
            | Self::Misplaced(until)
            | Self::Unreached(until)
            | Self::Ejected(until)
            | Self::Full(until) => Some(until),
        }
    }

    /// Whether it gets nothing even where no other endpoint is left.
    pub(crate) fn is_hard(self) -> bool {
        match self {
            Self::Leaving | Self::Suspect | Self::ZoneCut | Self::Paused(_) => true,
            Self::Misplaced(_) | Self::Unreached(_) | Self::Ejected(_) | Self::Full(_) => false,
        }
    }
}

/// What is known of one endpoint that keeps work from it; each state ends by itself, but for leaving.
#[derive(Debug, Default)]
pub(crate) struct AvailabilityState {
    is_leaving: bool,
    paused_until: Option<Instant>,
    misplaced_until: Option<Instant>,
    full_until: Option<Instant>,
    unreached_until: Option<Instant>,
    /// Connections in a row that were not made.
    consecutive_connect_failures: u32,
}

impl AvailabilityState {
    /// It said that it is leaving, or somebody told so; whether that is news.
    pub(crate) fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// It asked for a pause; a longer one replaces a shorter one. How long it lasts, if it is news.
    pub(crate) fn pause(&mut self, pause: Duration, now: Instant) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let until = now + pause;
        let is_longer = !pause.is_zero() && self.paused_until.is_none_or(|before| before < until);
        is_longer.then(|| {
            self.paused_until = Some(until);
            pause
        })
    }

    /// Whether a pause that it asked for is not over.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    pub(crate) fn mark_misplaced(&mut self, until: Instant) {
        self.misplaced_until = Some(until);
    }

    pub(crate) fn mark_full(&mut self, until: Instant) {
        self.full_until = Some(until);
    }

    /// No connection was made; whether it is the first one in a row.
    pub(crate) fn record_connect_failure(&mut self, now: Instant) -> bool {
        let backoff =
            CONNECT_BACKOFF * 2_u32.saturating_pow(self.consecutive_connect_failures.min(8));
        self.unreached_until = Some(now + backoff.min(MAX_CONNECT_BACKOFF));
        self.consecutive_connect_failures = self.consecutive_connect_failures.saturating_add(1);
        self.consecutive_connect_failures == 1
    }

    /// It answered.
    pub(crate) fn record_response(&mut self) {
        (self.unreached_until, self.consecutive_connect_failures) = (None, 0);
    }

    /// Why it takes no new work at `now`, the weightiest reason first.
    pub(crate) fn reason_at(
        &self,
        state: EndpointState,
        is_zone_reachable: bool,
        ejected: Option<Instant>,
        now: Instant,
    ) -> Option<UnavailableReason> {
        let not_over = |until: Option<Instant>| until.filter(|until| now < *until);
        match state {
            EndpointState::Leaving => return Some(UnavailableReason::Leaving),
            _ if self.is_leaving => return Some(UnavailableReason::Leaving),
            EndpointState::Suspect => return Some(UnavailableReason::Suspect),
            EndpointState::Ready if !is_zone_reachable => return Some(UnavailableReason::ZoneCut),
            EndpointState::Ready => {}
        }
        let paused = not_over(self.paused_until).map(UnavailableReason::Paused);
        paused
            .or_else(|| not_over(self.misplaced_until).map(UnavailableReason::Misplaced))
            .or_else(|| not_over(self.unreached_until).map(UnavailableReason::Unreached))
            .or_else(|| not_over(ejected).map(UnavailableReason::Ejected))
            .or_else(|| not_over(self.full_until).map(UnavailableReason::Full))
    }
}

/// An incarnation of an endpoint that said that it is leaving.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Departure {
    pub(crate) incarnation: Uuid,
    /// The gate that had the answer.
    pub(crate) source: String,
    /// When it had it.
    pub(crate) since: Instant,
}

impl Departure {
    /// Whether `incarnation` of the same endpoint is leaving by this: itself, and any before it.
    pub(crate) fn covers(&self, incarnation: Uuid) -> bool {
        incarnation <= self.incarnation
    }

    /// The line that tells of it.
    pub(crate) fn log_event(&self, endpoint: &str, now: Instant) -> Event {
        Event::EndpointLeaving {
            endpoint: endpoint.to_owned(),
            source: self.source.clone(),
            age_ms: now.saturating_duration_since(self.since).as_millis() as u64,
        }
    }
}

#[cfg(test)]
mod tests;
