//! A caller's request, parsed only as far as routing and placement need it.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use routing::PrefixPart;
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Request id, repeated in every response.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Host name without the port.
    pub host: String,
    /// Path and query as received.
    pub target: String,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// The access key, if the request carries one.
    pub key: Option<String>,
    /// How long the caller waits, counted from `received_at`.
    pub timeout: Option<Duration>,
    /// When the head was received.
    pub received_at: Instant,
    /// The prompt, for engines.
    pub prompt: Option<Prompt>,
    /// Number of items for each stage of the route.
    pub items: Vec<u32>,
    /// Key from which items of stages without predecessors are produced.
    pub item_key: Option<String>,
    /// The last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Metadata of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_generated: u32,
    /// Parts in order; requests can share leading parts.
    pub parts: Vec<PromptPart>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part and all parts before it.
    pub prefix_hash: u64,
    /// Hash of the part's id alone.
    pub id_hash: u64,
    /// Number of tokens of the part.
    pub tokens: u32,
}

impl Prompt {
    /// Creates the metadata of a prompt for `model` from part ids and token counts.
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
                id_hash: xxh3_64(id.as_bytes()),
                tokens,
            }
        });
        Self {
            tokens,
            max_generated,
            parts: parts.collect(),
        }
    }

    /// Returns the parts that other requests may have as well: all but the last.
    pub fn shareable_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, parts)| parts)
    }

    /// Returns the hash of each part and all parts before it, with its tokens.
    pub fn prefixes(&self) -> impl Iterator<Item = PrefixPart> {
        self.parts
            .iter()
            .map(|part| (part.prefix_hash, part.tokens))
    }

    /// Returns the hash of the longest prefix that other requests may share: all but the last part.
    pub fn shared_prefix(&self) -> Option<u64> {
        self.shareable_parts().last().map(|part| part.prefix_hash)
    }
}

impl IncomingRequest {
    /// Returns when the response is due, on a route that allows callers to wait `longest`.
    pub fn deadline(&self, longest: Duration) -> Instant {
        self.received_at + self.timeout.map_or(longest, |timeout| timeout.min(longest))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
