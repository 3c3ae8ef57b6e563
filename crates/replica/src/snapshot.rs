//! The snapshot file: checksum, what the snapshot stands for, and the encoded state.

use derives::record;
use serde_bytes::ByteBuf;

use crate::{Disk, ReplicaError, message::SnapshotMeta, state_file};

const SNAPSHOT: &str = "snapshot";
/// An own snapshot while it is written; a snapshot from the leader may come meanwhile.
const OWN_TEMP: &str = "snapshot-own.new";

/// A snapshot of the state.
#[record]
pub(crate) struct Snapshot {
    pub meta: SnapshotMeta,
    pub state: ByteBuf,
}

/// Writes a snapshot aside and puts it in the place of the last one.
pub(crate) fn write(disk: &Disk, snapshot: &Snapshot) -> Result<(), ReplicaError> {
    state_file::replace(disk, SNAPSHOT, &state_file::encode_with_checksum(snapshot))
}

/// Writes an own snapshot aside, beside whatever else the folder's writer does.
pub(crate) fn write_temp(disk: &Disk, snapshot: &Snapshot) -> Result<(), ReplicaError> {
    state_file::write_temp(disk, OWN_TEMP, &state_file::encode_with_checksum(snapshot))
}

/// Puts the own snapshot that was written aside in the place of the last one.
pub(crate) fn rename_temp(disk: &Disk) -> Result<(), ReplicaError> {
    state_file::rename_temp(disk, OWN_TEMP, SNAPSHOT)
}

/// Reads the snapshot, if there is one.
pub(crate) fn read(disk: &Disk) -> Result<Option<Snapshot>, ReplicaError> {
    state_file::read(disk, SNAPSHOT)
}
