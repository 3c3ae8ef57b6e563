//! The blocked parts that a gate knows: decided here, told by other gates or listed by the keepers.
//!
//! Of a decision and a later withdrawal of the same part the later one counts, wherever it is heard
//! first.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use link::keeper::{BlockedPart, MAX_BLOCKED_PARTS};
use tokio::time::Instant;

/// Time after its decision at which a block ends.
const BLOCK_DURATION: Duration = Duration::from_hours(24);
/// Time after which a block that another gate decided is proposed to the keepers from here.
const PROPOSAL_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of remembered withdrawals; the oldest one is dropped.
const MAX_WITHDRAWALS: usize = 64;

/// A change of the parts that are blocked.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    Blocked(BlockedPart),
    Unblocked { part: u64, why: &'static str },
}

/// Whether the keepers have a block.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Not known; it is proposed to them from the instant on.
    Proposed(Instant),
    /// They had it at the instant.
    Confirmed(Instant),
}

#[derive(Clone, Debug)]
struct Block {
    info: BlockedPart,
    decided_at: Instant,
    stage: Stage,
}

#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    at: Instant,
    /// True until the keepers know it, if it was decided here.
    is_proposed: bool,
}

/// What gates tell each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListView {
    pub(crate) blocked: Vec<BlockedPart>,
    /// Parts whose block was withdrawn, with the time since.
    pub(crate) withdrawn: Vec<(u64, Duration)>,
}

/// The blocked parts, and the blocks withdrawn lately.
#[derive(Debug, Default)]
pub(crate) struct BlockList {
    blocks: BTreeMap<u64, Block>,
    withdrawals: BTreeMap<u64, Withdrawal>,
    /// Version of the keepers' list that was applied last.
    version: u64,
    changes: Vec<Change>,
}

impl BlockList {
    /// Version of the keepers' list that was applied last.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns and forgets the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the blocked parts with the times at which their blocks end.
    pub(crate) fn in_force(&self) -> HashMap<u64, Instant> {
        let blocks = self.blocks.iter();
        blocks
            .map(|(part, block)| (*part, block.decided_at + BLOCK_DURATION))
            .collect()
    }

    /// Returns true if `part` is blocked.
    pub(crate) fn contains(&self, part: u64) -> bool {
        self.blocks.contains_key(&part)
    }

    /// Adds a block that this gate decided.
    pub(crate) fn decide(&mut self, info: BlockedPart, now: Instant) {
        self.insert(info, now, Stage::Proposed(now));
    }

    /// Adds a block that another gate told, unless it was withdrawn after its decision.
    pub(crate) fn hear(&mut self, info: BlockedPart, now: Instant) {
        let decided_at = before(now, info.age);
        self.insert(info, decided_at, Stage::Proposed(now + PROPOSAL_DELAY));
    }

    /// Withdraws the block of `part` if it was decided before `at`. `is_own` is true if this gate
    /// decides so.
    pub(crate) fn withdraw(&mut self, part: u64, at: Instant, is_own: bool, why: &'static str) {
        let known = self.withdrawals.entry(part).or_insert(Withdrawal {
            at,
            is_proposed: is_own,
        });
        known.at = known.at.max(at);
        known.is_proposed |= is_own;
        let is_withdrawn = |block: &Block| block.decided_at <= at;
        if self.blocks.get(&part).is_some_and(is_withdrawn) {
            self.remove(part, why);
        }
        let oldest = self.withdrawals.iter().min_by_key(|(_, w)| w.at);
        let oldest = oldest.map(|(part, _)| *part);
        if let Some(oldest) = oldest.filter(|_| self.withdrawals.len() > MAX_WITHDRAWALS) {
            self.withdrawals.remove(&oldest);
        }
    }

    /// Applies the keepers' list, which was requested at `requested_at`. Blocks that the keepers had
    /// before and no longer list have ended, unless the keepers have lost their list.
    pub(crate) fn apply_keepers_list(
        &mut self,
        version: u64,
        parts: Vec<BlockedPart>,
        requested_at: Instant,
        now: Instant,
    ) {
        let has_regressed = version < self.version;
        self.version = version;
        let listed: BTreeMap<u64, BlockedPart> = parts.into_iter().map(|p| (p.part, p)).collect();
        let mut ended = Vec::new();
        for (part, block) in &mut self.blocks {
            match block.stage {
                _ if listed.contains_key(part) => block.stage = Stage::Confirmed(requested_at),
                Stage::Confirmed(_) if has_regressed => block.stage = Stage::Proposed(now),
                Stage::Confirmed(at) if at <= requested_at => ended.push(*part),
                Stage::Confirmed(_) | Stage::Proposed(_) => {}
            }
        }
        for part in ended {
            self.withdraw(part, requested_at, false, "the keepers no longer list it");
        }
        for info in listed.into_values() {
            let decided_at = before(now, info.age);
            self.insert(info, decided_at, Stage::Confirmed(requested_at));
        }
    }

