//! The controller's settings.

use std::{net::SocketAddr, time::Duration};

use host::settings::{Peer, Reader, Secret, Vm};

/// One controller's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM on which it runs.
    pub vm: Vm,
    /// Where it takes operators' HTTP.
    pub http: SocketAddr,
    /// The keepers.
    pub keepers: Vec<Peer>,
    /// The gates; it learns endpoints from those of its availability zone.
    pub gates: Vec<Peer>,
    /// Key of the links.
    pub link_key: Option<Secret>,
    /// `[controller]`.
    pub limits: Limits,
}

/// `[controller]`: how fast and how far it goes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a lease lasts.
    pub lease_duration: Duration,
    /// Longest wait for the answer to one order.
    pub order_timeout: Duration,
    /// Longest time until an endpoint announces what it was ordered.
    pub load_timeout: Duration,
    /// Pause after each endpoint of a service that has followed an order.
    pub settle_delay: Duration,
    /// Endpoints lost or orders failed that halt the rollout of a version.
    pub halt_after_failures: u32,
    /// Most endpoints of a service that change at one time, in percent.
    pub max_changing_percent: u32,
    /// Loads from the weight store in a minute.
    pub max_loads_per_minute: u32,
    /// How long gates may take to follow a change before old versions are unloaded.
    pub unload_delay: Duration,
    /// How long calls to an endpoint may take to end before it swaps versions.
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
    /// Takes what a controller needs from `r`.
    pub fn read(r: &mut Reader) -> Self {
        Self {
            vm: r.vm(),
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
