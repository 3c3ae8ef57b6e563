//! The snapshot file: checksum, what the snapshot stands for, and the encoded state.

use derives::record;
use serde_bytes::ByteBuf;

use crate::{Disk, ReplicaError, message::SnapshotMeta, vote};

const SNAPSHOT: &str = "snapshot";

/// A snapshot of the state.
#[record]
pub(crate) struct Snapshot {
    pub meta: SnapshotMeta,
    pub state: ByteBuf,
}

/// Writes a snapshot aside and puts it in the place of the last one.
pub(crate) fn write(disk: &Disk, snapshot: &Snapshot) -> Result<(), ReplicaError> {
    vote::replace(disk, SNAPSHOT, &vote::seal(snapshot))
}

/// Reads the snapshot, if there is one.
pub(crate) fn read(disk: &Disk) -> Result<Option<Snapshot>, ReplicaError> {
    vote::read(disk, SNAPSHOT)
}
