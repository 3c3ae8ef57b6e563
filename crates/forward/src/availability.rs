//! Tracks why an endpoint takes no new work from this gate.

use std::time::Duration;

use logs::Event;
use membership::EndpointState;
use tokio::time::Instant;
use uuid::Uuid;

/// Longest pause that an endpoint may request; longer ones are capped to this.
pub(crate) const MAX_PAUSE: Duration = Duration::from_mins(1);
/// Backoff after a failed connection to an endpoint, doubled for each consecutive failure.
const CONNECT_BACKOFF: Duration = Duration::from_millis(100);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(1_600);

/// Why an endpoint takes no new work from this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnavailableReason {
    /// The endpoint is shutting down; only a later incarnation of it takes work.
    Leaving,
    /// The endpoint has missed heartbeats.
    Suspect,
    /// The endpoint's availability zone is unreachable.
    ZoneCut,
    /// An operator has ordered to evacuate the endpoint's availability zone.
    Evacuated,
    /// The endpoint requested a pause.
    Paused(Instant),
    /// All gates together have used up the request rate that the endpoint names.
    Limited(Instant),
    /// Another endpoint responded at its address.
    Misplaced(Instant),
    /// Connections to the endpoint fail.
    Unreached(Instant),
    /// The endpoint is ejected because too many calls failed.
    Ejected(Instant),
    /// The endpoint reported that it is full.
    Full(Instant),
}

impl UnavailableReason {
    /// All labels, in order of precedence.
    pub(crate) const LABELS: [&'static str; 10] = [
        "leaving",
        "suspect",
        "zone_cut",
        "evacuated",
        "paused",
        "limited",
        "misplaced",
        "unreached",
        "ejected",
        "full",
    ];

    /// Label for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::ZoneCut => "zone_cut",
            Self::Evacuated => "evacuated",
            Self::Paused(_) => "paused",
            Self::Limited(_) => "limited",
            Self::Misplaced(_) => "misplaced",
            Self::Unreached(_) => "unreached",
            Self::Ejected(_) => "ejected",
            Self::Full(_) => "full",
        }
    }

    /// Returns when the reason expires, or `None` if it does not expire by itself.
    pub(crate) fn until(self) -> Option<Instant> {
        match self {
            Self::Leaving | Self::Suspect | Self::ZoneCut | Self::Evacuated => None,
            Self::Paused(until)
            | Self::Limited(until)
            | Self::Misplaced(until)
            | Self::Unreached(until)
            | Self::Ejected(until)
            | Self::Full(until) => Some(until),
        }
    }

    /// Returns true if the endpoint must not get work even when no other endpoint is available.
    pub(crate) fn is_hard(self) -> bool {
        match self {
            Self::Leaving
            | Self::Suspect
            | Self::ZoneCut
            | Self::Evacuated
            | Self::Paused(_)
            | Self::Limited(_) => true,
            Self::Misplaced(_) | Self::Unreached(_) | Self::Ejected(_) | Self::Full(_) => false,
        }
    }
}

/// What keeps work from all endpoints of an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ZoneState {
    /// Nothing.
    #[default]
    Open,
    /// The zone is unreachable, or its state is not known yet.
    Cut,
    /// An operator has ordered its evacuation.
    Evacuated,
}

/// What keeps work from one endpoint. Every state except leaving expires by itself.
#[derive(Debug, Default)]
pub(crate) struct AvailabilityState {
    is_leaving: bool,
    paused_until: Option<Instant>,
    misplaced_until: Option<Instant>,
    full_until: Option<Instant>,
    unreached_until: Option<Instant>,
    consecutive_connect_failures: u32,
}

impl AvailabilityState {
    /// Records that the endpoint is leaving. Returns true if this was not known before.
    pub(crate) fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Returns true if the endpoint reported that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records a requested pause unless an equal or longer one is in effect. Returns its capped
    /// length if it was recorded.
    pub(crate) fn pause(&mut self, pause: Duration, now: Instant) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let until = now + pause;
        let is_longer = !pause.is_zero() && self.paused_until.is_none_or(|before| before < until);
        is_longer.then(|| {
            self.paused_until = Some(until);
            pause
        })
    }

    /// Returns true if a requested pause is in effect at `now`.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    pub(crate) fn mark_misplaced(&mut self, until: Instant) {
        self.misplaced_until = Some(until);
    }

    pub(crate) fn mark_full(&mut self, until: Instant) {
        self.full_until = Some(until);
    }

    /// Records a failed connection. Returns true if it is the first consecutive failure.
    pub(crate) fn record_connect_failure(&mut self, now: Instant) -> bool {
        let backoff =
            CONNECT_BACKOFF * 2_u32.saturating_pow(self.consecutive_connect_failures.min(8));
        self.unreached_until = Some(now + backoff.min(MAX_CONNECT_BACKOFF));
        self.consecutive_connect_failures = self.consecutive_connect_failures.saturating_add(1);
        self.consecutive_connect_failures == 1
    }

    /// Records a response, which resets the connect backoff.
    pub(crate) fn record_response(&mut self) {
        (self.unreached_until, self.consecutive_connect_failures) = (None, 0);
    }

    /// Returns the reason of highest precedence why the endpoint takes no new work at `now`.
    pub(crate) fn reason_at(
        &self,
        state: EndpointState,
        zone: ZoneState,
        limited: Option<Instant>,
        ejected: Option<Instant>,
        now: Instant,
    ) -> Option<UnavailableReason> {
        let not_over = |until: Option<Instant>| until.filter(|until| now < *until);
        match state {
            EndpointState::Leaving => return Some(UnavailableReason::Leaving),
            _ if self.is_leaving => return Some(UnavailableReason::Leaving),
            EndpointState::Suspect => return Some(UnavailableReason::Suspect),
            EndpointState::Ready => {}
        }
        match zone {
            ZoneState::Cut => return Some(UnavailableReason::ZoneCut),
            ZoneState::Evacuated => return Some(UnavailableReason::Evacuated),
            ZoneState::Open => {}
        }
        let paused = not_over(self.paused_until).map(UnavailableReason::Paused);
        paused
            .or_else(|| not_over(limited).map(UnavailableReason::Limited))
            .or_else(|| not_over(self.misplaced_until).map(UnavailableReason::Misplaced))
            .or_else(|| not_over(self.unreached_until).map(UnavailableReason::Unreached))
            .or_else(|| not_over(ejected).map(UnavailableReason::Ejected))
            .or_else(|| not_over(self.full_until).map(UnavailableReason::Full))
    }
}

/// An incarnation of an endpoint that reported that it is leaving.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Departure {
    pub(crate) incarnation: Uuid,
    /// The gate that received the report.
    pub(crate) source: String,
    /// When the gate received it.
    pub(crate) since: Instant,
}

impl Departure {
    /// Returns true if `incarnation` of the same endpoint is leaving as well: this incarnation and
    /// all earlier ones are.
    pub(crate) fn covers(&self, incarnation: Uuid) -> bool {
        incarnation <= self.incarnation
    }

    /// The log event for the departure.
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
