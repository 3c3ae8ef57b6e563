//! Sizes of what a keeper keeps, derived from what its VM has.

use host::resources::Resources;

use crate::declaration_store::MAX_HISTORY_BYTES;

/// Part of the VM's memory for each of the audit trail and the log. A snapshot is encoded, written and sent
/// beside both of them.
const MEMORY_DIVISOR: u64 = 32;
/// Part of the VM's disk for each of them. The disk holds two snapshots and the log's old segments.
const DISK_DIVISOR: u64 = 16;
/// Smallest size of each of them.
const MIN_BYTES: u64 = 1 << 20;
/// Largest number of bytes of entries between two snapshots.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

/// Sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// Maximum size of the encoded audit records.
    pub history_bytes: u64,
    /// Bytes of entries applied between two snapshots.
    pub snapshot_bytes: u64,
}

impl Budgets {
    /// Returns the sizes for a VM with `resources`.
    pub fn new(resources: &Resources) -> Self {
        let by_memory = resources.memory_bytes / MEMORY_DIVISOR;
        let by_disk = resources
            .disk_bytes
            .map_or(u64::MAX, |bytes| bytes / DISK_DIVISOR);
        let bytes = by_memory.min(by_disk).max(MIN_BYTES);
        Self {
            history_bytes: bytes.min(MAX_HISTORY_BYTES as u64),
            snapshot_bytes: bytes.min(MAX_SNAPSHOT_BYTES),
        }
    }
}
