//! Timing and limits of the endpoint table.

use std::time::Duration;

/// Timing and limits of a gate's endpoint table.
#[derive(Clone, Debug)]
pub struct TableConfig {
    /// Name of the gate's VM.
    pub gate: String,
    /// The gate's availability zone.
    pub az: String,
    /// Interval at which endpoints are requested to announce themselves.
    pub announce_interval: Duration,
    /// Time without a heartbeat after which an endpoint is suspect and gets no new work.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which an endpoint is replaced by a tombstone.
    pub remove_after: Duration,
    /// Time for which a tombstone is kept.
    pub tombstone_retention: Duration,
    /// Time for which a confirmed departure is remembered.
    pub departure_retention: Duration,
    /// Time between exchanges with a neighbour.
    pub exchange_interval: Duration,
    /// Maximum number of endpoints in the table; further ones are refused.
    pub max_endpoints: usize,
    /// Maximum number of endpoints of one service in the sample that another availability zone gets.
    pub max_remote_per_service: usize,
    /// True if one table covers all availability zones, as it does on keepers.
    pub spans_zones: bool,
    /// Seed for the order in which neighbours are contacted.
    pub seed: u64,
}

impl TableConfig {
    /// Returns the defaults for the gate on VM `gate` in availability zone `az`.
    pub fn new(gate: &str, az: &str) -> Self {
        Self {
            gate: gate.to_owned(),
            az: az.to_owned(),
            announce_interval: Duration::from_secs(1),
            suspect_after: Duration::from_secs(4),
            remove_after: Duration::from_secs(30),
            tombstone_retention: Duration::from_mins(10),
            departure_retention: Duration::from_hours(1),
            exchange_interval: Duration::from_millis(500),
            max_endpoints: 16_384,
            max_remote_per_service: 8,
            spans_zones: false,
            seed: 0,
        }
    }
}
