//! Messages between gates about the request rates of endpoints.

use std::time::Duration;

use derives::record;
use membership::RateReport;
use tokio::time::Instant;

/// Limit of a cold endpoint.
#[record]
#[derive(Copy)]
pub struct ColdLimit {
    /// Requests per second.
    #[serde(rename = "r")]
    pub per_second: f64,
    /// Remaining time.
    #[serde(rename = "l")]
    pub left: Duration,
}

impl ColdLimit {
    /// Returns the rate and the end of a limit that was reported at `now`; `None` if the rate is no
    /// positive number.
    pub fn at(self, now: Instant) -> Option<(f64, Instant)> {
        // Bounds a remaining time that no endpoint announces.
        const MAX_LEFT: Duration = Duration::from_hours(1);
        let is_rate = self.per_second.is_finite() && self.per_second > 0.0;
        is_rate.then(|| (self.per_second, now + self.left.min(MAX_LEFT)))
    }
}

/// A request to another gate.
#[record]
pub enum LimitRequest {
    /// Requests permits for calls to an endpoint of the availability zone for which the receiver
    /// grants them; carries the rate that the requester knows.
    #[serde(rename = "p")]
    Permits {
        /// The availability zone.
        #[serde(rename = "z")]
        az: String,
        /// The endpoint and its rate.
        #[serde(rename = "e")]
        report: RateReport,
        /// The endpoint's limit while it is cold, if it is. A report without a rate then says nothing
        /// about the rate that the endpoint names.
        #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
        cold: Option<ColdLimit>,
    },
    /// Requests the receiver's share in the rates of the endpoints of an availability zone.
    #[serde(rename = "l")]
    Share {
        /// The availability zone.
        #[serde(rename = "z")]
        az: String,
        /// The requester.
        #[serde(rename = "g")]
        borrower: String,
    },
}

/// The reply to a [`LimitRequest`].
#[record]
pub enum LimitReply {
    /// To [`LimitRequest::Permits`]: this number of calls may be sent.
    #[serde(rename = "g")]
    Granted(u32),
    /// To [`LimitRequest::Permits`]: none may be sent before this time has passed.
    #[serde(rename = "r")]
    Refused(Duration),
    /// To [`LimitRequest::Share`]: true if the share is lent to the requester.
    #[serde(rename = "s")]
    Share(bool),
}
