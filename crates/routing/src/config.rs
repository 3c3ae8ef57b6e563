//! Configuration of routing.

use std::time::Duration;

/// Configuration of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Name of the gate's VM.
    pub gate: String,
    /// Availability zone of the gate.
    pub az: String,
    /// VMs of all gates of the availability zone, including this one. They share its endpoints.
    pub gates: Vec<String>,
    /// Seed of the random choice of candidates.
    pub seed: u64,
    /// Fewest endpoints of one service in the gate's subset, if the service has that many.
    pub min_subset: usize,
    /// Most endpoints of one service in the gate's subset of each other availability zone.
    pub remote_subset: usize,
    /// Fewest gates that have each endpoint in their subset.
    pub gates_per_endpoint: usize,
    /// Utilization of its limit, from 0 to 1, at which an endpoint of the gate's own availability
    /// zone counts as overloaded.
    pub spillover_threshold: f64,
    /// Factor applied to the score of endpoints in other availability zones.
    pub remote_factor: f64,
    /// Concurrency limit per endpoint.
    pub limit: LimitConfig,
    /// Outlier ejection.
    pub ejection: EjectionConfig,
    /// Affinity to cached prompt prefixes.
    pub affinity: AffinityConfig,
}

/// Adaptive limit on the calls in flight to one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Initial limit, in calls.
    pub initial: f64,
    /// Lowest limit, in calls.
    pub min: f64,
    /// Highest limit, in calls.
    pub max: f64,
    /// Ratio of recent to baseline latency above which the limit falls.
    pub tolerance: f64,
}

/// Outlier ejection of failing endpoints.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// Consecutive failures that eject an endpoint.
    pub consecutive_failures: u32,
    /// Share of failed calls, from 0 to 1, that ejects an endpoint.
    pub failure_share: f64,
    /// Fewest recent calls, weighted by age, for which `failure_share` is applied.
    pub min_calls: f64,
    /// Half-life of the weight of past outcomes.
    pub half_life: Duration,
    /// Duration of the first ejection. It doubles with each consecutive ejection.
    pub base_duration: Duration,
    /// Longest duration of an ejection.
    pub max_duration: Duration,
    /// Time over which a returning endpoint is ramped up to its full share of calls.
    pub slow_start: Duration,
    /// Largest share of a service's endpoints ejected at once. One of two or three may always be.
    pub max_ejected_share: f64,
}

/// Affinity to endpoints that have a prompt's prefix cached.
#[derive(Clone, Copy, Debug)]
pub struct AffinityConfig {
    /// Most prompt blocks tracked for one endpoint.
    pub max_blocks: usize,
    /// Half-life of the weight of a block that is not confirmed again.
    pub half_life: Duration,
    /// Share of an endpoint's score that a fully cached prompt saves.
    pub max_saving: f64,
}

impl RouterConfig {
    /// Returns the default configuration of the gate on VM `gate` in availability zone `az`, which
    /// shares its endpoints with `gates`.
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
