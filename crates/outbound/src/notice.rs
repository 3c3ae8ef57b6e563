//! Endpoint state carried in response heads.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};

/// Returns true if `status` can be that of a response to a call. There are no classes beyond 5, and a
/// call never asks for the upgrade that 101 stands for.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// What a response head says about the request rate that its endpoint takes from all gates
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedRate {
    /// Nothing: there is no response, one that failed without naming a limit, or one that names
    /// something that is no rate.
    #[default]
    Unknown,
    /// It is a success that names no limit.
    Unlimited,
    /// It names a limit in requests per second, finite and not negative.
    PerSecond(f64),
}

/// State that an endpoint reports about itself in a response head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// True if the endpoint is leaving and accepts no new calls.
    pub is_leaving: bool,
    /// Pause in calls from this gate that the endpoint requests.
    pub pause: Option<Duration>,
    /// Request rate that the endpoint takes.
    pub rate: NamedRate,
}

impl Notice {
    /// Parses a response head. The endpoint is leaving if the header `leaving` has the value `1`. Only
    /// a 503 response can request a pause. The header `limit` names a request rate.
    pub fn parse(
        status: StatusCode,
        headers: &HeaderMap,
        leaving: &HeaderName,
        limit: &HeaderName,
    ) -> Self {
        let is_refused = status == StatusCode::SERVICE_UNAVAILABLE;
        Self {
            is_leaving: headers.get(leaving).is_some_and(|value| value == "1"),
            pause: parse_retry_after(headers).filter(|_| is_refused),
            rate: parse_rate(status, headers, limit),
        }
    }
}

/// Parses `Retry-After` headers given in seconds, with fractions. Returns the longest time if there
/// are several, or `None` if there is no positive time.
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(RETRY_AFTER).iter();
    let seconds = values.filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let longest = seconds.filter(|s| *s > 0.0).reduce(f64::max)?;
    let pause = Duration::try_from_secs_f64(longest).unwrap_or(Duration::MAX);
    Some(pause).filter(|pause| !pause.is_zero())
}

/// Parses the header `name` as a decimal number of requests per second. Returns the lowest rate if
/// there are several.
fn parse_rate(status: StatusCode, headers: &HeaderMap, name: &HeaderName) -> NamedRate {
    let mut values = headers.get_all(name).iter().peekable();
    if values.peek().is_none() && status.is_success() {
        return NamedRate::Unlimited;
    }
    let rates = values.filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let lowest = rates
        .filter(|rate| rate.is_finite() && *rate >= 0.0)
        .reduce(f64::min);
    lowest.map_or(NamedRate::Unknown, NamedRate::PerSecond)
}

#[cfg(test)]
mod tests;
