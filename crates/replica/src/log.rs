//! The log as kept in memory: what follows the base, and the members from entry to entry.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    entry::{Entry, Members, Payload},
    message::{SnapshotMeta, TermRun},
};

/// The entries after a base whose term is known.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Arc<Entry>>,
    /// Members by the index that they hold from; the first is at or before the last snapshot.
    members: Vec<(u64, Members)>,
}

impl Log {
    /// A log without entries after `index` of `term`.
    pub(crate) fn new(index: u64, term: u64, members: Members) -> Self {
        Self {
            base_index: index,
            base_term: term,
            entries: VecDeque::new(),
            members: vec![(index, members)],
        }
    }

    /// The log of `entries` around a snapshot; the first entry becomes the base if it is covered.
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

    /// Index of the base: entries up to it are gone.
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

    /// Term of the entry at `index`, as far as it is known.
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

    /// Entries from `from` on, at least one where there is one, then as many as fit `bytes`.
    pub(crate) fn entries_from(&self, from: u64, bytes: usize) -> Vec<Arc<Entry>> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.approximate_bytes();
            if size > bytes && !taken.is_empty() {
                break;
            }
            taken.push(Arc::clone(entry));
            index += 1;
        }
        taken
    }

    /// Adds `entries`, which replace what is there from their first index on.
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

    /// The members in force: those of the last entry that names any.
    pub(crate) fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Whether the group has begun: there is an entry, or its first voters agreed on who they are.
    pub(crate) fn is_founded(&self) -> bool {
        self.last() > 0 || self.members().has_all_identities()
    }

    /// Takes in the first voters that were agreed on, where there is no entry yet.
    pub(crate) fn set_founders(&mut self, members: Members) {
        if self.last() == 0 {
            self.members = vec![(0, members)];
        }
    }

    /// The index that the members in force hold from.
    pub(crate) fn members_index(&self) -> u64 {
        self.members[self.members.len() - 1].0
    }

    /// The members at `index`.
    pub(crate) fn members_at(&self, index: u64) -> &Members {
        let active = self.members.iter().rev().find(|m| m.0 <= index);
        &active.unwrap_or(&self.members[0]).1
    }

    /// Forgets entries up to `to`, after a snapshot at `snapshot`.
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

    /// The newest terms with their first indexes, at most `most`, newest first.
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

    /// The last index that this log provably shares with one of `last` and `runs`.
    ///
    /// Entries of one term have one leader, so where both logs have a term, they agree up to the
    /// lower of its last indexes.
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

    /// The last index up to `end` whose entry is of `term`.
    fn last_of_term(&self, term: u64, end: u64) -> Option<u64> {
        let end = end.min(self.last());
        let indexes = (self.base_index..=end).rev();
        let mut indexes = indexes.skip_while(|i| self.term(*i).is_some_and(|t| t > term));
        indexes.next().filter(|i| self.term(*i) == Some(term))
    }
}

#[cfg(test)]
mod tests;
