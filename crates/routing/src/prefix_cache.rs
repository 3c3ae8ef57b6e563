//! Estimates which prompt parts an engine has cached.

use std::collections::{HashMap, hash_map::Entry};

use tokio::time::Instant;

/// Maximum number of parts tracked per engine.
const MAX_PARTS: usize = 8_192;
/// Fraction of the capacity that is evicted at once when it is exceeded.
const EVICTED_SHARE: f64 = 0.1;

/// A part of a prompt: the hash of it and all parts before it, and its tokens.
pub type PrefixPart = (u64, u32);

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: Instant,
    /// Number of running calls that keep the part in memory.
    calls: u32,
}

/// Tokens of a prompt that an engine has in its memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// Leading tokens that need not be read again.
    pub cached: u64,
    /// Those of them that running calls keep in memory.
    pub pinned: u64,
}

/// LRU estimate of the prompt parts that one engine has cached, based on what was sent to it.
#[derive(Debug)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
    pinned_tokens: u64,
    /// Number of tokens that fit into the engine's memory.
    capacity_tokens: u64,
}

impl PrefixCache {
    /// Creates an estimate without parts.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            parts: HashMap::new(),
            tokens: 0,
            pinned_tokens: 0,
            capacity_tokens,
        }
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns true if there are no parts.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the tokens of the parts that running calls keep in memory.
    pub fn pinned_tokens(&self) -> u64 {
        self.pinned_tokens
    }

    /// Returns the number of leading tokens of a prompt that the engine probably has cached.
    pub fn cached_tokens(&self, parts: impl IntoIterator<Item = PrefixPart>) -> u64 {
        self.lookup(parts).cached
    }

    /// Returns the leading tokens of a prompt that the engine probably has in memory.
    pub fn lookup(&self, parts: impl IntoIterator<Item = PrefixPart>) -> CachedTokens {
        let mut found = CachedTokens::default();
        for (hash, tokens) in parts {
            let Some(part) = self.parts.get(&hash) else {
                break;
            };
            let tokens = u64::from(tokens);
            found.cached += tokens;
            found.pinned += if part.calls > 0 { tokens } else { 0 };
        }
        found
    }

    /// Records that the engine has read a prompt.
    pub fn record_read(&mut self, parts: impl IntoIterator<Item = PrefixPart>, now: Instant) {
        for part in parts {
            self.insert(part, now);
        }
        self.evict_if_full();
    }

    /// Records that the engine reads a prompt and keeps it in memory until [`unpin`](Self::unpin).
    pub fn pin(&mut self, parts: impl IntoIterator<Item = PrefixPart>, now: Instant) {
        for part in parts {
            let cached = self.insert(part, now);
            cached.calls += 1;
            let newly_pinned = if cached.calls == 1 { cached.tokens } else { 0 };
            self.pinned_tokens += u64::from(newly_pinned);
        }
        self.evict_if_full();
    }

    /// Records that a call for which the parts of its prompt were kept in memory has ended.
    pub fn unpin(&mut self, parts: impl IntoIterator<Item = PrefixPart>) {
        for (hash, _) in parts {
            let Some(part) = self.parts.get_mut(&hash).filter(|part| part.calls > 0) else {
                continue;
            };
            part.calls -= 1;
            if part.calls == 0 {
                self.pinned_tokens -= u64::from(part.tokens);
            }
        }
    }

    fn insert(&mut self, (hash, tokens): PrefixPart, now: Instant) -> &mut CachedPart {
        match self.parts.entry(hash) {
            Entry::Vacant(entry) => {
                self.tokens += u64::from(tokens);
                entry.insert(CachedPart {
                    tokens,
                    used: now,
                    calls: 0,
                })
            }
            Entry::Occupied(entry) => {
                let part = entry.into_mut();
                // The size of a part that running calls keep in memory stays as they counted it.
                if part.calls == 0 {
                    self.tokens = self.tokens - u64::from(part.tokens) + u64::from(tokens);
                    part.tokens = tokens;
                }
                part.used = now;
                part
            }
        }
    }

    fn evict_if_full(&mut self) {
        if self.tokens <= self.capacity_tokens && self.parts.len() <= MAX_PARTS {
            return;
        }
        let unpinned = self.parts.iter().filter(|(_, part)| part.calls == 0);
        let mut oldest: Vec<(Instant, u64)> =
            unpinned.map(|(hash, part)| (part.used, *hash)).collect();
        oldest.sort_unstable();
        let tokens = (self.capacity_tokens as f64 * (1.0 - EVICTED_SHARE)) as u64;
        let parts = (MAX_PARTS as f64 * (1.0 - EVICTED_SHARE)) as usize;
        for (_, hash) in oldest {
            if self.tokens <= tokens && self.parts.len() <= parts {
                return;
            }
            let part = self.parts.remove(&hash);
            self.tokens -= part.map_or(0, |part| u64::from(part.tokens));
        }
    }
}

#[cfg(test)]
mod tests;
