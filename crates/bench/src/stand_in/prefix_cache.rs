//! Prefix cache of prompt blocks with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes per block.
pub const BLOCK_BYTES: usize = 64;
/// Prompt bytes that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Returns the chained hashes of the complete blocks of `prompt`.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        hash = xxh3_64_with_seed(block, hash);
        hashes.push(hash);
    }
    hashes
}

/// Changes made by one access.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheChange {
    /// Number of leading blocks that were cached already.
    pub reused: usize,
    /// Blocks added.
    pub stored: Vec<u64>,
    /// Blocks evicted.
    pub removed: Vec<u64>,
}

/// Blocks by hash, with the logical time of their last use.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the used share of the capacity, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        self.last_used.len() as f64 / self.capacity.max(1) as f64
    }

    /// Returns the number of leading `hashes` that are cached.
    pub fn cached_prefix_len(&self, hashes: &[u64]) -> usize {
        let is_cached = |hash: &&u64| self.last_used.contains_key(hash);
        hashes.iter().take_while(is_cached).count()
    }

    /// Marks `hashes` as used: stores the missing blocks and evicts the least recently used.
    pub fn touch(&mut self, hashes: &[u64]) -> CacheChange {
        let mut change = CacheChange {
            reused: self.cached_prefix_len(hashes),
            ..CacheChange::default()
        };
        for hash in hashes {
            self.clock += 1;
            match self.last_used.insert(*hash, self.clock) {
                Some(previous) => {
                    self.by_last_use.remove(&previous);
                }
                None => change.stored.push(*hash),
            }
            self.by_last_use.insert(self.clock, *hash);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&hash);
            change.removed.push(hash);
        }
        change
    }
}
