//! What this gate knows of the request rate that one endpoint takes, and its permits for calls.

use std::time::Duration;

use membership::{ColdState, ObservedRate};
use routing::{AssumedCold, TableContact};
use tokio::time::Instant;

/// Lowest rate of permits, in requests per second. An endpoint that names less is still asked this
/// often, since only its responses say that the limit ended.
pub const MIN_RATE: f64 = 0.1;
/// Time for which an endpoint counts as cold beyond the end that it announced. Announcements that
/// differ by less are not passed on.
const COLD_MARGIN: Duration = Duration::from_millis(500);
/// Time after the request for permits in which they may be used.
const PERMIT_TTL: Duration = Duration::from_millis(150);

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPermission {
    /// The endpoint names no limit, or a permit was taken for the call.
    Granted,
    /// A permit has to be requested first.
    Needed,
    /// No permit is to be had before this time.
    Refused(Instant),
}

/// Whether an endpoint became cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdChange {
    /// It is cold.
    Cold {
        /// The end of its cold time, as far as known.
        until: Instant,
        /// True if it announced no cold time.
        is_assumed: bool,
    },
    /// It is warm.
    Warm,
}

/// Request rate of one endpoint, and this gate's permits for calls to it.
#[derive(Debug, Default)]
pub struct Permits {
    observed: Option<ObservedRate>,
    /// When the endpoint stops being cold, if it announced that.
    cold: Option<ColdState>,
    /// Until when it is assumed to be cold.
    assumed_cold: AssumedCold,
    /// True if the endpoint was cold when that was last logged.
    was_cold: bool,
    /// Requests per second that the endpoint's service declares for cold endpoints.
    cold_rate: Option<f64>,
    /// True if this gate was the first to observe the rate, and reports it to others.
    is_reporter: bool,
    available: u32,
    available_until: Option<Instant>,
    refused_until: Option<Instant>,
    /// Number of requests for permits in progress.
    requests: u32,
}

impl Permits {
    /// Records an observed rate unless a later one is known. Returns true if the rate changed.
    pub fn record_rate(&mut self, observed: ObservedRate) -> bool {
        let is_superseding = match self.observed {
            // Endpoints without a limit need no record.
            None => observed.per_second.is_some(),
            known => observed.supersedes(known),
        };
        if !is_superseding {
            return false;
        }
        let is_changed = self.named_limit() != observed.per_second;
        self.observed = Some(observed);
        if is_changed {
            // They followed from the rate before.
            (self.available, self.refused_until) = (0, None);
        }
        is_changed
    }

    /// Returns true if this gate reports the rate to others.
    pub fn is_reporter(&self) -> bool {
        self.is_reporter
    }

    /// Sets whether this gate reports the rate to others.
    pub fn set_reporter(&mut self, is_reporter: bool) {
        self.is_reporter = is_reporter;
    }

    /// Returns the last observation.
    pub fn observed(&self) -> Option<ObservedRate> {
        self.observed
    }

    /// Records when the endpoint stops being cold unless a later announcement is known, and the
    /// declared rate of cold endpoints. Returns true if the endpoint turned cold or warm.
    pub fn record_cold(
        &mut self,
        cold: Option<ColdState>,
        rate: Option<f64>,
        now: Instant,
    ) -> bool {
        let was_cold = self.cold_limit(now).is_some();
        self.change_limit(now, |permits| {
            permits.cold_rate = rate;
            // A table that does not know of the cold time, as after a restart, doesn't end it.
            permits.cold = cold
                .filter(|cold| cold.supersedes(permits.cold))
                .or(permits.cold);
        });
        self.cold_limit(now).is_some() != was_cold
    }

    /// Records a sign that the endpoint restarted, which counts while the table is not current.
    pub fn record_restart_sign(&mut self, contact: TableContact, now: Instant) {
        self.change_limit(now, |permits| {
            permits.assumed_cold.record_restart_sign(contact, now);
        });
    }

    /// Records that another gate treats the endpoint as cold for `left`, which counts while the table is
    /// not current.
    pub fn record_reported_cold(&mut self, left: Duration, contact: TableContact, now: Instant) {
        self.change_limit(now, |permits| {
            permits.assumed_cold.record_report(left, contact, now);
        });
    }

    /// Ends what was assumed without a current table once that has caught up.
    pub fn apply_contact(&mut self, contact: TableContact, now: Instant) {
        self.assumed_cold.apply_contact(contact, now);
    }

