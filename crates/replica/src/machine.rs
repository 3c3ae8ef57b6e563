//! What a replica does with committed entries.

use std::fmt::{self, Debug, Formatter};

/// The functions of a deterministic state machine; they run in the replica's own task.
pub struct StateMachine {
    /// Applies the entry at `index` and returns the reply for its proposer.
    pub apply: Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>,
    /// The whole state, encoded; the same bytes on every replica at the same index.
    pub snapshot: Box<dyn FnMut() -> Vec<u8> + Send>,
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
