//! A prefix cache of prompt blocks with a limit and eviction of the least recently used.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Bytes of prompt taken as one token.
pub const TOKEN_BYTES: usize = 4;

/// Chained hashes of the whole blocks of `prompt`.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        hash = xxh3_64_with_seed(block, hash);
        hashes.push(hash);
    }
    hashes
}

/// What a lookup changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheChange {
    /// Blocks that were there already, from the front.
    pub reused: usize,
    /// Blocks added.
    pub stored: Vec<u64>,
    /// Blocks evicted.
    pub removed: Vec<u64>,
}

/// Blocks by hash, with the order of their last use.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache of `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Share of the limit in use.
    pub fn fill(&self) -> f64 {
        self.used.len() as f64 / self.limit.max(1) as f64
    }

    /// How many of `hashes`, from the front, are cached.
    pub fn cached(&self, hashes: &[u64]) -> usize {
        let is_cached = |hash: &&u64| self.used.contains_key(hash);
        hashes.iter().take_while(is_cached).count()
    }

    /// Uses `hashes`: those that are missing are stored, others evicted for them.
    pub fn touch(&mut self, hashes: &[u64]) -> CacheChange {
        let mut change = CacheChange {
            reused: self.cached(hashes),
            ..CacheChange::default()
        };
        for hash in hashes {
            self.clock += 1;
            match self.used.insert(*hash, self.clock) {
                Some(before) => {
                    self.order.remove(&before);
                }
                None => change.stored.push(*hash),
            }
            self.order.insert(self.clock, *hash);
        }
        while self.used.len() > self.limit {
            let Some((_, hash)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&hash);
            change.removed.push(hash);
        }
        change
    }
}
