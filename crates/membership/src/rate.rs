//! Request rates that endpoints name in their responses, as gates observe and report them.

use std::time::Duration;

use derives::record;
use tokio::time::Instant;
use uuid::Uuid;

/// What a response said about the request rate that its endpoint takes from all gates together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedRate {
    /// Requests per second; `None` if the response named no limit.
    pub per_second: Option<f64>,
    /// Time up to which this is known to hold: the response's arrival if it named a limit, and the
    /// departure of its request otherwise.
    pub observed_at: Instant,
}

/// An [`ObservedRate`] on its way to another process.
#[record]
pub struct ReportedRate {
    /// Requests per second; `None` if the response named no limit.
    pub per_second: Option<f64>,
    /// Time since the observation.
    pub age: Duration,
}

/// The request rate of an endpoint, reported by a gate.
#[record]
pub struct RateReport {
    /// The endpoint's name.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Its service.
    #[serde(rename = "s")]
    pub service: String,
    /// The incarnation that responded; the rate holds for no other one.
    #[serde(rename = "i")]
    pub incarnation: Uuid,
    /// The gate that received the response.
    #[serde(rename = "g")]
    pub source: String,
    /// The rate.
    #[serde(flatten)]
    pub rate: ReportedRate,
}

impl ObservedRate {
    /// Returns true if this replaces `known`. Of two observations at the same time, the one with a
    /// limit holds.
    pub fn supersedes(&self, known: Option<Self>) -> bool {
        known.is_none_or(|known| match self.observed_at.cmp(&known.observed_at) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => known.per_second.is_none() && self.per_second.is_some(),
            std::cmp::Ordering::Greater => true,
        })
    }

    /// Returns the report of this observation at `now`.
    pub fn report(&self, now: Instant) -> ReportedRate {
        ReportedRate {
            per_second: self.per_second,
            age: now.saturating_duration_since(self.observed_at),
        }
    }
}

impl ReportedRate {
    /// Returns the observation, or `None` if its rate is no finite, non-negative number.
    pub fn observed(&self, now: Instant) -> Option<ObservedRate> {
        let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
        self.per_second.is_none_or(is_rate).then(|| ObservedRate {
            per_second: self.per_second,
            observed_at: now.checked_sub(self.age).unwrap_or(now),
        })
    }
}
