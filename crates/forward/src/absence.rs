//! Why an endpoint takes no new work from this gate.

use std::time::Duration;

use logs::Event;
use membership::EndpointState;
use tokio::time::Instant;
use uuid::Uuid;

/// Longest pause that an endpoint may ask for; a longer one counts as this.
pub(crate) const MAX_PAUSE: Duration = Duration::from_mins(1);
/// Pause after a connection to an endpoint was not made, doubled for each one in a row.
const UNREACHED: Duration = Duration::from_millis(100);
const MAX_UNREACHED: Duration = Duration::from_millis(1_600);

/// Why an endpoint takes no new work from this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Absence {
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

impl Absence {
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
    pub(crate) fn is_binding(self) -> bool {
        match self {
            Self::Leaving | Self::Suspect | Self::ZoneCut | Self::Paused(_) => true,
            Self::Misplaced(_) | Self::Unreached(_) | Self::Ejected(_) | Self::Full(_) => false,
        }
    }
}

/// What is known of one endpoint that keeps work from it; each state ends by itself, but for leaving.
#[derive(Debug, Default)]
pub(crate) struct Absences {
    is_leaving: bool,
    paused: Option<Instant>,
    misplaced: Option<Instant>,
    full: Option<Instant>,
    unreached: Option<Instant>,
    /// Connections in a row that were not made.
    unreached_in_a_row: u32,
}

impl Absences {
    /// It said that it is leaving, or somebody told so; whether that is news.
    pub(crate) fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// It asked for a pause; a longer one replaces a shorter one. How long it lasts, if it is news.
    pub(crate) fn pause(&mut self, pause: Duration, now: Instant) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let until = now + pause;
        let is_longer = !pause.is_zero() && self.paused.is_none_or(|before| before < until);
        is_longer.then(|| {
            self.paused = Some(until);
            pause
        })
    }

    /// Whether a pause that it asked for is not over.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    pub(crate) fn misplace(&mut self, until: Instant) {
        self.misplaced = Some(until);
    }

    pub(crate) fn fill(&mut self, until: Instant) {
        self.full = Some(until);
    }

    /// No connection was made; whether it is the first one in a row.
    pub(crate) fn miss(&mut self, now: Instant) -> bool {
        let doubled = UNREACHED * 2_u32.saturating_pow(self.unreached_in_a_row.min(8));
        self.unreached = Some(now + doubled.min(MAX_UNREACHED));
        self.unreached_in_a_row = self.unreached_in_a_row.saturating_add(1);
        self.unreached_in_a_row == 1
    }

    /// It answered.
    pub(crate) fn reach(&mut self) {
        (self.unreached, self.unreached_in_a_row) = (None, 0);
    }

    /// Why it takes no new work at `now`, the weightiest reason first.
    pub(crate) fn now(
        &self,
        state: EndpointState,
        is_zone_reachable: bool,
        ejected: Option<Instant>,
        now: Instant,
    ) -> Option<Absence> {
        let ahead = |until: Option<Instant>| until.filter(|until| now < *until);
        match state {
            EndpointState::Leaving => return Some(Absence::Leaving),
            _ if self.is_leaving => return Some(Absence::Leaving),
            EndpointState::Suspect => return Some(Absence::Suspect),
            EndpointState::Ready if !is_zone_reachable => return Some(Absence::ZoneCut),
            EndpointState::Ready => {}
        }
        let paused = ahead(self.paused).map(Absence::Paused);
        paused
            .or_else(|| ahead(self.misplaced).map(Absence::Misplaced))
            .or_else(|| ahead(self.unreached).map(Absence::Unreached))
            .or_else(|| ahead(ejected).map(Absence::Ejected))
            .or_else(|| ahead(self.full).map(Absence::Full))
    }
}

/// An incarnation of an endpoint that said that it is leaving.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Left {
    pub(crate) incarnation: Uuid,
    /// The gate that had the answer.
    pub(crate) source: String,
    /// When it had it.
    pub(crate) since: Instant,
}

impl Left {
    /// Whether `incarnation` of the same endpoint is leaving by this: itself, and any before it.
    pub(crate) fn binds(&self, incarnation: Uuid) -> bool {
        incarnation <= self.incarnation
    }

    /// The line that tells of it.
    pub(crate) fn event(&self, endpoint: &str, now: Instant) -> Event {
        Event::EndpointLeaving {
            endpoint: endpoint.to_owned(),
            source: self.source.clone(),
            age_ms: now.saturating_duration_since(self.since).as_millis() as u64,
        }
    }
}

#[cfg(test)]
mod tests;
