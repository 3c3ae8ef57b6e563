//! Which endpoints of a service a gate talks to.
//!
//! Endpoints lie on a ring by the hash of their name. Gate `i` of `G` takes `size` of them from
//! place `i·N/G` on, so that neighbouring gates overlap, each endpoint is taken by at least
//! `gates_per_endpoint` gates, and one endpoint more or less moves each window by at most one.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

/// The own place among the gates of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatePosition {
    /// GatePosition in the sorted list of gates.
    pub index: usize,
    /// How many gates there are.
    pub gates: usize,
}

impl GatePosition {
    /// The place of `own` among `gates`, which need not name it.
    pub fn of(own: &str, gates: &[String]) -> Self {
        let all: BTreeSet<&str> = gates.iter().map(String::as_str).chain([own]).collect();
        Self {
            index: all.iter().position(|gate| *gate == own).unwrap_or(0),
            gates: all.len(),
        }
    }
}

/// How many of `endpoints` each of `gates` gates talks to.
pub fn size(endpoints: usize, gates: usize, min: usize, gates_per_endpoint: usize) -> usize {
    let shared = (endpoints * gates_per_endpoint).div_ceil(gates.max(1));
    // One more makes up for rounding of the window's start.
    (shared + 1).max(min).min(endpoints)
}

/// The names among `names` that the gate at `place` talks to, `size` of them.
pub fn choose<'a>(names: &[&'a str], position: GatePosition, size: usize) -> Vec<&'a str> {
    let mut ring: Vec<(u64, &str)> = names.iter().map(|n| (xxh3_64(n.as_bytes()), *n)).collect();
    ring.sort_unstable();
    let start = position.index * ring.len() / position.gates.max(1);
    let chosen = ring.iter().cycle().skip(start).take(size.min(ring.len()));
    chosen.map(|(_, name)| *name).collect()
}
