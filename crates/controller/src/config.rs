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
    pub bounds: Bounds,
}

/// `[controller]`: how fast and how far it goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a lease lasts.
    pub lease: Duration,
    /// Longest wait for the answer to one order.
    pub order: Duration,
    /// Longest time until an endpoint announces what it was ordered.
    pub load: Duration,
    /// Pause after each endpoint of a service that has followed an order.
    pub settle: Duration,
    /// Endpoints lost or orders failed that halt the rollout of a version.
    pub halt_after: u32,
    /// Most endpoints of a service that change at one time, in percent.
    pub share_percent: u32,
    /// Loads from the weight store in a minute.
    pub loads_per_minute: u32,
    /// How long gates may take to follow a change before old versions are unloaded.
    pub follow: Duration,
    /// How long calls to an endpoint may take to end before it swaps versions.
    pub drain: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            order: Duration::from_secs(2),
            load: Duration::from_mins(5),
            settle: Duration::from_secs(2),
            halt_after: 2,
            share_percent: 25,
            loads_per_minute: 60,
            follow: Duration::from_secs(10),
            drain: Duration::from_secs(10),
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
            bounds: Bounds::read(r),
        }
    }
}

impl Bounds {
    fn read(r: &mut Reader) -> Self {
        const SECTION: &str = "controller";
        let default = Self::default();
        let mut ms = |key, default: Duration, low, high| {
            r.millis(SECTION, key, default.as_millis() as u64, low, high)
        };
        let lease = ms("lease_ms", default.lease, 1_000, 60_000);
        let order = ms("order_ms", default.order, 50, 30_000);
        let load = ms("load_ms", default.load, 100, 3_600_000);
        let settle = ms("settle_ms", default.settle, 0, 3_600_000);
        let follow = ms("follow_ms", default.follow, 0, 3_600_000);
        let drain = ms("drain_ms", default.drain, 0, 3_600_000);
        let mut n = |key, default: u32, low, high| {
            r.number(SECTION, key, u64::from(default), low, high) as u32
        };
        Self {
            lease,
            order,
            load,
            settle,
            follow,
            drain,
            halt_after: n("halt_after", default.halt_after, 1, 1_000),
            share_percent: n("share_percent", default.share_percent, 1, 100),
            loads_per_minute: n("loads_per_minute", default.loads_per_minute, 1, 60_000),
        }
    }
}
