//! Parses server-sent events whose data is JSON.

use serde_json::Value;

/// A parsed event.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Event {
    pub(crate) name: String,
    pub(crate) data: Value,
}

/// Incremental parser; keeps bytes of an incomplete event until the rest arrives.
#[derive(Debug, Default)]
pub(crate) struct SseParser {
    buf: Vec<u8>,
}

impl SseParser {
    /// Appends `bytes` and returns the events that they complete.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buf.drain(..end + 2).collect();
            events.extend(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn parse(block: &str) -> Option<Event> {
    let field = |name: &str| {
        let lines = block.lines().filter_map(|line| line.strip_prefix(name));
        let values: Vec<&str> = lines.map(str::trim_start).collect();
        values.join("\n")
    };
    let data = serde_json::from_str(&field("data:")).ok()?;
    Some(Event {
        name: field("event:"),
        data,
    })
}
