//! The time that a leader stamps into entries.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The wall clock as read once at the start, carried on by the monotonic clock, so that a step of
/// the wall clock while the process runs changes nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start_ms: since.map_or(0, |d| d.as_millis() as u64),
            start: Instant::now(),
        }
    }

    /// Milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }
}
