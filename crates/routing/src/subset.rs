//! Deterministic subsetting: which endpoints of a service each gate calls.
//!
//! Endpoints are placed on a ring by the hash of their name. Gate `i` of `G` calls the `size`
//! endpoints from index `i·N/G` on. Windows of neighbouring gates overlap, each endpoint is called
//! by at least `gates_per_endpoint` gates, and adding or removing an endpoint moves each window by
//! at most one.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

/// Position of a gate among the gates of its availability zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatePosition {
    /// Index in the sorted list of gates.
    pub index: usize,
    /// Number of gates.
    pub gates: usize,
}

impl GatePosition {
    /// Returns the position of `own` among `gates`, which need not contain it.
    pub fn of(own: &str, gates: &[String]) -> Self {
        let all: BTreeSet<&str> = gates.iter().map(String::as_str).chain([own]).collect();
        Self {
            index: all.iter().position(|gate| *gate == own).unwrap_or(0),
            gates: all.len(),
        }
    }
}

/// Returns how many of `endpoints` each of `gates` gates calls.
pub fn size(endpoints: usize, gates: usize, min: usize, gates_per_endpoint: usize) -> usize {
    let shared = (endpoints * gates_per_endpoint).div_ceil(gates.max(1));
    // The extra endpoint compensates for rounding of the window's start.
    (shared + 1).max(min).min(endpoints)
}

/// Returns the `size` endpoints among `names` that the gate at `position` calls.
pub fn choose<'a>(names: &[&'a str], position: GatePosition, size: usize) -> Vec<&'a str> {
    let mut ring: Vec<(u64, &str)> = names.iter().map(|n| (xxh3_64(n.as_bytes()), *n)).collect();
    ring.sort_unstable();
    let start = position.index * ring.len() / position.gates.max(1);
    let chosen = ring.iter().cycle().skip(start).take(size.min(ring.len()));
    chosen.map(|(_, name)| *name).collect()
}
