//! What this gate knows of the request rate that one endpoint takes, and its permits for calls.

use std::time::Duration;

use membership::ObservedRate;
use tokio::time::Instant;

/// Lowest rate of permits, in requests per second. An endpoint that names less is still asked this
/// often, since only its responses say that the limit ended.
pub(crate) const MIN_RATE: f64 = 0.1;
/// Time after the request for permits in which they may be used.
const PERMIT_TTL: Duration = Duration::from_millis(150);

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPermission {
    /// The endpoint names no limit, or a permit was taken for the call.
    Granted,
    /// A permit has to be requested first.
    Needed,
    /// No permit is to be had before this time.
    Refused(Instant),
}

/// Request rate of one endpoint, and this gate's permits for calls to it.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    observed: Option<ObservedRate>,
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
    pub(crate) fn record_rate(&mut self, observed: ObservedRate) -> bool {
        let is_superseding = match self.observed {
            // Endpoints without a limit need no record.
            None => observed.per_second.is_some(),
            known => observed.supersedes(known),
        };
        if !is_superseding {
            return false;
        }
        let is_changed = self.limit() != observed.per_second;
        self.observed = Some(observed);
        if is_changed {
            // They followed from the rate before.
            (self.available, self.refused_until) = (0, None);
        }
        is_changed
    }

    /// Returns true if this gate reports the rate to others.
    pub(crate) fn is_reporter(&self) -> bool {
        self.is_reporter
    }

    /// Sets whether this gate reports the rate to others.
    pub(crate) fn set_reporter(&mut self, is_reporter: bool) {
        self.is_reporter = is_reporter;
    }

    /// Returns the last observation.
    pub(crate) fn observed(&self) -> Option<ObservedRate> {
        self.observed
    }

    /// Returns the limit in requests per second, if there is one.
    pub(crate) fn limit(&self) -> Option<f64> {
        self.observed?.per_second
    }

    /// Returns until when no permit is to be had, if permits are refused at `now`.
    pub(crate) fn refused_until(&self, now: Instant) -> Option<Instant> {
        self.limit()?;
        let is_available = self.count(now) > 0;
        self.refused_until
            .filter(|until| now < *until && !is_available)
    }

    /// Returns true if permits are being requested and none is available.
    pub(crate) fn is_pending(&self, now: Instant) -> bool {
        self.limit().is_some() && self.requests > 0 && self.count(now) == 0
    }

    /// Takes a permit for a call, if one is needed and available.
    pub(crate) fn try_take(&mut self, now: Instant) -> CallPermission {
        if self.limit().is_none() {
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
    pub(crate) fn start_request(&mut self) {
        self.requests += 1;
    }

    /// Adds permits that were requested at `requested_at`.
    pub(crate) fn grant(&mut self, permits: u32, requested_at: Instant, now: Instant) {
        self.available = self.count(now).saturating_add(permits);
        self.available_until = Some(requested_at + PERMIT_TTL);
        self.refused_until = None;
    }

    /// Records that no permit is to be had before `until`.
    pub(crate) fn refuse(&mut self, until: Instant) {
        self.refused_until = Some(until);
    }

    /// Records that a request for permits ended.
    pub(crate) fn end_request(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Number of permits that may be used at `now`.
    fn count(&self, now: Instant) -> u32 {
        let is_valid = self.available_until.is_some_and(|until| now < until);
        if is_valid { self.available } else { 0 }
    }
}

#[cfg(test)]
mod tests;
