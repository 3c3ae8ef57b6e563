//! In-memory log: the entries after a base index and the history of members.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    entry::{Entry, Members, Payload},
    message::{SnapshotMeta, TermRun},
};

/// Entries after a base entry, of which only index and term are kept.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Arc<Entry>>,
    /// Members by the index they apply from; the first is at or before the last snapshot.
    members: Vec<(u64, Members)>,
}

impl Log {
    /// Creates a log without entries whose base is at `index` and `term`.
    pub(crate) fn new(index: u64, term: u64, members: Members) -> Self {
        Self {
            base_index: index,
            base_term: term,
            entries: VecDeque::new(),
            members: vec![(index, members)],
        }
    }

    /// Creates a log from a snapshot and entries; the first entry becomes the base if the snapshot
    /// covers it.
    pub(crate) fn with_snapshot(meta: &SnapshotMeta, mut entries: VecDeque<Arc<Entry>>) -> Self {
        let mut log = Self::new(meta.index, meta.term, meta.members.clone());
        if entries.front().is_some_and(|e| e.index <= meta.index)
            && let Some(base) = entries.pop_front()
        {
            log.base_index = base.index;
            log.base_term = base.term;
        }
        for entry in &entries {
            match &entry.payload {
                Payload::Members(members) if entry.index > meta.index => {
                    log.members.push((entry.index, members.clone()));
                }
                _ => {}
            }
        }
        log.entries = entries;
        log
    }

    /// Base index; entries up to it have been removed.
    pub(crate) fn base(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry.
    pub(crate) fn last(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at `index`, if known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        match index {
            index if index == self.base_index => Some(self.base_term),
            index => self.get(index).map(|e| e.term),
        }
    }

    /// The entry at `index`.
    pub(crate) fn get(&self, index: u64) -> Option<&Arc<Entry>> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns entries from `from` on, as many as fit in `bytes` and at least one if there is one.
    pub(crate) fn entries_from(&self, from: u64, bytes: usize) -> Vec<Arc<Entry>> {
        let mut selected = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.approximate_bytes();
            if size > bytes && !selected.is_empty() {
                break;
            }
            selected.push(Arc::clone(entry));
            index += 1;
        }
        selected
    }

    /// Appends `entries`, replacing existing entries from their first index on.
    pub(crate) fn append(&mut self, entries: impl IntoIterator<Item = Arc<Entry>>) {
        for entry in entries {
            self.truncate(entry.index);
            if let Payload::Members(members) = &entry.payload {
                self.members.push((entry.index, members.clone()));
            }
            self.entries.push_back(entry);
        }
    }

    fn truncate(&mut self, from: u64) {
        if from > self.last() {
            return;
        }
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
        let keep_first = self.members.len() - 1;
        let later = self.members.iter().rev().take_while(|m| m.0 >= from);
        let gone = later.count().min(keep_first);
        self.members.truncate(self.members.len() - gone);
    }

    /// Current members: those of the last entry that sets them.
    pub(crate) fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Returns true if the group exists: there is an entry, or the initial voters have agreed on
    /// their identities.
    pub(crate) fn is_founded(&self) -> bool {
        self.last() > 0 || self.members().has_all_identities()
    }

    /// Sets the initial voters agreed on, if there is no entry yet.
    pub(crate) fn set_founders(&mut self, members: Members) {
        if self.last() == 0 {
            self.members = vec![(0, members)];
        }
    }

    /// Index from which the current members apply.
    pub(crate) fn members_index(&self) -> u64 {
        self.members[self.members.len() - 1].0
    }

    /// Members at `index`.
    pub(crate) fn members_at(&self, index: u64) -> &Members {
        let active = self.members.iter().rev().find(|m| m.0 <= index);
        &active.unwrap_or(&self.members[0]).1
    }

    /// Returns the index up to which entries before `index` may be removed to keep at most `max_entries`
    /// with at most `max_bytes` of them.
    pub(crate) fn compaction_index(&self, index: u64, max_entries: u64, max_bytes: u64) -> u64 {
        let first = index.saturating_sub(max_entries).max(self.base_index);
        let mut bytes = 0;
        let kept = (first + 1..=index).rev().take_while(|i| {
            bytes += self.get(*i).map_or(0, |e| e.approximate_bytes() as u64);
            bytes <= max_bytes
        });
        index - kept.count() as u64
    }

    /// Removes entries up to `to`, after a snapshot at `snapshot`.
    pub(crate) fn compact(&mut self, to: u64, snapshot: u64) {
        while self.base_index < to {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let passed = self.members.iter().skip(1).take_while(|m| m.0 <= snapshot);
        let passed = passed.count();
        self.members.drain(..passed);
    }

    /// Returns up to `max_runs` terms with their first indexes, newest first.
    pub(crate) fn term_runs(&self, max_runs: usize) -> Vec<TermRun> {
        let entries = self.entries.iter().rev().map(|e| (e.index, e.term));
        let base = [(self.base_index, self.base_term)];
        let mut term_runs: Vec<TermRun> = Vec::new();
        for (start, term) in entries.chain(base) {
            let is_same = term_runs.last().is_some_and(|run| run.term == term);
            match is_same {
                true => term_runs.truncate(term_runs.len() - 1),
                false if term_runs.len() == max_runs => break,
                false => {}
            }
            term_runs.push(TermRun { term, start });
        }
        term_runs
    }

    /// Returns the last index provably shared with a log that is described by its last index and
    /// term runs.
    ///
    /// Each term has one leader, so two logs that both have entries of a term agree up to the lower
    /// of that term's last indexes.
    pub(crate) fn last_shared_index(&self, last: u64, term_runs: &[TermRun]) -> Option<u64> {
        let mut end = last;
        for run in term_runs {
            let shared = self.last_of_term(run.term, end).filter(|i| *i >= run.start);
            if shared.is_some() {
                return shared;
            }
            end = run.start.saturating_sub(1);
        }
        None
    }

    /// Returns the last index of `term` up to `end`.
    fn last_of_term(&self, term: u64, end: u64) -> Option<u64> {
        let end = end.min(self.last());
        let indexes = (self.base_index..=end).rev();
        let mut indexes = indexes.skip_while(|i| self.term(*i).is_some_and(|t| t > term));
        indexes.next().filter(|i| self.term(*i) == Some(term))
    }
}

#[cfg(test)]
mod tests;
