//! Server-sent events: extracts data lines from a byte stream, and writes events.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;

/// Extracts the data lines of events from a byte stream; other fields are ignored.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buf: BytesMut,
    /// Length of the prefix of `buf` that contains no end of a line.
    scanned: usize,
    /// Bytes of ignored lines since the last data line.
    ignored: usize,
}

/// More bytes than the limit came without a complete data line.
#[derive(Debug, PartialEq)]
pub(crate) struct NoData;

impl EventReader {
    /// Appends bytes received from the socket. Fails if more than `max` bytes before them are not
    /// part of a data line, or of one that is incomplete.
    pub(crate) fn push(&mut self, bytes: &[u8], max: usize) -> Result<(), NoData> {
        self.buf.extend_from_slice(bytes);
        match self.ignored + self.buf.len() > max + bytes.len() {
            true => Err(NoData),
            false => Ok(()),
        }
    }

    /// Returns the data of the next complete line, if any.
    pub(crate) fn next_data(&mut self) -> Option<BytesMut> {
        loop {
            let unscanned = &self.buf[self.scanned..];
            let Some(found) = unscanned.iter().position(|b| *b == b'\n') else {
                self.scanned = self.buf.len();
                return None;
            };
            let end = self.scanned + found;
            self.scanned = 0;
            if !self.buf.starts_with(b"data:") {
                self.buf.advance(end + 1);
                self.ignored += end + 1;
                continue;
            }
            self.ignored = 0;
            let mut line = self.buf.split_to(end + 1);
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            let skip = if line.get(5) == Some(&b' ') { 6 } else { 5 };
            return Some(line.split_off(skip));
        }
    }
}

/// Appends one event with JSON data to `out`.
pub(crate) fn write_event<T: Serialize>(out: &mut BytesMut, name: &str, data: &T) {
    out.put_slice(b"event: ");
    out.put_slice(name.as_bytes());
    out.put_slice(b"\ndata: ");
    let written = serde_json::to_writer(out.writer(), data);
    debug_assert!(written.is_ok(), "events can be serialized as JSON");
    out.put_slice(b"\n\n");
}

#[cfg(test)]
mod tests;
