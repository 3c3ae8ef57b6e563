//! Availability zones and processes of the fleet.

/// Availability zones; each has one keeper.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// For each gate, the index of its zone in [`ZONES`].
pub(crate) const GATE_ZONES: [usize; 4] = [0, 0, 1, 2];

/// A keeper or a gate, by its index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessId {
    Keeper(usize),
    Gate(usize),
}
