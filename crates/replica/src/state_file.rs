//! Small checksummed files, such as vote and identity, replaced atomically by a rename.

use derives::record;
use serde::{Serialize, de::DeserializeOwned};
use uuid::Uuid;

use crate::{Disk, ReplicaError};

/// File name of the vote.
pub(crate) const VOTE: &str = "vote";
/// File name of the identity.
pub(crate) const IDENTITY: &str = "identity";
/// File name of the initial voters agreed on by a group without entries.
pub(crate) const FOUNDERS: &str = "founders";
/// File name of the marker that a truncated log tail may have been acknowledged.
pub(crate) const SUSPECT_TAIL: &str = "doubt";
/// Suffix of a file that is being written.
pub(crate) const TEMP_SUFFIX: &str = ".new";

const CRC_BYTES: usize = 4;

/// The current term and the candidate voted for in it.
#[record]
#[derive(Default, Eq)]
pub(crate) struct Vote {
    pub term: u64,
    #[serde(rename = "voted")]
    pub voted_for: Option<String>,
}

/// Replica that owns the folder.
#[record]
#[derive(Eq)]
pub(crate) struct FolderOwner {
    pub name: String,
    pub identity: Uuid,
}

/// Encodes `value` after its CRC-32.
pub(crate) fn encode_with_checksum(value: &impl Serialize) -> Vec<u8> {
    let mut buf = vec![0; CRC_BYTES];
    link::encode_into(value, &mut buf);
    let crc = crc32fast::hash(&buf[CRC_BYTES..]).to_le_bytes();
    buf[..CRC_BYTES].copy_from_slice(&crc);
    buf
}

/// Decodes the output of [`encode_with_checksum`].
pub(crate) fn decode_with_checksum<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
) -> Result<T, ReplicaError> {
    let corrupted = |what: &str| ReplicaError::corrupted(file, 0, what);
    let (crc, body) = bytes
        .split_at_checked(CRC_BYTES)
        .ok_or_else(|| corrupted("the file is too short"))?;
    if crc32fast::hash(body).to_le_bytes() != crc {
        return Err(corrupted("invalid checksum"));
    }
    link::decode(body).map_err(|e| corrupted(&e.to_string()))
}

/// Replaces the content of `file` atomically: a crash leaves either the old or the new content.
pub(crate) fn replace(disk: &Disk, file: &str, bytes: &[u8]) -> Result<(), ReplicaError> {
    let temp = format!("{file}{TEMP_SUFFIX}");
    write_temp(disk, &temp, bytes)?;
    rename_temp(disk, &temp, file)
}

/// Writes and syncs the temporary file `temp`.
pub(crate) fn write_temp(disk: &Disk, temp: &str, bytes: &[u8]) -> Result<(), ReplicaError> {
    let failed = |step, e: &std::io::Error| ReplicaError::disk(step, temp, e);
    (disk.write)(temp, bytes).map_err(|e| failed("write", &e))?;
    (disk.sync)(temp).map_err(|e| failed("sync", &e))
}

/// Renames a temporary file to `file`, replacing it, and syncs the folder.
pub(crate) fn rename_temp(disk: &Disk, temp: &str, file: &str) -> Result<(), ReplicaError> {
    let failed = |step, e: &std::io::Error| ReplicaError::disk(step, file, e);
    (disk.rename)(temp, file).map_err(|e| failed("rename", &e))?;
    (disk.sync_folder)().map_err(|e| failed("sync folder of", &e))
}

/// Reads a file; `None` if it doesn't exist.
pub(crate) fn read<T: DeserializeOwned>(
    disk: &Disk,
    file: &str,
) -> Result<Option<T>, ReplicaError> {
    let bytes = (disk.read)(file).map_err(|e| ReplicaError::disk("read", file, &e))?;
    bytes
        .map(|bytes| decode_with_checksum(file, &bytes))
        .transpose()
}
