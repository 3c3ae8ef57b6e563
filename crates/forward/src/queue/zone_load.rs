//! Decides whether an item may run in another availability zone or waits for its own.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use super::Job;

/// Number of bytes crossing zones for which an item waits the full duration of a call.
const HEAVY_BYTES: f64 = 2e6;

/// Slots and waiting items by availability zone.
#[derive(Debug, Default)]
pub(super) struct ZoneLoad {
    pub(super) slots: HashMap<String, usize>,
    pub(super) items: HashMap<String, usize>,
    pub(super) batch: usize,
}

impl ZoneLoad {
    /// Returns true if `job` may run on an endpoint of `az`. Crossing zones is expensive, so the
    /// item waits for its own zone, longer for more bytes and up to the duration of a `full` call.
    /// It waits only while its zone has no backlog and it can still be in time after such a call,
    /// with `spare_ms` left.
    pub(super) fn may_run_in(
        &self,
        job: &Job,
        az: &str,
        now: Instant,
        full: Duration,
        spare_ms: i64,
    ) -> bool {
        let submission = &job.ticket.submission;
        let own = &submission.az;
        let slots = self.slots.get(own).copied().unwrap_or(0);
        let items = self.items.get(own).copied().unwrap_or(0);
        let weight = submission.crossing_bytes as f64 / HEAVY_BYTES;
        own == az
            || slots == 0
            || items > slots * self.batch
            || spare_ms <= 0
            || now.saturating_duration_since(job.since) >= full.mul_f64(weight.min(1.0))
    }
}
