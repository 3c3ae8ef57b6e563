//! What the head of an answer says of its endpoint, whatever it answers.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};

/// What an endpoint says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It is leaving and takes no new work.
    pub is_leaving: bool,
    /// It wants nothing from this gate for so long.
    pub pause: Option<Duration>,
}

impl Notice {
    /// Reads it from the head of an answer; `leaving` is the header that says with `1` that the endpoint
    /// leaves. Only a request that is turned away (503) asks for a pause.
    pub fn parse(status: StatusCode, headers: &HeaderMap, leaving: &HeaderName) -> Self {
        let is_turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
        Self {
            is_leaving: headers.get(leaving).is_some_and(|value| value == "1"),
            pause: parse_retry_after(headers).filter(|_| is_turned_away),
        }
    }
}

/// The pause that an answer names, in seconds with fractions; the longest where it names more than one.
/// `None` where it names no time ahead.
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let named = headers.get_all(RETRY_AFTER).iter();
    let seconds = named.filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let longest = seconds.filter(|s| *s > 0.0).reduce(f64::max)?;
    let pause = Duration::try_from_secs_f64(longest).unwrap_or(Duration::MAX);
    Some(pause).filter(|pause| !pause.is_zero())
}

#[cfg(test)]
mod tests;
