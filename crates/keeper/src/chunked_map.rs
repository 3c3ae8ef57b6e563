//! A sorted map of copy-on-write chunks: a clone shares all chunks, and a chunk is copied only when
//! one of the clones changes it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Maximum number of records per chunk, and so the most that one change copies.
const MAX_CHUNK_LEN: usize = 256;

type Chunk<T> = VecDeque<(u128, T)>;

/// A sorted map with cheap clones.
#[derive(Clone, Debug)]
pub struct ChunkedMap<T> {
    /// Chunks by a lower bound of their keys.
    chunks: BTreeMap<u128, Arc<Chunk<T>>>,
    len: usize,
}

impl<T> Default for ChunkedMap<T> {
    fn default() -> Self {
        Self {
            chunks: BTreeMap::new(),
            len: 0,
        }
    }
}

/// Compares keys and values, regardless of how they are split into chunks.
impl<T: PartialEq> PartialEq for ChunkedMap<T> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl<T> ChunkedMap<T> {
    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if the map is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over all records in key order.
    pub fn iter(&self) -> impl Iterator<Item = &(u128, T)> {
        self.chunks.values().flat_map(|chunk| chunk.iter())
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: u128) -> Option<&T> {
        let (_, chunk) = self.chunks.range(..=key).next_back()?;
        let at = position(chunk, key).ok()?;
        Some(&chunk[at].1)
    }

    /// Returns the smallest key.
    pub fn first_key(&self) -> Option<u128> {
        let (_, chunk) = self.chunks.first_key_value()?;
        chunk.front().map(|(key, _)| *key)
    }
}

impl<T: Clone> ChunkedMap<T> {
    /// Returns a mutable reference to the value of `key`; copies its chunk if it is shared.
    pub fn get_mut(&mut self, key: u128) -> Option<&mut T> {
        let (_, chunk) = self.chunks.range_mut(..=key).next_back()?;
        let at = position(chunk, key).ok()?;
        Some(&mut Arc::make_mut(chunk)[at].1)
    }

    /// Inserts `key`, or replaces its value.
    pub fn insert(&mut self, key: u128, value: T) {
        let Some(start) = self.lower_bound_for(key) else {
            self.insert_chunk(key, value);
            return;
        };
        let Some(chunk) = self.chunks.get_mut(&start) else {
            return;
        };
        match position(chunk, key) {
            Ok(at) => Arc::make_mut(chunk)[at].1 = value,
            // Keys mostly arrive in order; appending a new chunk leaves the earlier ones full.
            Err(MAX_CHUNK_LEN) => self.insert_chunk(key, value),
            Err(_) if chunk.len() == MAX_CHUNK_LEN => {
                self.split(start);
                self.insert(key, value);
            }
            Err(at) => {
                Arc::make_mut(chunk).insert(at, (key, value));
                self.len += 1;
            }
        }
    }

    /// Removes and returns the record with the smallest key.
    pub fn pop_first(&mut self) -> Option<(u128, T)> {
        let mut first = self.chunks.first_entry()?;
        let record = Arc::make_mut(first.get_mut()).pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        self.len -= usize::from(record.is_some());
        record
    }

    /// Inserts a chunk with one record.
    fn insert_chunk(&mut self, key: u128, value: T) {
        let chunk = Chunk::from([(key, value)]);
        self.chunks.insert(key, Arc::new(chunk));
        self.len += 1;
    }

    /// Returns the lower bound of the chunk that `key` belongs to; extends the first chunk
    /// downwards for a smaller key.
    fn lower_bound_for(&mut self, key: u128) -> Option<u128> {
        if let Some((start, _)) = self.chunks.range(..=key).next_back() {
            return Some(*start);
        }
        let (_, chunk) = self.chunks.pop_first()?;
        self.chunks.insert(key, chunk);
        Some(key)
    }

    /// Splits the chunk at `start` into two halves.
    fn split(&mut self, start: u128) {
        let Some(chunk) = self.chunks.get_mut(&start) else {
            return;
        };
        let chunk = Arc::make_mut(chunk);
        let upper = chunk.split_off(chunk.len() / 2);
        chunk.shrink_to_fit();
        if let Some((first, _)) = upper.front() {
            self.chunks.insert(*first, Arc::new(upper));
        }
    }
}

fn position<T>(chunk: &Chunk<T>, key: u128) -> Result<usize, usize> {
    chunk.binary_search_by_key(&key, |(key, _)| *key)
}
