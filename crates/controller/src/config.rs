//! Settings of a controller.

use std::{net::SocketAddr, time::Duration};

use host::{
    resources::Resources,
    settings::{Peer, Reader, Secret, Vm},
};

/// Settings of one controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM on which the controller runs.
    pub vm: Vm,
    /// Address of the HTTP listener for operators.
    pub http: SocketAddr,
    /// Keepers that grant the lease and serve the declaration.
    pub keepers: Vec<Peer>,
    /// Gates; those of its availability zone report the endpoints.
    pub gates: Vec<Peer>,
    /// What the VM has; the limits on clients are derived from it.
    pub resources: Resources,
    /// Key that authenticates links.
    pub link_key: Option<Secret>,
    /// Section `[controller]`.
    pub limits: Limits,
}

/// Timeouts, delays and rate limits from section `[controller]`.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Duration of the lease, `lease_ms`.
    pub lease_duration: Duration,
    /// Timeout for the reply to one order, `order_ms`.
    pub order_timeout: Duration,
    /// Timeout for an endpoint to announce the result of an order, `load_ms`.
    pub load_timeout: Duration,
    /// Delay after an endpoint of a service has completed an order, `settle_ms`.
    pub settle_delay: Duration,
    /// Number of lost endpoints or failed orders that halts the rollout of a version, `halt_after`.
    pub halt_after_failures: u32,
    /// Largest share of the endpoints of a service that change at a time, in percent,
    /// `share_percent`.
    pub max_changing_percent: u32,
    /// Maximum number of loads from the weight store in a minute.
    pub max_loads_per_minute: u32,
    /// Time for gates to follow a new declaration before old versions are unloaded, `follow_ms`.
    pub unload_delay: Duration,
    /// Time for calls in flight to end before an endpoint swaps versions, `drain_ms`.
    pub drain_duration: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(6),
            order_timeout: Duration::from_secs(2),
            load_timeout: Duration::from_mins(5),
            settle_delay: Duration::from_secs(2),
            halt_after_failures: 2,
            max_changing_percent: 25,
            max_loads_per_minute: 60,
            unload_delay: Duration::from_secs(10),
            drain_duration: Duration::from_secs(10),
        }
    }
}

impl Config {
    /// Reads the settings of a controller from `r`.
    pub fn read(r: &mut Reader) -> Self {
        Self {
            vm: r.vm(),
            resources: Resources::read(r),
            http: r.listen("http"),
            keepers: r.keepers(),
            gates: r.peers("gates"),
            link_key: r.security().link_key,
            limits: Limits::read(r),
        }
    }
}

impl Limits {
    fn read(r: &mut Reader) -> Self {
        const SECTION: &str = "controller";
        let default = Self::default();
        let mut ms = |key, default: Duration, low, high| {
            r.millis(SECTION, key, default.as_millis() as u64, low, high)
        };
        let lease_duration = ms("lease_ms", default.lease_duration, 1_000, 60_000);
        let order_timeout = ms("order_ms", default.order_timeout, 50, 30_000);
        let load_timeout = ms("load_ms", default.load_timeout, 100, 3_600_000);
        let settle_delay = ms("settle_ms", default.settle_delay, 0, 3_600_000);
        let unload_delay = ms("follow_ms", default.unload_delay, 0, 3_600_000);
        let drain_duration = ms("drain_ms", default.drain_duration, 0, 3_600_000);
        let mut n = |key, default: u32, low, high| {
            r.number(SECTION, key, u64::from(default), low, high) as u32
        };
        Self {
            lease_duration,
            order_timeout,
            load_timeout,
            settle_delay,
            unload_delay,
            drain_duration,
            halt_after_failures: n("halt_after", default.halt_after_failures, 1, 1_000),
            max_changing_percent: n("share_percent", default.max_changing_percent, 1, 100),
            max_loads_per_minute: n("loads_per_minute", default.max_loads_per_minute, 1, 60_000),
        }
    }
}
