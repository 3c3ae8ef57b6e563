//! Interface to the state machine that committed entries are applied to.

use std::fmt::{self, Debug, Formatter};

/// Encodes a view of the state, outside the task that applies entries.
pub type SnapshotEncoder = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// Functions of a deterministic state machine, called from a task of the replica.
pub struct StateMachine {
    /// Applies the entry at `index` and returns the reply for its proposer.
    pub apply: Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>,
    /// Takes a view of the whole state and returns its encoder. Must be fast. The encoder must
    /// return the same bytes on every replica at the same index, whatever is applied meanwhile.
    pub snapshot: Box<dyn FnMut() -> SnapshotEncoder + Send>,
    /// Replaces the state with an encoded state as of `index`.
    pub restore: Box<dyn FnMut(u64, &[u8]) -> Result<(), String> + Send>,
    /// Returns a digest of the state, compared between replicas at the same index.
    pub digest: Box<dyn FnMut() -> u64 + Send>,
}

impl Debug for StateMachine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("StateMachine")
    }
}
