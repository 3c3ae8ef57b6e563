//! Wall-clock times for people.

use std::time::{Duration, UNIX_EPOCH};

/// Milliseconds since the Unix epoch as UTC in RFC 3339, to the second.
pub fn format_utc(time_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    time.map_or_else(
        || time_ms.to_string(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}

#[cfg(test)]
mod tests;
