//! Splits a stream of server-sent events into complete events with their ids.

use bytes::{Bytes, BytesMut};

const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its bytes, including the terminating empty line.
    pub bytes: Bytes,
    /// Its numeric id, if it has one.
    pub id: Option<u64>,
}

impl Event {
    /// Returns true if the event contains the head of an HTTP response. Unknown fields of an event are
    /// accepted otherwise.
    pub fn has_response_head(&self) -> bool {
        let mut lines = self.bytes.split(|b| *b == b'\n');
        lines.any(|line| HEAD_LINES.iter().any(|start| starts_with(line, start)))
    }
}

/// Starts of lines, in any case, that occur in the head of a response and not in an event.
const HEAD_LINES: [&[u8]; 3] = [b"http/1.", b"content-length:", b"transfer-encoding:"];

/// Compares without regard to case.
fn starts_with(line: &[u8], start: &[u8]) -> bool {
    let prefix = line.get(..start.len());
    prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(start))
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventTooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` that contains no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        match self.buf.len() > MAX_EVENT_BYTES + bytes.len() {
            true => Err(EventTooLarge),
            false => Ok(()),
        }
    }

    /// Returns the next event if it is complete.
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

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns true if bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the position after the first empty line.
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