    /// Applies a change of the limits. Permits and refusals that follow from another limit are dropped.
    fn change_limit(&mut self, now: Instant, change: impl FnOnce(&mut Self)) {
        let limit = self.limit(now);
        change(self);
        if self.limit(now) != limit {
            (self.available, self.refused_until) = (0, None);
        }
    }

    /// Returns whether the endpoint is cold if that changed since the last call.
    pub fn take_cold_change(&mut self, now: Instant) -> Option<ColdChange> {
        let limit = self.cold_limit(now);
        let was_cold = std::mem::replace(&mut self.was_cold, limit.is_some());
        match (was_cold, limit) {
            (false, Some((_, until))) => Some(ColdChange::Cold {
                until,
                is_assumed: self.announced_until(now).is_none(),
            }),
            (true, None) => Some(ColdChange::Warm),
            _ => None,
        }
    }

    /// Returns the limit in requests per second at `now`, if there is one: the lesser of the rate that
    /// the endpoint names and of that of cold endpoints.
    pub fn limit(&self, now: Instant) -> Option<f64> {
        let cold = self.cold_limit(now).map(|(per_second, _)| per_second);
        lesser(self.named_limit(), cold)
    }

    /// Returns the limit in requests per second that the endpoint names, if it does.
    pub fn named_limit(&self) -> Option<f64> {
        self.observed?.per_second
    }

    /// Returns the limit of the cold endpoint and until when it holds; `None` if the endpoint is warm
    /// at `now`, or its service declares no limit.
    pub fn cold_limit(&self, now: Instant) -> Option<(f64, Instant)> {
        let until = self
            .announced_until(now)
            .max(self.assumed_cold.until(now))?;
        Some((self.cold_rate?, until))
    }

    /// Returns the end of the announced cold time, unless it is over.
    fn announced_until(&self, now: Instant) -> Option<Instant> {
        let until = self.cold?.until + COLD_MARGIN;
        Some(until).filter(|until| now < *until)
    }

    /// Returns the expected time between two permits of a cold endpoint, at most the remaining cold
    /// time; zero for a warm one.
    pub fn cold_wait(&self, now: Instant) -> Duration {
        self.cold_limit(now)
            .map_or(Duration::ZERO, |(per_second, until)| {
                let left = until.saturating_duration_since(now);
                let between = Duration::try_from_secs_f64(1.0 / per_second);
                between.map_or(left, |between| between.min(left))
            })
    }

    /// Returns until when no permit is to be had, if permits are refused at `now`.
    pub fn refused_until(&self, now: Instant) -> Option<Instant> {
        self.limit(now)?;
        let is_available = self.count(now) > 0;
        self.refused_until
            .filter(|until| now < *until && !is_available)
    }

    /// Returns true if permits are being requested and none is available.
    pub fn is_pending(&self, now: Instant) -> bool {
        self.limit(now).is_some() && self.requests > 0 && self.count(now) == 0
    }

    /// Takes a permit for a call, if one is needed and available.
    pub fn try_take(&mut self, now: Instant) -> CallPermission {
        if self.limit(now).is_none() {
            return CallPermission::Granted;
        }
        if self.count(now) > 0 {
            self.available -= 1;
            return CallPermission::Granted;
        }
        self.refused_until(now)
            .map_or(CallPermission::Needed, CallPermission::Refused)
    }

    /// Records that permits are being requested.
    pub fn start_request(&mut self) {
        self.requests += 1;
    }

    /// Adds permits that were requested at `requested_at`.
    pub fn grant(&mut self, permits: u32, requested_at: Instant, now: Instant) {
        self.available = self.count(now).saturating_add(permits);
        self.available_until = Some(requested_at + PERMIT_TTL);
        self.refused_until = None;
    }

    /// Records that no permit is to be had before `until`.
    pub fn refuse(&mut self, until: Instant) {
        self.refused_until = Some(until);
    }

    /// Records that a request for permits ended.
    pub fn end_request(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Number of permits that may be used at `now`.
    fn count(&self, now: Instant) -> u32 {
        let is_valid = self.available_until.is_some_and(|until| now < until);
        if is_valid { self.available } else { 0 }
    }
}

/// Returns the lesser of two limits, each of which may be missing.
pub fn lesser(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

#[cfg(test)]
mod tests;
