//! Blocks parts of prompts under which endpoints crash.
//!
//! Each gate tells crashes from broken connections ([`crashes`]) and tells the others what was in
//! flight there ([`reporter`]). A part that accounts for the crashes is blocked ([`list`]): all gates
//! refuse requests with it, and the keepers store it ([`proposals`]).
//! `docs/design/blocked-parts.md` gives the reasons for this design.

mod crashes;
mod list;
mod messages;
mod proposals;
mod reporter;

use std::{
    collections::{BTreeSet, HashMap},
    future::pending,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

pub(crate) use crashes::{CallEnd, CrashDetector};
use link::keeper::{BlockedPart, MAX_BLOCK_EVIDENCE};
use list::{BlockList, Change};
use logs::Event;
pub(crate) use proposals::PartSync;
pub(crate) use reporter::Reporter;
use routing::{CrashEvidence, Culprit};
use tokio::{sync::watch, time::Instant};

use crate::{
    incoming::{IncomingRequest, Prompt},
    metrics::Metrics,
};

/// A blocked part of a request's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Block {
    pub(crate) part: u64,
    /// Time until the block ends.
    pub(crate) remaining: Duration,
}

impl Block {
    /// The event for a request that is refused because of the block.
    pub(crate) fn refused_event(&self) -> Event {
        Event::PartRefused {
            part: part_name(self.part),
            left_ms: self.remaining.as_millis() as u64,
        }
    }
}

/// Evidence and blocked parts of this gate. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct BlockedParts {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    metrics: Metrics,
    state: Mutex<State>,
    /// True once a list of the keepers or of another gate is known.
    is_loaded: AtomicBool,
    /// The blocked parts, with the times at which their blocks end.
    in_force: RwLock<Arc<HashMap<u64, Instant>>>,
    /// Counts changes of the list.
    updates: watch::Sender<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) evidence: CrashEvidence,
    pub(crate) list: BlockList,
    /// Parts about which other gates are being asked.
    deciding: BTreeSet<u64>,
}

impl State {
    /// Records a good response to a request with `parts`, which ends the block of each of them.
    pub(crate) fn record_good(&mut self, parts: &[u64], now: Instant) {
        self.evidence.record_good(parts, now);
        for part in parts {
            if !self.list.contains(*part) {
                continue;
            }
            let why = "an endpoint answered a request with it";
            self.list.withdraw(*part, now, true, why);
        }
    }

    /// Blocks `culprit`, decided by the gate `source`.
    pub(crate) fn block(&mut self, culprit: Culprit, service: &str, source: &str, now: Instant) {
        let first = |names: Vec<String>| names.into_iter().take(MAX_BLOCK_EVIDENCE).collect();
        let block = BlockedPart {
            part: culprit.part,
            service: service.to_owned(),
            crashes: culprit.crashes,
            endpoints: first(culprit.endpoints),
            requests: first(culprit.requests),
            source: source.to_owned(),
            age: Duration::ZERO,
        };
        self.list.decide(block, now);
    }

    /// Applies the changes of the list to the evidence; returns them.
    pub(crate) fn apply_changes(&mut self) -> Vec<Change> {
        let changes = self.list.take_changes();
        for change in &changes {
            match change {
                Change::Blocked(block) => self.evidence.explain(block.part),
                Change::Unblocked { part, .. } => self.evidence.forgive(*part),
            }
        }
        changes
    }
}

