//! Bounds of routing.

use std::time::Duration;

/// How a gate routes.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The gate's VM.
    pub gate: String,
    /// The gate's availability zone.
    pub az: String,
    /// All gates of the availability zone, this one among them; they share its endpoints.
    pub gates: Vec<String>,
    /// Seed of the choice of candidates.
    pub seed: u64,
    /// Smallest number of endpoints of one service that a gate talks to, where there are as many.
    pub min_subset: usize,
    /// Most endpoints of one service that a gate talks to in each other availability zone.
    pub remote_subset: usize,
    /// Gates that talk to each endpoint, at least.
    pub gates_per_endpoint: usize,
    /// Share of its limit at which an endpoint of the own availability zone counts as overloaded.
    pub spillover_threshold: f64,
    /// By how much an endpoint of another availability zone must be better.
    pub remote_factor: f64,
    /// Limits by endpoint.
    pub limit: LimitConfig,
    /// Ejection.
    pub ejection: EjectionConfig,
    /// Prompt prefix affinity.
    pub affinity: AffinityConfig,
}

/// Adaptive limit of calls in flight to one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Limit of an endpoint not yet known.
    pub initial: f64,
    /// Lowest limit.
    pub min: f64,
    /// Highest limit.
    pub max: f64,
    /// By how much answers may be slower than usual before the limit falls.
    pub tolerance: f64,
}

/// Ejection of endpoints that fail.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// Failures in a row that eject.
    pub consecutive_failures: u32,
    /// Share of failures that ejects.
    pub failure_share: f64,
    /// Calls in the window before the share counts.
    pub min_calls: f64,
    /// Time over which old outcomes lose half of their weight.
    pub half_life: Duration,
    /// First time out; doubles with each ejection in a row.
    pub base_duration: Duration,
    /// Longest time out.
    pub max_duration: Duration,
    /// Time over which a returning endpoint gets its full share back.
    pub slow_start: Duration,
    /// Largest share of a service's endpoints ejected at once; one of two or three is allowed.
    pub max_ejected_share: f64,
}

/// Affinity to endpoints that hold a prompt's prefix.
#[derive(Clone, Copy, Debug)]
pub struct AffinityConfig {
    /// Most prompt blocks remembered for one endpoint.
    pub max_blocks: usize,
    /// Time over which a block not seen again loses half of its weight.
    pub half_life: Duration,
    /// Largest share of an endpoint's score that a whole cached prompt takes off.
    pub max_saving: f64,
}

impl RouterConfig {
    /// Safe defaults for the gate on VM `gate` in availability zone `az` that shares its endpoints
    /// with `gates`.
    pub fn new(gate: &str, az: &str, gates: Vec<String>) -> Self {
        Self {
            gate: gate.to_owned(),
            az: az.to_owned(),
            gates,
            seed: 0,
            min_subset: 20,
            remote_subset: 8,
            gates_per_endpoint: 3,
            spillover_threshold: 0.8,
            remote_factor: 2.0,
            limit: LimitConfig {
                initial: 32.0,
                min: 2.0,
                max: 1_024.0,
                tolerance: 2.0,
            },
            ejection: EjectionConfig {
                consecutive_failures: 5,
                failure_share: 0.5,
                min_calls: 10.0,
                half_life: Duration::from_secs(5),
                base_duration: Duration::from_secs(5),
                max_duration: Duration::from_mins(1),
                slow_start: Duration::from_secs(10),
                max_ejected_share: 0.3,
            },
            affinity: AffinityConfig {
                max_blocks: 8_192,
                half_life: Duration::from_mins(1),
                max_saving: 0.6,
            },
        }
    }
}
