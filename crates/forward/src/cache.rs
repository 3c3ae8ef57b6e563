//! Estimates which prompt parts an engine has cached.

use std::collections::HashMap;

use tokio::time::Instant;

use crate::incoming::Prompt;

/// Maximum number of parts tracked per engine.
const MAX_PARTS: usize = 8_192;
/// Fraction of the capacity that is evicted at once when it is exceeded.
const EVICTED_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: Instant,
}

/// LRU estimate of the prompt parts that one engine has cached, based on what this gate sent it.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
    /// Number of tokens that fit into the engine's memory.
    capacity_tokens: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            parts: HashMap::new(),
            tokens: 0,
            capacity_tokens,
        }
    }

    /// Returns the number of leading tokens of `prompt` that the engine probably has cached.
    pub(crate) fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        let parts = prompt.parts.iter();
        let held = parts.take_while(|part| self.parts.contains_key(&part.prefix_hash));
        held.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the engine has read `prompt`.
    pub(crate) fn record_read(&mut self, prompt: &Prompt, now: Instant) {
        for part in &prompt.parts {
            let entry = CachedPart {
                tokens: part.tokens,
                used: now,
            };
            let replaced = self.parts.insert(part.prefix_hash, entry);
            self.tokens += u64::from(part.tokens);
            self.tokens -= replaced.map_or(0, |replaced| u64::from(replaced.tokens));
        }
        if self.tokens > self.capacity_tokens || self.parts.len() > MAX_PARTS {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let mut oldest: Vec<(Instant, u64)> = self
            .parts
            .iter()
            .map(|(prefix_hash, entry)| (entry.used, *prefix_hash))
            .collect();
        oldest.sort_unstable();
        let tokens = (self.capacity_tokens as f64 * (1.0 - EVICTED_SHARE)) as u64;
        let parts = (MAX_PARTS as f64 * (1.0 - EVICTED_SHARE)) as usize;
        for (_, prefix_hash) in oldest {
            if self.tokens <= tokens && self.parts.len() <= parts {
                return;
            }
            let entry = self.parts.remove(&prefix_hash);
            self.tokens -= entry.map_or(0, |entry| u64::from(entry.tokens));
        }
    }
}

#[cfg(test)]
mod tests;
