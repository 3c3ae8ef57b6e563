//! Whether an item goes to another availability zone or waits for its own.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use super::Job;

/// Bytes that cross zones for which items wait half a call.
const HEAVY_BYTES: f64 = 2e6;

/// Endpoints and waiting items by availability zone.
#[derive(Debug, Default)]
pub(super) struct ZoneLoad {
    pub(super) slots: HashMap<String, usize>,
    pub(super) items: HashMap<String, usize>,
    pub(super) batch: usize,
}

impl ZoneLoad {
    /// Whether `job` may go to an endpoint of `az`: bytes that cross zones cost, so it waits for one
    /// of its own zone, the longer the more bytes they are, for up to a `full` call, while these
    /// aren't backed up and it can still be in time, `spare_ms` after such a call.
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
