//! The time that a leader stamps into entries.
//!
//! Stamped time never decreases, so one keeper whose wall clock is far ahead would make every later
//! key too old. Stamps therefore use the median of a majority's wall clocks, advanced by the
//! monotonic clock until the next synchronization.

use std::{
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use tokio::time::Instant;

/// A clock synchronized with the other voters' wall clocks.
#[derive(Debug, Default)]
pub struct Clock(Mutex<Option<Anchor>>);

#[derive(Clone, Copy, Debug)]
struct Anchor {
    ms: u64,
    at: Instant,
}

impl Clock {
    /// Returns milliseconds since the Unix epoch; `None` until synchronized with a majority.
    pub fn now_ms(&self) -> Option<u64> {
        let anchor = *self.0.lock().expect("no holder of this lock panics");
        anchor.map(|a| a.ms + a.at.elapsed().as_millis() as u64)
    }

    /// Sets the time from the other voters' offsets to this clock, in milliseconds. Returns false
    /// if they and this one are no majority of `voters`.
    pub fn synchronize(&self, others: &[i64], voters: usize) -> bool {
        if others.len() < voters / 2 {
            return false;
        }
        let anchor = Anchor {
            ms: wall_clock_ms().saturating_add_signed(lower_median(others)),
            at: Instant::now(),
        };
        *self.0.lock().expect("no holder of this lock panics") = Some(anchor);
        true
    }
}

/// Returns the median of `others` and 0; of two middle ones the lower, since stamped time can't be
/// set back.
fn lower_median(others: &[i64]) -> i64 {
    let mut offsets = others.to_vec();
    offsets.push(0);
    offsets.sort_unstable();
    offsets[(offsets.len() - 1) / 2]
}

/// This VM's wall clock in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

#[cfg(test)]
mod tests;
