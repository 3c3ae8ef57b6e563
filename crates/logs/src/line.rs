//! Reading lines of logs.

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::event::Event;

/// One line of a log.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Line {
    /// Its level.
    pub level: String,
    /// When it was written, in milliseconds since the Unix epoch.
    pub timestamp: u64,
    /// What it says in a word or a sentence.
    pub payload: String,
    /// The VM of the process.
    #[serde(rename = "logger")]
    pub vm: Option<String>,
    /// Its values.
    #[serde(default)]
    pub kv: Map<String, Value>,
}

impl Line {
    /// Reads one line; `None` where it is none of these logs. What stands before its first brace, such as
    /// a prefix that a collector of logs puts there, is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// The moment that it tells of, in milliseconds since the Unix epoch.
    pub fn at_ms(&self) -> u64 {
        let at = self.kv.get("at_ms").and_then(Value::as_u64);
        at.unwrap_or(self.timestamp)
    }

    /// Its event, where it has one of a kind that this version knows.
    pub fn event(&self) -> Option<Event> {
        let event = self.kv.get("event")?;
        serde_json::from_value(event.clone()).ok()
    }

    /// The request that it is about, where it is about one.
    pub fn request(&self) -> Option<&str> {
        self.kv.get("request")?.as_str()
    }

    /// Whether it names `request`.
    pub fn mentions(&self, request: &str) -> bool {
        let is_batched = || match self.event() {
            Some(Event::BatchFailed { requests, .. }) => requests.iter().any(|r| r == request),
            _ => false,
        };
        self.request() == Some(request) || is_batched()
    }

    /// Its values besides moment and request that are not empty, in their order.
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

/// Whether a value places the line instead of saying something.
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
