//! Segment files: sequences of frames, each written with one sync.
//!
//! A frame is `magic u32, length u32, crc32 u32, entries`, little-endian; the CRC covers length
//! and entries. A frame is written only after the previous one is synced, so a crash can tear only
//! the last frame of the last segment: an invalid frame before a valid one means corruption. A
//! frame that starts at or below the last index replaces all entries from its first index on.
//!
//! An invalid last frame may also have been synced and changed by bit rot since. It is torn if the
//! file ends before the frame does, or if the frame ends in zeros, as pages that were not written
//! read, and no single inverted bit explains that. Otherwise the tail is suspect.

use crate::{ReplicaError, entry::Entry};

const MAGIC: [u8; 4] = *b"jbf1";
const HEADER_BYTES: usize = 12;
/// Generator of the CRC-32, bits reversed.
const CRC_POLYNOMIAL: u32 = 0xedb8_8320;
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
    let frame = RawFrame::new(header, rest);
    let is_short = frame.has_magic() && frame.body(frame.length).is_none();
    // Pages of the file that were not written before the crash read as zeros.
    let has_unwritten_end = bytes.ends_with(&[0]);
    match is_short {
        true if !frame.has_flipped_length() => Tail::Torn,
        _ if has_unwritten_end && !frame.has_flipped_bit() => Tail::Torn,
        _ => Tail::Suspect,
    }
}

/// The parts of a frame that is not known to be valid.
struct RawFrame<'a> {
    magic: u32,
    length: u32,
    crc: u32,
    rest: &'a [u8],
}

impl<'a> RawFrame<'a> {
    fn new(header: &[u8], rest: &'a [u8]) -> Self {
        let word = |at: usize| {
            u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        Self {
            magic: word(0),
            length: word(4),
            crc: word(8),
            rest,
        }
    }

    fn has_magic(&self) -> bool {
        self.magic == u32::from_le_bytes(MAGIC)
    }

    fn body(&self, length: u32) -> Option<&'a [u8]> {
        self.rest.get(..length as usize)
    }

    /// Difference between the stored and the computed checksum; `None` if the body is incomplete.
    fn syndrome(&self, length: u32) -> Option<u32> {
        let body = self.body(length)?;
        Some(self.crc ^ checksum(&length.to_le_bytes(), body))
    }

    /// Returns true if the frame is valid once one bit of its length is inverted.
    fn has_flipped_length(&self) -> bool {
        let mut lengths = (0..u32::BITS).map(|bit| self.length ^ 1 << bit);
        lengths.any(|length| self.syndrome(length) == Some(0))
    }

    /// Returns true if the frame is valid once one of its bits is inverted.
    fn has_flipped_bit(&self) -> bool {
        let syndrome = self.syndrome(self.length);
        let magic_bits = (self.magic ^ u32::from_le_bytes(MAGIC)).count_ones();
        match (magic_bits, syndrome) {
            (0, Some(syndrome)) => {
                let covered = size_of_val(&self.length) + self.length as usize;
                self.has_flipped_length()
                    || syndrome.is_power_of_two()
                    || is_single_bit_error(syndrome, covered)
            }
            (0, None) => self.has_flipped_length(),
            (1, syndrome) => syndrome == Some(0),
            _ => false,
        }
    }
}

/// Returns true if inverting one bit of `length` bytes changes their CRC-32 by `syndrome`.
fn is_single_bit_error(syndrome: u32, length: usize) -> bool {
    let bits = length as u64 * u64::from(u8::BITS);
    let shift = |register: u32| (register >> 1) ^ (CRC_POLYNOMIAL * (register & 1));
    let mut changes = std::iter::successors(Some(CRC_POLYNOMIAL), |change| Some(shift(*change)));
    // From the last bit to the first.
    (0..bits).any(|_| changes.next() == Some(syndrome))
}

fn has_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == MAGIC);
    starts.any(|(at, _)| frame_body(&bytes[at..]).is_some())
}
