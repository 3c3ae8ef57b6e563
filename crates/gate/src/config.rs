//! Settings of a gate.

use std::{net::SocketAddr, time::Duration};

use host::settings::{Peer, Reader, Security, Vm};

const MIB: u64 = 1 << 20;

/// Everything that a gate is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM.
    pub vm: Vm,
    /// Where callers and endpoints connect.
    pub http: SocketAddr,
    /// Where other gates and controllers connect.
    pub link: SocketAddr,
    /// The keepers.
    pub keepers: Vec<Peer>,
    /// Other gates.
    pub gates: Vec<Peer>,
    /// Keys and tokens.
    pub security: Security,
    /// Bounds on what the gate takes and holds.
    pub limits: Limits,
    /// Bounds on waiting.
    pub timing: Timing,
}

/// `[limits]`.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most open connections of callers and endpoints.
    pub connections: usize,
    /// Most bytes of one request's head.
    pub head_bytes: usize,
    /// Most bytes of one request's body.
    pub body_bytes: usize,
    /// Most bytes of bodies held at one time.
    pub buffered_bytes: usize,
    /// Most bytes of one stage's output.
    pub output_bytes: usize,
    /// Most bytes of an output that the at-most-once ledger keeps whole.
    pub stored_output_bytes: usize,
    /// Most idle connections to one endpoint.
    pub idle_per_endpoint: usize,
}

/// `[timing]`.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Bound on connecting to an endpoint.
    pub connect: Duration,
    /// Shortest wait for the first byte of an answer before the connection counts as silent.
    pub first_byte: Duration,
    /// Longest pause between two parts of an answer.
    pub gap: Duration,
    /// Longest time that a connection to an endpoint lies idle.
    pub idle: Duration,
    /// Longest time for a request's head, and between requests of one connection.
    pub head: Duration,
    /// Longest time for a request's whole body.
    pub body: Duration,
    /// Longest time that a caller may leave a write pending.
    pub write: Duration,
    /// How long the listener stays open after the order to stop.
    pub notice: Duration,
    /// How long after the order to stop what is in flight may take at most.
    pub drain: Duration,
    /// How long after its commit an intent may be sent.
    pub intent: Duration,
    /// Longest time to go on settling in the background.
    pub settle: Duration,
    /// How long after the deadline the result of a call that may not be repeated is waited for.
    pub late_result: Duration,
}

impl Config {
    /// Takes what a gate needs from the settings.
    pub fn read(r: &mut Reader) -> Self {
        Self {
            vm: r.vm(),
            http: r.listen("http"),
            link: r.listen("link"),
            keepers: r.keepers(),
            gates: r.peers("gates"),
            security: r.security(),
            limits: Limits::read(r),
            timing: Timing::read(r),
        }
    }
}

impl Limits {
    fn read(r: &mut Reader) -> Self {
        let mut n = |key, default, low, high| r.number("limits", key, default, low, high) as usize;
        Self {
            connections: n("connections", 4_096, 1, 1_000_000),
            head_bytes: n("head_bytes", 32 << 10, 8 << 10, MIB),
            body_bytes: n("body_bytes", 16 * MIB, 1, 1_024 * MIB),
            buffered_bytes: n("buffered_bytes", 256 * MIB, 1, 65_536 * MIB),
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
