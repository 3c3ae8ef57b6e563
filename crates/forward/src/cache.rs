//! Which parts of prompts an engine is thought to keep.

use std::collections::HashMap;

use tokio::time::Instant;

use crate::incoming::Prompt;

/// Parts remembered for one engine.
const MAX_PARTS: usize = 8_192;
/// Share that is forgotten at once where there are too many.
const FORGET: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: Instant,
}

/// Parts that this gate has sent to one engine, the least recently used ones forgotten.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    kept: HashMap<u64, Kept>,
    tokens: u64,
    /// Tokens that the engine's memory holds.
    limit: u64,
}

impl PrefixCache {
    pub(crate) fn new(limit: u64) -> Self {
        Self {
            kept: HashMap::new(),
            tokens: 0,
            limit,
        }
    }

    /// Tokens of `prompt` from its start that the engine is thought to keep.
    pub(crate) fn held(&self, prompt: &Prompt) -> u32 {
        let parts = prompt.parts.iter();
        let held = parts.take_while(|part| self.kept.contains_key(&part.prefix_hash));
        held.map(|part| part.tokens).sum()
    }

    /// Notes that the engine has read `prompt`.
    pub(crate) fn read(&mut self, prompt: &Prompt, now: Instant) {
        for part in &prompt.parts {
            let kept = Kept {
                tokens: part.tokens,
                used: now,
            };
            if self.kept.insert(part.prefix_hash, kept).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        if self.tokens > self.limit || self.kept.len() > MAX_PARTS {
            self.forget();
        }
    }

    fn forget(&mut self) {
        let mut oldest: Vec<(Instant, u64)> = self
            .kept
            .iter()
            .map(|(chain, kept)| (kept.used, *chain))
            .collect();
        oldest.sort_unstable();
        let tokens = (self.limit as f64 * (1.0 - FORGET)) as u64;
        let parts = (MAX_PARTS as f64 * (1.0 - FORGET)) as usize;
        for (_, chain) in oldest {
            if self.tokens <= tokens && self.kept.len() <= parts {
                return;
            }
            let kept = self.kept.remove(&chain);
            self.tokens -= kept.map_or(0, |kept| u64::from(kept.tokens));
        }
    }
}

#[cfg(test)]
mod tests;
