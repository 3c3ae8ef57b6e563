//! The snapshot file: checksum, metadata and encoded state.

use derives::record;
use serde_bytes::ByteBuf;

use crate::{Disk, ReplicaError, message::SnapshotMeta, state_file};

const SNAPSHOT: &str = "snapshot";
/// Temporary name of a local snapshot; distinct because one from the leader may arrive meanwhile.
const OWN_TEMP: &str = "snapshot-own.new";

/// A snapshot of the state machine.
#[record]
pub(crate) struct Snapshot {
    pub meta: SnapshotMeta,
    pub state: ByteBuf,
}

/// Writes a snapshot, replacing the last one.
pub(crate) fn write(disk: &Disk, snapshot: &Snapshot) -> Result<(), ReplicaError> {
    state_file::replace(disk, SNAPSHOT, &state_file::encode_with_checksum(snapshot))
}

/// Writes a local snapshot to its temporary file; may run concurrently with the store.
pub(crate) fn write_temp(disk: &Disk, snapshot: &Snapshot) -> Result<(), ReplicaError> {
    state_file::write_temp(disk, OWN_TEMP, &state_file::encode_with_checksum(snapshot))
}

/// Replaces the last snapshot with the local one in the temporary file.
pub(crate) fn rename_temp(disk: &Disk) -> Result<(), ReplicaError> {
    state_file::rename_temp(disk, OWN_TEMP, SNAPSHOT)
}

/// Reads the snapshot; `None` if there is none.
pub(crate) fn read(disk: &Disk) -> Result<Option<Snapshot>, ReplicaError> {
    state_file::read(disk, SNAPSHOT)
}
