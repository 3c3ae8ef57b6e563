//! The time that a leader stamps into entries.
//!
//! Stamped time never falls, so that one keeper whose wall clock is far ahead would make every
//! later key too old. The stamps therefore come from the middle of a majority's wall clocks, and
//! are carried on by the monotonic clock until the next look at them.

use std::{
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use tokio::time::Instant;

/// The keepers' agreed time.
#[derive(Debug, Default)]
pub struct Clock(Mutex<Option<Anchor>>);

#[derive(Clone, Copy, Debug)]
struct Anchor {
    ms: u64,
    at: Instant,
}

impl Clock {
    /// Milliseconds since the Unix epoch; `None` until enough clocks were heard.
    pub fn now_ms(&self) -> Option<u64> {
        let anchor = *self.0.lock().expect("no holder of this lock panics");
        anchor.map(|a| a.ms + a.at.elapsed().as_millis() as u64)
    }

    /// Sets the time by the other voters' offsets from this clock, in milliseconds. Returns whether
    /// they and this one are a majority of `voters`.
    pub fn agree(&self, others: &[i64], voters: usize) -> bool {
        if others.len() < voters / 2 {
            return false;
        }
        let anchor = Anchor {
            ms: wall_ms().saturating_add_signed(middle(others)),
            at: Instant::now(),
        };
        *self.0.lock().expect("no holder of this lock panics") = Some(anchor);
        true
    }
}

/// The median of `others` and 0; of two middle ones the earlier, since time that was stamped too
/// late can't be taken back.
fn middle(others: &[i64]) -> i64 {
    let mut offsets = others.to_vec();
    offsets.push(0);
    offsets.sort_unstable();
    offsets[(offsets.len() - 1) / 2]
}

/// This VM's wall clock in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

#[cfg(test)]
mod tests;
