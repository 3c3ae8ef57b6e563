//! The snapshot file: checksum, what the snapshot stands for, and the encoded state.

use derives::record;
use serde_bytes::ByteBuf;

use crate::{Disk, ReplicaError, message::SnapshotMeta, vote};

const SNAPSHOT: &str = "snapshot";
/// An own snapshot while it is written; a snapshot from the leader may come meanwhile.
const OWN_ASIDE: &str = "snapshot-own.new";

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

/// Writes an own snapshot aside, beside whatever else the folder's writer does.
pub(crate) fn write_aside(disk: &Disk, snapshot: &Snapshot) -> Result<(), ReplicaError> {
    vote::write_aside(disk, OWN_ASIDE, &vote::seal(snapshot))
}

/// Puts the own snapshot that was written aside in the place of the last one.
pub(crate) fn put_in_place(disk: &Disk) -> Result<(), ReplicaError> {
    vote::put_in_place(disk, OWN_ASIDE, SNAPSHOT)
}

/// Reads the snapshot, if there is one.
pub(crate) fn read(disk: &Disk) -> Result<Option<Snapshot>, ReplicaError> {
    vote::read(disk, SNAPSHOT)
}
