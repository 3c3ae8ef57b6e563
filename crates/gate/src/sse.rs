//! Server-sent events: extracts data lines from a byte stream, and writes events.

use bytes::{BufMut, BytesMut};
use serde::Serialize;

/// Extracts the data lines of events from a byte stream; other fields are ignored.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buf: BytesMut,
}

/// An event line exceeds the limit.
#[derive(Debug, PartialEq)]
pub(crate) struct LineTooLong;

impl EventReader {
    /// Appends bytes received from the socket.
    pub(crate) fn push(&mut self, bytes: &[u8], max_line: usize) -> Result<(), LineTooLong> {
        self.buf.extend_from_slice(bytes);
        match self.buf.len() > max_line + bytes.len() {
            true => Err(LineTooLong),
            false => Ok(()),
        }
    }

    /// Returns the data of the next complete line, if any.
    pub(crate) fn next_data(&mut self) -> Option<BytesMut> {
        loop {
            let end = self.buf.iter().position(|b| *b == b'\n')?;
            let mut line = self.buf.split_to(end + 1);
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if line.starts_with(b"data:") {
                let skip = if line.get(5) == Some(&b' ') { 6 } else { 5 };
                return Some(line.split_off(skip));
            }
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
