//! Model of the prompt blocks held in an endpoint's prefix cache.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{call::CacheUsage, config::AffinityConfig, ewma::decay};

/// Size of one prompt block in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Most blocks hashed for one prompt. A longer match would not change the choice of endpoint.
const MAX_PROMPT_BLOCKS: usize = 128;
/// Weight of one response in the moving average of `trust`.
const TRUST_WEIGHT: f64 = 0.2;
/// Factor applied to `trust` after a gap in the sequence of cache events.
const GAP_TRUST_FACTOR: f64 = 0.7;
const MIN_TRUST: f64 = 0.05;

/// Returns the chained hashes of the complete blocks of `prompt`, as published by engines.
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

/// Passes keys through that already are hashes.
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

/// Blocks that one endpoint is assumed to hold, with the time each was last confirmed.
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

    /// Applies a batch of cache events. Ignores late and duplicate batches.
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

    /// Records that the endpoint has processed a prompt with these blocks.
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

    /// Returns the estimated share of these blocks that is cached, from 0 to 1.
    pub(crate) fn cached_share(&self, hashes: &[u64], now: Instant) -> f64 {
        let known = hashes.iter().map_while(|hash| self.blocks.get(hash));
        let Some((blocks, confirmed_at)) = known.enumerate().last() else {
            return 0.0;
        };
        let weight = decay(
            now.saturating_duration_since(*confirmed_at),
            self.cfg.half_life,
        );
        self.trust * weight * (blocks + 1) as f64 / hashes.len() as f64
    }

    /// Adjusts `trust` to the cache usage reported in a response.
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
