//! Which blocks of prompts an endpoint's cache is thought to hold.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{call::CacheUsage, config::AffinityConfig, ewma::decay};

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Blocks of a prompt looked at; a longer match changes no choice.
const MAX_PROMPT_BLOCKS: usize = 128;
/// Weight of one answer in the trust.
const TRUST_WEIGHT: f64 = 0.2;
/// What is left of the trust after a gap in the events.
const GAP_TRUST_FACTOR: f64 = 0.7;
const MIN_TRUST: f64 = 0.05;

/// Chained hashes of the whole blocks of `prompt`, as engines publish them.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Takes keys that are hashes already.
#[derive(Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }
}

/// The blocks that one endpoint is thought to hold, with when each was last confirmed.
#[derive(Debug)]
pub(crate) struct Affinity {
    cfg: AffinityConfig,
    blocks: HashMap<u64, Instant, BuildHasherDefault<IdentityHasher>>,
    order: VecDeque<u64>,
    last_seq: u64,
    trust: f64,
}

impl Affinity {
    pub(crate) fn new(cfg: AffinityConfig) -> Self {
        Self {
            cfg,
            blocks: HashMap::default(),
            order: VecDeque::new(),
            last_seq: 0,
            trust: 1.0,
        }
    }

    /// Takes a batch of events; one that is late or comes again is ignored.
    pub(crate) fn apply_events(&mut self, seq: u64, stored: &[u64], removed: &[u64], now: Instant) {
        if seq <= self.last_seq {
            return;
        }
        if seq > self.last_seq + 1 && self.last_seq > 0 {
            self.trust = (self.trust * GAP_TRUST_FACTOR).max(MIN_TRUST);
        }
        self.last_seq = seq;
        self.insert(stored, now);
        for hash in removed {
            self.blocks.remove(hash);
        }
    }

    /// Notes that the endpoint has worked on a prompt of these blocks.
    pub(crate) fn insert(&mut self, hashes: &[u64], now: Instant) {
        for hash in hashes {
            if self.blocks.insert(*hash, now).is_none() {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > self.cfg.max_blocks {
            let oldest = self.order.pop_front();
            oldest.map(|hash| self.blocks.remove(&hash));
        }
    }

    /// The share of a prompt of these blocks that is thought to be cached, 0 to 1.
    pub(crate) fn cached_share(&self, hashes: &[u64], now: Instant) -> f64 {
        let known = hashes.iter().map_while(|hash| self.blocks.get(hash));
        let Some((blocks, at)) = known.enumerate().last() else {
            return 0.0;
        };
        let weight = decay(now.saturating_duration_since(*at), self.cfg.half_life);
        self.trust * weight * (blocks + 1) as f64 / hashes.len() as f64
    }

    /// Corrects the trust by what an answer says of its own prompt.
    pub(crate) fn adjust_trust(&mut self, hashes: &[u64], predicted: f64, usage: CacheUsage) {
        let actual = f64::from(usage.cached) / f64::from(usage.prompt.max(1));
        if predicted > 0.05 {
            let ratio = (actual / predicted).min(1.0);
            self.trust += TRUST_WEIGHT * (ratio - self.trust);
            self.trust = self.trust.clamp(MIN_TRUST, 1.0);
        }
        if usage.cached == 0 {
            for hash in hashes {
                self.blocks.remove(hash);
            }
        }
    }
}
