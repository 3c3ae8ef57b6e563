//! Parsing of log lines.

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::event::Event;

/// A parsed log line.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Line {
    /// Name of the log level.
    pub level: String,
    /// Time at which the line was written, in milliseconds since the Unix epoch.
    pub timestamp: u64,
    /// Message: the name of the event's kind, or free text.
    pub payload: String,
    /// VM of the process; `None` if it has no name.
    #[serde(rename = "logger")]
    pub vm: Option<String>,
    /// Key-value pairs.
    #[serde(default)]
    pub kv: Map<String, Value>,
}

impl Line {
    /// Parses a line. Returns `None` if it is not in this format. Skips everything before the first
    /// brace, such as a prefix added by a log collector.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// Returns the time of the event, in milliseconds since the Unix epoch.
    pub fn at_ms(&self) -> u64 {
        let at = self.kv.get("at_ms").and_then(Value::as_u64);
        at.unwrap_or(self.timestamp)
    }

    /// Returns the event, if there is one and its kind is known to this version.
    pub fn event(&self) -> Option<Event> {
        let event = self.kv.get("event")?;
        serde_json::from_value(event.clone()).ok()
    }

    /// Returns the id of the request that the line is about, if any.
    pub fn request(&self) -> Option<&str> {
        self.kv.get("request")?.as_str()
    }

    /// Returns true if the line is about `request` or about a batch that contains it.
    pub fn mentions(&self, request: &str) -> bool {
        let is_batched = || match self.event() {
            Some(Event::BatchFailed { requests, .. }) => requests.iter().any(|r| r == request),
            _ => false,
        };
        self.request() == Some(request) || is_batched()
    }

    /// Returns the non-empty values of the line and its event, in order, without the time, the request
    /// and the event's kind.
    pub fn details(&self) -> Vec<(String, String)> {
        let of_event = self.kv.get("event").and_then(Value::as_object);
        let of_line = self.kv.iter().filter(|(key, _)| !is_metadata(key));
        let all = of_line.chain(of_event.into_iter().flatten());
        all.filter(|(key, _)| *key != "kind")
            .map(|(key, value)| (key.clone(), format_value(value)))
            .filter(|(_, value)| !value.is_empty())
            .collect()
    }
}

/// Returns true if the value of `key` is reported separately from the details.
fn is_metadata(key: &str) -> bool {
    matches!(key, "at_ms" | "request" | "event")
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_value).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests;