impl BlockedParts {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            shared: Arc::new(Shared {
                metrics,
                state: Mutex::default(),
                is_loaded: AtomicBool::new(false),
                in_force: RwLock::default(),
                updates: watch::Sender::new(0),
            }),
        }
    }

    /// Runs `f` on the state and puts the changes that it made in force.
    pub(crate) fn update<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let state = &self.shared.state;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut state);
        let changes = state.apply_changes();
        if changes.is_empty() {
            return result;
        }
        // Published under the lock, so that no older list replaces a newer one.
        let in_force = Arc::new(state.list.in_force());
        self.shared.metrics.set_blocked_parts(in_force.len());
        let mut published = self
            .shared
            .in_force
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *published = in_force;
        drop((published, state));
        for change in changes {
            logs::write(None, &change_event(change));
        }
        self.shared.updates.send_modify(|count| *count += 1);
        result
    }

    /// Returns the block of the first blocked part of the request's prompt. The last part never
    /// counts, since no other request has it.
    pub(crate) fn block_of(&self, req: &IncomingRequest) -> Option<Block> {
        let prompt = req.prompt.as_ref()?;
        let in_force = &self.shared.in_force;
        let in_force = Arc::clone(&in_force.read().unwrap_or_else(PoisonError::into_inner));
        if in_force.is_empty() {
            return None;
        }
        let now = Instant::now();
        let mut parts = prompt.shareable_parts().iter();
        parts.find_map(|part| {
            let until = in_force.get(&part.id_hash).filter(|until| **until > now)?;
            Some(Block {
                part: part.id_hash,
                remaining: *until - now,
            })
        })
    }

    /// Waits until a part of the request's prompt is blocked.
    pub(crate) async fn await_block(&self, req: &IncomingRequest) -> Block {
        let mut updates = self.updates();
        loop {
            if let Some(block) = self.block_of(req) {
                return block;
            }
            if updates.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    /// Returns the event for a request that is not repeated, if a part of its prompt is blocked or
    /// crashes speak against it.
    pub(crate) fn suspected_event(&self, req: &IncomingRequest, service: &str) -> Option<Event> {
        let parts = shareable_ids(req);
        if parts.is_empty() {
            return None;
        }
        let blocked = self.block_of(req).map(|block| block.part);
        let part = blocked.or_else(|| {
            let now = Instant::now();
            self.update(|state| {
                let is_suspect = |part: &u64| state.evidence.is_suspect(&[*part], now);
                parts.into_iter().find(is_suspect)
            })
        })?;
        Some(Event::PartSuspected {
            part: part_name(part),
            service: service.to_owned(),
        })
    }

    /// Records a good response to `req`.
    pub(crate) fn record_good(&self, req: &IncomingRequest) {
        self.record_good_parts(&shareable_ids(req));
    }

    /// Records a good response to a request with `parts`.
    fn record_good_parts(&self, parts: &[u64]) {
        if !parts.is_empty() {
            self.update(|state| state.record_good(parts, Instant::now()));
        }
    }

    /// Returns true if a part of the request's prompt may be blocked without this gate knowing, since
    /// it has just started and knows no list yet.
    pub(crate) fn is_unknown(&self, req: &IncomingRequest) -> bool {
        let has_parts = || {
            req.prompt
                .as_ref()
                .is_some_and(|p| !p.shareable_parts().is_empty())
        };
        !self.shared.is_loaded.load(Ordering::Relaxed) && has_parts()
    }

    /// Records that the list of the keepers or of another gate has been applied.
    pub(crate) fn set_loaded(&self) {
        self.shared.is_loaded.store(true, Ordering::Relaxed);
    }

    /// Version of the keepers' list that was applied last.
    pub(crate) fn version(&self) -> u64 {
        self.update(|state| state.list.version())
    }

    /// Applies the keepers' list, which was requested at `requested_at`.
    pub(crate) fn apply_keepers_list(
        &self,
        version: u64,
        parts: Vec<BlockedPart>,
        requested_at: Instant,
    ) {
        self.update(|state| {
            let now = Instant::now();
            let list = &mut state.list;
            list.apply_keepers_list(version, parts, requested_at, now);
        });
    }

    /// Changes whenever a part is blocked or no longer blocked.
    fn updates(&self) -> watch::Receiver<u64> {
        self.shared.updates.subscribe()
    }
}

/// Returns the hashes of the parts of the request's prompt that other requests may have as well.
fn shareable_ids(req: &IncomingRequest) -> Vec<u64> {
    let parts = req.prompt.iter().flat_map(Prompt::shareable_parts);
    parts.map(|part| part.id_hash).collect()
}

fn part_name(part: u64) -> String {
    format!("{part:016x}")
}

fn change_event(change: Change) -> Event {
    match change {
        Change::Blocked(block) => Event::PartBlocked {
            part: part_name(block.part),
            service: block.service,
            crashes: block.crashes,
            endpoints: block.endpoints,
            requests: block.requests,
            source: block.source,
        },
        Change::Unblocked { part, why } => Event::PartUnblocked {
            part: part_name(part),
            why: why.to_owned(),
        },
    }
}

#[cfg(test)]
mod tests;
