//! A caller's request as it is passed on: opaque but for what decides where it goes.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The caller's id of this try, which every answer echoes.
    pub id: String,
    /// Its method.
    pub method: Method,
    /// The host that it names, without a port.
    pub host: String,
    /// Path and query as sent.
    pub target: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The access key, if it carries one.
    pub key: Option<String>,
    /// How long the caller waits, counted from `received_at`.
    pub timeout: Option<Duration>,
    /// When its head had come.
    pub received_at: Instant,
    /// Its prompt, for engines.
    pub prompt: Option<Prompt>,
    /// How many items each stage of the route has for it.
    pub items: Vec<u32>,
    /// What the items of stages without predecessors are made of.
    pub item_key: Option<String>,
    /// The last event that the caller has, of a stream that it goes on with.
    pub last_event_id: Option<u64>,
}

/// A prompt as far as it is known without reading it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u32,
    /// Most tokens to generate.
    pub max_generated: u32,
    /// Its parts in order; requests share the first ones.
    pub parts: Vec<PromptPart>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content together with the parts before it.
    pub prefix_hash: u64,
    /// Its tokens.
    pub tokens: u32,
}

impl Prompt {
    /// A prompt of `model` with parts given as id and tokens.
    pub fn new<'a>(
        model: &str,
        tokens: u32,
        max_generated: u32,
        parts: impl Iterator<Item = (&'a str, u32)>,
    ) -> Self {
        let mut prefix_hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let parts = parts.map(|(id, tokens)| {
            prefix_hash = xxh3_64_with_seed(id.as_bytes(), prefix_hash);
            PromptPart {
                prefix_hash,
                tokens,
            }
        });
        Self {
            tokens,
            max_generated,
            parts: parts.collect(),
        }
    }

    /// The longest prefix_hash that other requests may have: all but the last part.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.prefix_hash)
    }
}

impl IncomingRequest {
    /// The moment at which it has to be answered, on a route whose callers wait `longest` at most.
    pub fn deadline(&self, longest: Duration) -> Instant {
        self.received_at + self.timeout.map_or(longest, |timeout| timeout.min(longest))
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
