//! What a replica does with committed entries.

use std::fmt::{self, Debug, Formatter};

/// Encodes a view of the state, off the task that applies.
pub type SnapshotEncoder = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// The functions of a deterministic state machine; they run in the replica's own task.
pub struct StateMachine {
    /// Applies the entry at `index` and returns the reply for its proposer.
    pub apply: Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>,
    /// Takes a view of the whole state, which must be quick, and returns what encodes it: the same
    /// bytes on every replica at the same index, whatever is applied meanwhile.
    pub snapshot: Box<dyn FnMut() -> SnapshotEncoder + Send>,
    /// Replaces the state by an encoded one as of `index`.
    pub restore: Box<dyn FnMut(u64, &[u8]) -> Result<(), String> + Send>,
    /// A digest of the state, compared between replicas at the same index.
    pub digest: Box<dyn FnMut() -> u64 + Send>,
}

impl Debug for StateMachine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("StateMachine")
    }
}
