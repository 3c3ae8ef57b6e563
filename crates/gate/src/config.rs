//! Settings of a gate.

use std::{net::SocketAddr, time::Duration};

use host::{
    http::ListenerLimits,
    resources::Resources,
    settings::{Peer, Reader, Security, Vm},
};

const MIB: u64 = 1 << 20;
/// Bodies have this part of the bytes that the VM has for clients: a parsed body, and memory that the
/// allocator has not returned, take about as much again.
const BODIES_PART: usize = 2;

/// All settings of a gate.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM that the gate runs on.
    pub vm: Vm,
    /// What the VM has; limits that `[limits]` does not set are derived from it.
    pub resources: Resources,
    /// Listener for callers and endpoints.
    pub http: SocketAddr,
    /// Listener for links from other gates and controllers.
    pub link: SocketAddr,
    /// Addresses of the keepers.
    pub keepers: Vec<Peer>,
    /// Addresses of the other gates.
    pub gates: Vec<Peer>,
    /// Keys and tokens.
    pub security: Security,
    /// Limits on sizes and counts.
    pub limits: Limits,
    /// Timeouts.
    pub timing: Timing,
}

/// Section `[limits]`.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most open connections of callers and endpoints.
    pub connections: usize,
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Most bytes of all bodies held at one time.
    pub buffered_bytes: usize,
    /// Largest output of a stage.
    pub output_bytes: usize,
    /// Largest output that the at-most-once ledger stores.
    pub stored_output_bytes: usize,
    /// Most idle connections to one endpoint.
    pub idle_per_endpoint: usize,
}

/// Section `[timing]`.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Timeout for connecting to an endpoint.
    pub connect: Duration,
    /// Shortest time to wait for the first byte of a response before the connection counts as
    /// silent.
    pub first_byte: Duration,
    /// Pause between two parts of a response after which another call is made.
    pub gap: Duration,
    /// Time after which an idle connection to an endpoint is closed.
    pub idle: Duration,
    /// Time limit for the head of a request, and between requests on one connection.
    pub head: Duration,
    /// Time limit for the whole body of a request.
    pub body: Duration,
    /// Time limit for a write to a caller that does not read.
    pub write: Duration,
    /// Time that the listener stays open after the stop signal, so that load balancers notice.
    pub notice: Duration,
    /// Time limit for work in flight after the notice period.
    pub drain: Duration,
    /// How long after its commit an intent may be sent.
    pub intent: Duration,
    /// Time limit for retrying a settlement in the background.
    pub settle: Duration,
    /// How long after the deadline to wait for the result of a call that may not be repeated.
    pub late_result: Duration,
}

impl Config {
    /// Reads the settings of a gate; errors are collected in `r`.
    pub fn read(r: &mut Reader) -> Self {
        let resources = Resources::read(r);
        Self {
            vm: r.vm(),
            resources,
            http: r.listen("http"),
            link: r.listen("link"),
            keepers: r.keepers(),
            gates: r.peers("gates"),
            security: r.security(),
            limits: Limits::read(r, &resources),
            timing: Timing::read(r),
        }
    }
}

impl Limits {
    fn read(r: &mut Reader, resources: &Resources) -> Self {
        let of_vm = ListenerLimits::main("callers", resources);
        let mut default = |key, default: u64, of_vm: usize| match r.text("resources", key) {
            Some(text) if !text.is_empty() => default.min(of_vm as u64),
            _ => default,
        };
        let connections = default("descriptors", 4_096, of_vm.max_connections);
        let buffered = default(
            "memory_mb",
            256 * MIB,
            of_vm.max_unfinished_bytes / BODIES_PART,
        );
        let mut n = |key, default, low, high| r.number("limits", key, default, low, high) as usize;
        Self {
            connections: n("connections", connections, 1, 1_000_000),
            head_bytes: n("head_bytes", 32 << 10, 8 << 10, MIB),
            body_bytes: n("body_bytes", buffered.min(16 * MIB), 1, 1_024 * MIB),
            buffered_bytes: n("buffered_bytes", buffered, 1, 65_536 * MIB),
            output_bytes: n("output_bytes", 64 * MIB, 1, 1_024 * MIB),
            stored_output_bytes: n("stored_output_bytes", 64 << 10, 0, 16 * MIB),
            idle_per_endpoint: n("idle_per_endpoint", 32, 0, 10_000),
        }
    }
}

impl Timing {
    fn read(r: &mut Reader) -> Self {
        let mut ms = |key, default, low| r.millis("timing", key, default, low, 3_600_000);
        Self {
            connect: ms("connect_ms", 500, 1),
            first_byte: ms("first_byte_ms", 2_000, 1),
            gap: ms("gap_ms", 2_000, 1),
            idle: ms("idle_ms", 4_000, 2),
            head: ms("head_ms", 30_000, 1),
            body: ms("body_ms", 10_000, 1),
            write: ms("write_ms", 10_000, 1),
            notice: ms("notice_ms", 3_000, 0),
            drain: ms("drain_ms", 630_000, 0),
            intent: ms("intent_ms", 2_000, 1),
            settle: ms("settle_ms", 60_000, 1),
            late_result: ms("late_result_ms", 10_000, 0),
        }
    }
}
