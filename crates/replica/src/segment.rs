//! Segment files: sequences of frames, each written with one sync.
//!
//! A frame is `magic u32, length u32, crc32 u32, entries`, little-endian; the CRC covers length
//! and entries. A frame is written only after the previous one is synced, so a crash can tear only
//! the last frame of the last segment: an invalid frame before a valid one means corruption. A
//! frame that starts at or below the last index replaces all entries from its first index on.
//!
//! An invalid last frame may also have been synced and changed by bit rot since. It is certain to
//! be torn only if the file ends before the frame does; otherwise the tail is suspect.

use crate::{ReplicaError, entry::Entry};

const MAGIC: [u8; 4] = *b"jbf1";
const HEADER_BYTES: usize = 12;
const SUFFIX: &str = ".log";

/// Returns the file name of the segment with a sequence number.
pub(crate) fn file_name(number: u64) -> String {
    format!("{number:020}{SUFFIX}")
}

/// Returns the sequence number in a segment's file name.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX)?.parse().ok()
}

/// Encodes one frame.
pub(crate) fn encode_frame(entries: &[impl AsRef<Entry>]) -> Vec<u8> {
    let mut buf = vec![0; HEADER_BYTES];
    for entry in entries {
        entry.as_ref().write(&mut buf);
    }
    let length = ((buf.len() - HEADER_BYTES) as u32).to_le_bytes();
    buf[..4].copy_from_slice(&MAGIC);
    buf[4..8].copy_from_slice(&length);
    let crc = checksum(&length, &buf[HEADER_BYTES..]).to_le_bytes();
    buf[8..HEADER_BYTES].copy_from_slice(&crc);
    buf
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(body);
    hasher.finalize()
}

/// Returns the body of the frame at the start of `bytes` if the frame is complete and valid.
fn frame_body(bytes: &[u8]) -> Option<&[u8]> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let length: [u8; 4] = header[4..8].try_into().ok()?;
    let crc: [u8; 4] = header[8..HEADER_BYTES].try_into().ok()?;
    let body = rest.get(..u32::from_le_bytes(length) as usize)?;
    let is_valid = header[..4] == MAGIC && checksum(&length, body) == u32::from_le_bytes(crc);
    is_valid.then_some(body)
}

/// How a segment ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// With a valid frame.
    Intact,
    /// With a frame that was not fully written.
    Torn,
    /// With an invalid frame that may have been synced and acknowledged.
    Suspect,
}

/// Decoded content of a segment.
pub(crate) struct SegmentContents {
    /// The entries of each frame.
    pub frames: Vec<Vec<Entry>>,
    /// Length in bytes of the valid part.
    pub length: u64,
    pub tail: Tail,
}

/// Decodes a segment. Drops an invalid tail of the last segment and fails on any other damage.
pub(crate) fn read(
    name: &str,
    bytes: &[u8],
    is_last: bool,
) -> Result<SegmentContents, ReplicaError> {
    let mut frames = Vec::new();
    let mut offset = 0;
    let mut tail = Tail::Intact;
    while offset < bytes.len() {
        let Some(body) = frame_body(&bytes[offset..]) else {
            let what = "invalid frame checksum";
            let is_unfinished = is_last && !has_frame(&bytes[offset + 1..]);
            if is_unfinished {
                tail = classify_tail(&bytes[offset..]);
                break;
            }
            return Err(ReplicaError::corrupted(name, offset as u64, what));
        };
        let entries = Entry::read_all(body).filter(|entries| !entries.is_empty());
        let what = "a frame holds no valid entries";
        frames.push(entries.ok_or_else(|| ReplicaError::corrupted(name, offset as u64, what))?);
        offset += HEADER_BYTES + body.len();
    }
    Ok(SegmentContents {
        frames,
        length: offset as u64,
        tail,
    })
}

/// Classifies an invalid last frame as torn or suspect.
fn classify_tail(bytes: &[u8]) -> Tail {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Tail::Torn;
    };
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let is_short = |length: u32| length as usize > rest.len();
    // A flipped bit in the length can make a complete frame appear truncated.
    let is_valid_with = |length: u32| {
        let body = &rest[..length as usize];
        checksum(&length.to_le_bytes(), body).to_le_bytes() == header[8..HEADER_BYTES]
    };
    let mut flipped = (0..u32::BITS).map(|bit| length ^ 1 << bit);
    match header[..4] == MAGIC && is_short(length) {
        true if !flipped.any(|length| !is_short(length) && is_valid_with(length)) => Tail::Torn,
        _ => Tail::Suspect,
    }
}

fn has_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == MAGIC);
    starts.any(|(at, _)| frame_body(&bytes[at..]).is_some())
}
