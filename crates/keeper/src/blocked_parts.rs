//! The replicated table of blocked parts of prompts, and of the blocks that operators took back.
//!
//! Times are those of the entries' stamps. A decision to block counts from when the gate made it,
//! so that one that arrives late does not undo an operator's later decision.

use std::{collections::BTreeMap, time::Duration};

use derives::record;
use link::keeper::{BlockedPart, MAX_BLOCKED_PARTS};
use logs::Event;
use operators::format_part;

/// Time after the last decision to block a part at which the block ends.
pub const BLOCK_DURATION: Duration = Duration::from_hours(24);
/// Maximum number of parts for which the time of the last unblock is kept.
pub const MAX_UNBLOCKED_PARTS: usize = 64;

/// A blocked part in the table, where its key is the hash of the part's id.
#[record]
#[derive(Eq)]
pub struct Block {
    /// Name of the service whose endpoints crashed.
    pub service: String,
    /// Number of crashes known at the first decision.
    pub crashes: u32,
    /// Names of endpoints that crashed.
    pub endpoints: Vec<String>,
    /// Ids of requests under which they crashed.
    pub requests: Vec<String>,
    /// VM of the gate that decided first.
    pub source: String,
    /// Time of the first decision, in milliseconds since the Unix epoch.
    pub decided_ms: u64,
    /// Time of the last decision, from which the block's duration counts.
    pub renewed_ms: u64,
}

impl Block {
    fn has_expired(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.renewed_ms) >= duration_ms()
    }
}

/// An operator's decision to unblock a part.
#[record]
#[derive(Eq)]
pub struct Unblock {
    /// Name of the operator.
    pub author: String,
    /// Why the block was taken back.
    pub reason: String,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The table; deterministic for the same calls.
#[record]
#[derive(Default, Eq)]
pub struct BlockedParts {
    version: u64,
    blocks: BTreeMap<u64, Block>,
    unblocks: BTreeMap<u64, Unblock>,
}

impl BlockedParts {
    /// Returns the version, which increases with each change of the list of blocked parts.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the blocked parts by part.
    pub fn blocks(&self) -> &BTreeMap<u64, Block> {
        &self.blocks
    }

    /// Returns the last unblock of the parts that were unblocked most recently, by part.
    pub fn unblocks(&self) -> &BTreeMap<u64, Unblock> {
        &self.unblocks
    }

    /// Returns true if a block in the table has expired by `now_ms`.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        let mut blocks = self.blocks.values();
        blocks.any(|block| block.has_expired(now_ms))
    }

    /// Ends the blocks that have expired by `now_ms`; appends the changes of the list to `events`.
    pub fn advance(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        let expired = self
            .blocks
            .extract_if(.., |_, block| block.has_expired(now_ms));
        for (part, block) in expired {
            self.version += 1;
            events.push(ended(part, &block, "expired"));
        }
    }

    /// Returns true if the part is blocked from now on; false if it has been unblocked since the
    /// decision or the block would have expired. A part that is blocked already keeps its record,
    /// and its duration is renewed.
    pub fn block(&mut self, now_ms: u64, req: &BlockedPart, events: &mut Vec<Event>) -> bool {
        let age_ms = u64::try_from(req.age.as_millis()).unwrap_or(u64::MAX);
        let decided_ms = now_ms.saturating_sub(age_ms);
        let unblock = self.unblocks.get(&req.part);
        match self.blocks.get_mut(&req.part) {
            Some(block) => {
                block.renewed_ms = block.renewed_ms.max(decided_ms);
                return true;
            }
            None if age_ms >= duration_ms() => return false,
            None if unblock.is_some_and(|unblock| decided_ms <= unblock.at_ms) => return false,
            None => {}
        }
        self.make_room(events);
        let block = Block {
            service: req.service.clone(),
            crashes: req.crashes,
            endpoints: req.endpoints.clone(),
            requests: req.requests.clone(),
            source: req.source.clone(),
            decided_ms,
            renewed_ms: decided_ms,
        };
        events.push(begun(req));
        self.blocks.insert(req.part, block);
        self.version += 1;
        true
    }

    /// Ends the block that is the first to expire if the table is full.
    fn make_room(&mut self, events: &mut Vec<Event>) {
        if self.blocks.len() < MAX_BLOCKED_PARTS {
            return;
        }
        let oldest = self.blocks.iter().min_by_key(|(_, b)| b.renewed_ms);
        let oldest = oldest.map(|(part, _)| *part);
        if let Some((part, block)) = oldest.and_then(|part| self.blocks.remove_entry(&part)) {
            self.version += 1;
            events.push(ended(part, &block, "the list is full"));
        }
    }

    /// Unblocks a part and returns true if it was blocked. Decisions to block it that were made
    /// before, known or not, no longer count.
    pub fn unblock(
        &mut self,
        now_ms: u64,
        part: u64,
        author: &str,
        reason: &str,
        events: &mut Vec<Event>,
    ) -> bool {
        let removed = self.blocks.remove(&part);
        self.version += u64::from(removed.is_some());
        let unblock = Unblock {
            author: author.to_owned(),
            reason: reason.to_owned(),
            at_ms: now_ms,
        };
        events.push(Event::PartBlockChanged {
            part: format_part(part),
            is_blocked: false,
            service: removed.as_ref().map(|block| block.service.clone()),
            author: Some(author.to_owned()),
            why: reason.to_owned(),
        });
        self.unblocks.insert(part, unblock);
        if self.unblocks.len() > MAX_UNBLOCKED_PARTS {
            let others = self.unblocks.iter().filter(|(other, _)| **other != part);
            let oldest = others.min_by_key(|(_, u)| u.at_ms).map(|(part, _)| *part);
            oldest.and_then(|part| self.unblocks.remove(&part));
        }
        removed.is_some()
    }

    /// Returns the blocked parts with their ages at `now_ms`.
    pub fn list(&self, now_ms: u64) -> Vec<BlockedPart> {
        let blocks = self.blocks.iter().map(|(part, block)| BlockedPart {
            part: *part,
            service: block.service.clone(),
            crashes: block.crashes,
            endpoints: block.endpoints.clone(),
            requests: block.requests.clone(),
            source: block.source.clone(),
            age: Duration::from_millis(now_ms.saturating_sub(block.decided_ms)),
        });
        blocks.collect()
    }
}

fn duration_ms() -> u64 {
    BLOCK_DURATION.as_millis() as u64
}

fn begun(req: &BlockedPart) -> Event {
    Event::PartBlockChanged {
        part: format_part(req.part),
        is_blocked: true,
        service: Some(req.service.clone()),
        author: Some(req.source.clone()),
        why: format!("{} crashes: {}", req.crashes, req.endpoints.join(" ")),
    }
}

fn ended(part: u64, block: &Block, why: &str) -> Event {
    Event::PartBlockChanged {
        part: format_part(part),
        is_blocked: false,
        service: Some(block.service.clone()),
        author: None,
        why: why.to_owned(),
    }
}