    /// Returns the blocks to propose to the keepers at `now`.
    pub(crate) fn proposals(&self, now: Instant) -> Vec<BlockedPart> {
        let is_due = |block: &&Block| matches!(block.stage, Stage::Proposed(at) if at <= now);
        let due = self.blocks.values().filter(is_due);
        due.map(|block| block.info_at(now)).collect()
    }

    /// Applies the keepers' reply to a proposal that was sent at `proposed_at`.
    pub(crate) fn record_reply(
        &mut self,
        part: u64,
        is_blocked: bool,
        proposed_at: Instant,
        now: Instant,
    ) {
        match self.blocks.get_mut(&part) {
            Some(block) if is_blocked => block.stage = Stage::Confirmed(now),
            Some(_) => self.withdraw(part, proposed_at, false, "it was taken back"),
            None => {}
        }
    }

    /// Returns the parts whose withdrawal the keepers are to be told.
    pub(crate) fn proposed_withdrawals(&self) -> Vec<u64> {
        let proposed = self.withdrawals.iter().filter(|(_, w)| w.is_proposed);
        proposed.map(|(part, _)| *part).collect()
    }

    /// Records that the keepers know the withdrawal of `part`.
    pub(crate) fn confirm_withdrawal(&mut self, part: u64) {
        if let Some(withdrawal) = self.withdrawals.get_mut(&part) {
            withdrawal.is_proposed = false;
        }
    }

    /// Returns what other gates are told at `now`.
    pub(crate) fn view(&self, now: Instant) -> ListView {
        let withdrawals = self.withdrawals.iter();
        ListView {
            blocked: self.blocks.values().map(|b| b.info_at(now)).collect(),
            withdrawn: withdrawals
                .map(|(part, w)| (*part, now.saturating_duration_since(w.at)))
                .collect(),
        }
    }

    /// Applies what another gate told.
    pub(crate) fn merge(&mut self, view: ListView, now: Instant) {
        for (part, age) in view.withdrawn {
            let at = before(now, age);
            let known = self.withdrawals.get(&part);
            if known.is_none_or(|known| known.at < at) {
                self.withdraw(part, at, false, "another gate knows that it was taken back");
            }
        }
        for info in view.blocked {
            self.hear(info, now);
        }
    }

    /// Removes blocks that have ended by `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_over = |block: &&Block| block.decided_at + BLOCK_DURATION <= now;
        let over = self.blocks.values().filter(is_over);
        let over: Vec<u64> = over.map(|block| block.info.part).collect();
        for part in over {
            self.remove(part, "its time is over");
        }
    }

    fn insert(&mut self, info: BlockedPart, decided_at: Instant, stage: Stage) {
        let part = info.part;
        let withdrawal = self.withdrawals.get(&part);
        if withdrawal.is_some_and(|w| decided_at <= w.at) {
            return;
        }
        if let Some(block) = self.blocks.get_mut(&part) {
            // The keepers' word replaces a proposal, but no proposal replaces theirs.
            if let Stage::Confirmed(_) = stage {
                block.stage = stage;
            }
            return;
        }
        self.changes.push(Change::Blocked(info.clone()));
        let block = Block {
            info,
            decided_at,
            stage,
        };
        self.blocks.insert(part, block);
        let oldest = self.blocks.values().min_by_key(|block| block.decided_at);
        let oldest = oldest.map(|block| block.info.part);
        if let Some(oldest) = oldest.filter(|_| self.blocks.len() > MAX_BLOCKED_PARTS) {
            self.remove(oldest, "too many parts are blocked");
        }
    }

    fn remove(&mut self, part: u64, why: &'static str) {
        if self.blocks.remove(&part).is_some() {
            self.changes.push(Change::Unblocked { part, why });
        }
    }
}

impl Block {
    fn info_at(&self, now: Instant) -> BlockedPart {
        BlockedPart {
            age: now.saturating_duration_since(self.decided_at),
            ..self.info.clone()
        }
    }
}

/// Returns the instant `age` before `now`, or `now` if the clock can't express it.
pub(crate) fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}

#[cfg(test)]
mod tests;
