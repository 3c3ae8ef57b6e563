//! When gates had faults of their own, as they were injected.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

/// Time after a gate's own fault during which it may answer late or not at all.
const GRACE: Duration = Duration::from_secs(3);

/// Periods in which gates were frozen, killed or stopped, until they ran again. Clones share state.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateFaults(Arc<Mutex<Vec<Period>>>);

#[derive(Clone, Copy, Debug)]
struct Period {
    gate: usize,
    since: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

impl GateFaults {
    /// Starts a period; called before the fault takes effect.
    pub(crate) fn begin(&self, gate: usize) {
        let period = Period {
            gate,
            since: Instant::now(),
            until: None,
        };
        let mut periods = self.0.lock().expect("no holder of this lock panics");
        periods.push(period);
    }

    /// Ends the gate's period; called once it runs again.
    pub(crate) fn end(&self, gate: usize) {
        let mut periods = self.0.lock().expect("no holder of this lock panics");
        let open = periods
            .iter_mut()
            .find(|p| p.gate == gate && p.until.is_none());
        if let Some(open) = open {
            open.until = Some(Instant::now());
        }
    }

    /// Returns true if `gate` had no fault of its own, nor recovered from one, between `since` and
    /// `until`.
    pub(crate) fn is_undisturbed(&self, gate: usize, since: Instant, until: Instant) -> bool {
        let periods = self.0.lock().expect("no holder of this lock panics");
        let overlaps =
            |p: &Period| p.since <= until && p.until.is_none_or(|end| since <= end + GRACE);
        !periods.iter().filter(|p| p.gate == gate).any(overlaps)
    }
}
