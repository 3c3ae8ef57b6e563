//! Small files that are written aside, synced and renamed: the vote and the identity.

use derives::record;
use serde::{Serialize, de::DeserializeOwned};
use uuid::Uuid;

use crate::{Disk, ReplicaError};

/// File name of the vote.
pub(crate) const VOTE: &str = "vote";
/// File name of the identity.
pub(crate) const IDENTITY: &str = "identity";
/// File name of the first voters that a group without entries agreed on.
pub(crate) const FOUNDERS: &str = "founders";
/// File name of the mark that the log's tail was cut and may have been acknowledged.
pub(crate) const SUSPECT_TAIL: &str = "doubt";
/// What the name of a file ends in while it is written aside.
pub(crate) const TEMP_SUFFIX: &str = ".new";

const CRC_BYTES: usize = 4;

/// The term and the vote in it.
#[record]
#[derive(Default, Eq)]
pub(crate) struct Vote {
    pub term: u64,
    #[serde(rename = "voted")]
    pub voted_for: Option<String>,
}

/// Who the folder belongs to.
#[record]
#[derive(Eq)]
pub(crate) struct FolderOwner {
    pub name: String,
    pub identity: Uuid,
}

/// Encodes `value` with its checksum.
pub(crate) fn encode_with_checksum(value: &impl Serialize) -> Vec<u8> {
    let body = link::encode(value);
    let mut buf = crc32fast::hash(&body).to_le_bytes().to_vec();
    buf.extend_from_slice(&body);
    buf
}

/// Reads what [`seal`] wrote.
pub(crate) fn decode_with_checksum<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
) -> Result<T, ReplicaError> {
    let corrupted = |what: &str| ReplicaError::corrupted(file, 0, what);
    let (crc, body) = bytes
        .split_at_checked(CRC_BYTES)
        .ok_or_else(|| corrupted("too short"))?;
    if crc32fast::hash(body).to_le_bytes() != crc {
        return Err(corrupted("the checksum is wrong"));
    }
    link::decode(body).map_err(|e| corrupted(&e.to_string()))
}

/// Replaces `file` by `bytes` so that a crash leaves either the old or the new content.
pub(crate) fn replace(disk: &Disk, file: &str, bytes: &[u8]) -> Result<(), ReplicaError> {
    let temp = format!("{file}{TEMP_SUFFIX}");
    write_temp(disk, &temp, bytes)?;
    rename_temp(disk, &temp, file)
}

/// Writes and syncs a file that nobody reads yet.
pub(crate) fn write_temp(disk: &Disk, temp: &str, bytes: &[u8]) -> Result<(), ReplicaError> {
    let failed = |step, e: &std::io::Error| ReplicaError::disk(step, temp, e);
    (disk.write)(temp, bytes).map_err(|e| failed("write", &e))?;
    (disk.sync)(temp).map_err(|e| failed("sync", &e))
}

/// Gives a file that was written aside its name, replacing the one that had it.
pub(crate) fn rename_temp(disk: &Disk, temp: &str, file: &str) -> Result<(), ReplicaError> {
    let failed = |step, e: &std::io::Error| ReplicaError::disk(step, file, e);
    (disk.rename)(temp, file).map_err(|e| failed("rename", &e))?;
    (disk.sync_folder)().map_err(|e| failed("sync folder of", &e))
}

/// Reads a small file, if it is there.
pub(crate) fn read<T: DeserializeOwned>(
    disk: &Disk,
    file: &str,
) -> Result<Option<T>, ReplicaError> {
    let bytes = (disk.read)(file).map_err(|e| ReplicaError::disk("read", file, &e))?;
    bytes
        .map(|bytes| decode_with_checksum(file, &bytes))
        .transpose()
}
