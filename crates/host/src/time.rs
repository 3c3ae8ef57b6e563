//! Formats wall-clock times.

use std::time::{Duration, UNIX_EPOCH};

/// Formats milliseconds since the Unix epoch as RFC 3339 in UTC, truncated to seconds. Returns the
/// number itself if it is out of range.
pub fn format_utc(time_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    time.map_or_else(
        || time_ms.to_string(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}

#[cfg(test)]
mod tests;
