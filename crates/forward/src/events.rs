//! EventSplitter of a stream as they come from an endpoint: whole ones only, with their numbers.

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
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
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
        let from = self.scanned.saturating_sub(3);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.scanned = self.buf.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an event are left that has not ended.
    pub fn has_partial_event(&self) -> bool {
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

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
