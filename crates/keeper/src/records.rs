//! A sorted map in ranges that its copies share: copying it takes a moment whatever its size, and a
//! range is copied only once one of them changes it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Most records of one range, and so the most that one change copies.
const MAX_RANGE: usize = 256;

type Range<T> = VecDeque<(u128, T)>;

/// Values by key.
#[derive(Clone, Debug)]
pub struct Records<T> {
    /// By a key that is not above the range's first.
    ranges: BTreeMap<u128, Arc<Range<T>>>,
    len: usize,
}

impl<T> Default for Records<T> {
    fn default() -> Self {
        Self {
            ranges: BTreeMap::new(),
            len: 0,
        }
    }
}

/// The same keys and values; how they lie in ranges doesn't matter.
impl<T: PartialEq> PartialEq for Records<T> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl<T> Records<T> {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All records by key.
    pub fn iter(&self) -> impl Iterator<Item = &(u128, T)> {
        self.ranges.values().flat_map(|range| range.iter())
    }

    /// The value of `key`.
    pub fn get(&self, key: u128) -> Option<&T> {
        let (_, range) = self.ranges.range(..=key).next_back()?;
        let at = position(range, key).ok()?;
        Some(&range[at].1)
    }

    /// The first key.
    pub fn first_key(&self) -> Option<u128> {
        let (_, range) = self.ranges.first_key_value()?;
        range.front().map(|(key, _)| *key)
    }
}

impl<T: Clone> Records<T> {
    /// The value of `key`, to be changed.
    pub fn get_mut(&mut self, key: u128) -> Option<&mut T> {
        let (_, range) = self.ranges.range_mut(..=key).next_back()?;
        let at = position(range, key).ok()?;
        Some(&mut Arc::make_mut(range)[at].1)
    }

    /// Sets the value of `key`.
    pub fn insert(&mut self, key: u128, value: T) {
        let Some(start) = self.start_for(key) else {
            self.begin(key, value);
            return;
        };
        let Some(range) = self.ranges.get_mut(&start) else {
            return;
        };
        match position(range, key) {
            Ok(at) => Arc::make_mut(range)[at].1 = value,
            // Keys mostly come in order, and then the ranges behind stay full.
            Err(MAX_RANGE) => self.begin(key, value),
            Err(_) if range.len() == MAX_RANGE => {
                self.split(start);
                self.insert(key, value);
            }
            Err(at) => {
                Arc::make_mut(range).insert(at, (key, value));
                self.len += 1;
            }
        }
    }

    /// Removes the first record.
    pub fn pop_first(&mut self) -> Option<(u128, T)> {
        let mut first = self.ranges.first_entry()?;
        let record = Arc::make_mut(first.get_mut()).pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        self.len -= usize::from(record.is_some());
        record
    }

    /// Begins a range with its first record.
    fn begin(&mut self, key: u128, value: T) {
        let range = Range::from([(key, value)]);
        self.ranges.insert(key, Arc::new(range));
        self.len += 1;
    }

    /// Where the range that `key` belongs to starts; the first one takes in what lies before it.
    fn start_for(&mut self, key: u128) -> Option<u128> {
        if let Some((start, _)) = self.ranges.range(..=key).next_back() {
            return Some(*start);
        }
        let (_, range) = self.ranges.pop_first()?;
        self.ranges.insert(key, range);
        Some(key)
    }

    /// Cuts the range at `start` into two halves.
    fn split(&mut self, start: u128) {
        let Some(range) = self.ranges.get_mut(&start) else {
            return;
        };
        let range = Arc::make_mut(range);
        let later = range.split_off(range.len() / 2);
        range.shrink_to_fit();
        if let Some((first, _)) = later.front() {
            self.ranges.insert(*first, Arc::new(later));
        }
    }
}

fn position<T>(range: &Range<T>, key: u128) -> Result<usize, usize> {
    range.binary_search_by_key(&key, |(key, _)| *key)
}
