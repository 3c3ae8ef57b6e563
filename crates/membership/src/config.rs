//! Bounds of the endpoints' table.

use std::time::Duration;

/// How a gate keeps the endpoints' table.
#[derive(Clone, Debug)]
pub struct TableConfig {
    /// The gate's VM.
    pub gate: String,
    /// The gate's availability zone.
    pub az: String,
    /// Announcement interval told to endpoints.
    pub announce_interval: Duration,
    /// Silence after which an endpoint is suspect and gets no new work.
    pub suspect_after: Duration,
    /// Silence after which an endpoint leaves the table and a tombstone stays.
    pub remove_after: Duration,
    /// How long a tombstone is kept.
    pub tombstone_retention: Duration,
    /// Time between exchanges with a neighbour.
    pub exchange_interval: Duration,
    /// Most endpoints in the table; further ones are refused.
    pub max_endpoints: usize,
    /// Most endpoints of one service taken from another availability zone.
    pub max_remote_per_service: usize,
    /// Whether the table is one for all availability zones, as that of keepers is.
    pub spans_zones: bool,
    /// Seed of the choice of neighbours.
    pub seed: u64,
}

impl TableConfig {
    /// Safe defaults for the gate on VM `gate` in availability zone `az`.
    pub fn new(gate: &str, az: &str) -> Self {
        Self {
            gate: gate.to_owned(),
            az: az.to_owned(),
            announce_interval: Duration::from_secs(1),
            suspect_after: Duration::from_secs(4),
            remove_after: Duration::from_secs(30),
            tombstone_retention: Duration::from_mins(10),
            exchange_interval: Duration::from_millis(500),
            max_endpoints: 16_384,
            max_remote_per_service: 8,
            spans_zones: false,
            seed: 0,
        }
    }
}
