//! Digests by which gates compare their tables: two hashes for each endpoint, packed.

use derives::value;
use serde::{Deserializer, Serializer, de::Error as _};
use serde_bytes::ByteBuf;

use crate::state::Entry;

/// Digest of one endpoint in the sending gate's table. A collision of two names in a bucket, or of
/// two announcements, is as unlikely as a collision of two bucket digests.
#[value]
#[derive(Copy)]
pub struct EntryDigest {
    /// Upper half of the hash of the endpoint's name.
    pub name_hash: u32,
    /// Lower half of the hash of its announcement.
    pub announcement_hash: u32,
}

const PACKED_BYTES: usize = 8;

impl EntryDigest {
    /// Returns the digest of `entry`.
    pub(crate) fn of(entry: &Entry) -> Self {
        Self {
            name_hash: (entry.name_hash >> u32::BITS) as u32,
            announcement_hash: entry.announcement_hash as u32,
        }
    }

    fn to_bytes(self) -> [u8; PACKED_BYTES] {
        (u64::from(self.name_hash) << u32::BITS | u64::from(self.announcement_hash)).to_be_bytes()
    }

    fn from_bytes(bytes: [u8; PACKED_BYTES]) -> Self {
        let packed = u64::from_be_bytes(bytes);
        Self {
            name_hash: (packed >> u32::BITS) as u32,
            announcement_hash: packed as u32,
        }
    }
}

pub(crate) fn serialize<S: Serializer>(
    digests: &[EntryDigest],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let bytes: Vec<u8> = digests
        .iter()
        .flat_map(|digest| digest.to_bytes())
        .collect();
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
            .map(|chunk| EntryDigest::from_bytes(*chunk))
            .collect()),
        false => Err(D::Error::custom(
            "expected eight bytes for each entry digest",
        )),
    }
}
