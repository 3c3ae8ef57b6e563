//! What a gate holds, as it tells a neighbour: two hashes for each endpoint, packed.

use derives::value;
use serde::{Deserializer, Serializer, de::Error as _};
use serde_bytes::ByteBuf;

use crate::state::Entry;

/// An endpoint that the sending gate holds. Two names with one hash in a bucket, or two contents
/// with one stamp, are as rare as two digests of a bucket that agree by chance.
#[value]
#[derive(Copy)]
pub struct EntryDigest {
    /// Hash of its name.
    pub name_hash: u32,
    /// Hash of what it announced.
    pub announcement_hash: u32,
}

const PACKED_BYTES: usize = 8;

impl EntryDigest {
    /// What is told of `entry`.
    pub(crate) fn of(entry: &Entry) -> Self {
        Self {
            name_hash: (entry.name_hash >> u32::BITS) as u32,
            announcement_hash: entry.announcement_hash as u32,
        }
    }

    fn packed(self) -> [u8; PACKED_BYTES] {
        (u64::from(self.name_hash) << u32::BITS | u64::from(self.announcement_hash)).to_be_bytes()
    }

    fn unpacked(bytes: [u8; PACKED_BYTES]) -> Self {
        let both = u64::from_be_bytes(bytes);
        Self {
            name_hash: (both >> u32::BITS) as u32,
            announcement_hash: both as u32,
        }
    }
}

pub(crate) fn serialize<S: Serializer>(
    held: &[EntryDigest],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let bytes: Vec<u8> = held.iter().flat_map(|h| h.packed()).collect();
    serializer.serialize_bytes(&bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<EntryDigest>, D::Error> {
    let bytes: ByteBuf = serde::Deserialize::deserialize(deserializer)?;
    let (chunks, rest) = bytes.as_chunks::<PACKED_BYTES>();
    match rest.is_empty() {
        true => Ok(chunks
            .iter()
            .map(|chunk| EntryDigest::unpacked(*chunk))
            .collect()),
        false => Err(D::Error::custom("what is held has eight bytes each")),
    }
}
