//! Segment files: frames of entries, one frame a sync.
//!
//! A frame is `magic u32, length u32, crc32 u32, entries`, little-endian; the CRC covers length
//! and entries. Since the next frame is written only after the last one was synced, a crash can
//! tear the last frame of the last segment and nothing else: a bad frame with a good one after it
//! is damage. A frame that starts at or below the last index replaces what is there from its
//! first index on.
//!
//! A bad last frame may also be one that was synced and whose bits changed since. It is surely torn
//! only where the file ends before the frame does; otherwise the tail is doubtful.

use crate::{ReplicaError, entry::Entry};

const MAGIC: [u8; 4] = *b"jbf1";
const HEADER_BYTES: usize = 12;
const SUFFIX: &str = ".log";

/// A segment's file name by its place in the order of segments.
pub(crate) fn file_name(number: u64) -> String {
    format!("{number:020}{SUFFIX}")
}

/// The place of a segment in the order, from its file name.
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

/// The body of the frame at the start of `bytes`, if it is whole and right.
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
    /// With a good frame.
    Intact,
    /// With a frame whose write never ended.
    Torn,
    /// With a frame that may have been synced and acknowledged.
    Suspect,
}

/// A segment as read.
pub(crate) struct SegmentContents {
    /// The entries of each frame.
    pub frames: Vec<Vec<Entry>>,
    /// Length in bytes of the good part.
    pub length: u64,
    pub tail: Tail,
}

/// Reads a segment; a torn tail is left out where `is_last`, everything else is refused.
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
            let what = "a frame's checksum is wrong";
            let is_unfinished = is_last && !has_frame(&bytes[offset + 1..]);
            if is_unfinished {
                tail = classify_tail(&bytes[offset..]);
                break;
            }
            return Err(ReplicaError::corrupted(name, offset as u64, what));
        };
        let entries = Entry::read_all(body).filter(|entries| !entries.is_empty());
        let what = "a frame holds no entries of ours";
        frames.push(entries.ok_or_else(|| ReplicaError::corrupted(name, offset as u64, what))?);
        offset += HEADER_BYTES + body.len();
    }
    Ok(SegmentContents {
        frames,
        length: offset as u64,
        tail,
    })
}

/// What the bytes of a bad last frame may have been.
fn classify_tail(bytes: &[u8]) -> Tail {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Tail::Torn;
    };
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let is_short = |length: u32| length as usize > rest.len();
    // A flipped bit of the length makes a whole frame look short.
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
