//! Events of a stream as they come from an endpoint: whole ones only, with their numbers.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its bytes, with the empty line at its end.
    pub bytes: Bytes,
    /// Its number, where it has one.
    pub id: Option<u64>,
}

/// An event larger than the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventTooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Events {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    seen: usize,
}

impl Events {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        match self.buf.len() > MAX_EVENT_BYTES + bytes.len() {
            true => Err(EventTooLarge),
            false => Ok(()),
        }
    }

    /// The next whole event, if it has come.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.seen.saturating_sub(3);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.seen = self.buf.len();
            return None;
        };
        self.seen = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        Some(Event {
            id: number(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an event are left that has not ended.
    pub fn has_part(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// The place behind the first empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|b| *b == b'\n') {
        let line_end = at + found + 1;
        match &bytes[line_end..] {
            [b'\n', ..] => return Some(line_end + 1),
            [b'\r', b'\n', ..] => return Some(line_end + 2),
            _ => at = line_end,
        }
    }
    None
}

fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::{Event, Events};

    const STREAM: &[u8] =
        b"id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\nid: 4\nda";

    fn read(pieces: &[&[u8]]) -> (Vec<Event>, Vec<u8>) {
        let (mut events, mut out) = (Events::default(), Vec::new());
        for piece in pieces {
            events.push(piece).unwrap();
            while let Some(event) = events.next_event() {
                out.push(event);
            }
        }
        (out, events.buf.to_vec())
    }

    #[test]
    fn whole_events_come_with_their_numbers_and_a_part_is_kept_back() {
        let (events, rest) = read(&[STREAM]);
        let ids: Vec<_> = events.iter().map(|e| e.id).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)]);
        assert_eq!(rest, b"id: 4\nda");
        let whole: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!([whole, rest].concat(), STREAM);
    }

    proptest! {
        #[test]
        fn however_the_bytes_are_cut_the_events_are_the_same(
            cuts in proptest::collection::vec(0..STREAM.len(), 0..8),
        ) {
            let mut cuts = cuts;
            cuts.extend([0, STREAM.len()]);
            cuts.sort_unstable();
            let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &STREAM[w[0]..w[1]]).collect();
            prop_assert_eq!(read(&pieces), read(&[STREAM]));
        }
    }
}
