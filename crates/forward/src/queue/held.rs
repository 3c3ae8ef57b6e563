//! What endpoints of a batch pool do and hold, as far as a queue counts it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::{Job, NextCall, Queue};
use crate::{
    batch_outcome::{BatchOutcome, ItemFailure},
    pace::Slowness,
};

/// Time beyond which a result that was not given up is gone for certain.
const KEEP_MARGIN: Duration = Duration::from_millis(250);
/// How long an endpoint is thought to keep more than was counted, at first and at most.
const HIDDEN: Duration = Duration::from_millis(120);
const MAX_HIDDEN: Duration = Duration::from_millis(960);
/// Pause before a call to an endpoint that had room for no result of the last one, unless a result
/// is given up there before.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(25);
/// A call that takes less than this times what calls take began as it came.
const PROMPT: f64 = 1.2;
/// Share of items without room above which calls are not trusted to find room for all.
pub(super) const ROOMLESS: f64 = 0.01;
/// Time over which an item loses half of its weight in that share.
pub(super) const ROOM_HALF_LIFE: Duration = Duration::from_secs(2);

/// Calls in flight at one endpoint, and the results that it holds.
#[derive(Debug)]
pub(super) struct EndpointLoad {
    pub(super) calls: u32,
    /// Bytes of results that it keeps, those of calls in flight included.
    pub(super) held: u64,
    pub(super) slowness: Slowness,
    /// Bytes that it keeps beyond this count, and until when that is believed.
    pub(super) hidden: u64,
    pub(super) hidden_until: Option<Instant>,
    /// For how long it is believed the next time.
    pub(super) hidden_for: Duration,
    /// Whether its last call took no longer than calls take, and it had room for all results.
    pub(super) is_prompt: bool,
    /// Until when it gets no call, since it had room for no result of the last one.
    pub(super) full_until: Option<Instant>,
}

impl EndpointLoad {
    pub(super) fn new() -> Self {
        Self {
            calls: 0,
            held: 0,
            slowness: Slowness::new(),
            hidden: 0,
            hidden_until: None,
            hidden_for: HIDDEN,
            is_prompt: false,
            full_until: None,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct HeldResult {
    endpoint: String,
    address: SocketAddr,
    bytes: u64,
    /// The identity of the item that it was made for.
    pub(super) of: u64,
    /// Whether it takes up no room any more; it is remembered to know a late copy of its answer.
    is_released: bool,
}

impl Queue {
    /// Bytes of results for which `endpoint` has room.
    pub(super) fn room(&self, endpoint: &str) -> u64 {
        let load = self.loads.get(endpoint);
        let held = load.map_or(0, |load| load.held + load.hidden);
        self.batch.room_bytes.saturating_sub(held)
    }

    /// Notes how a call outcome.
    pub(crate) fn record_outcome(
        &mut self,
        next: &NextCall,
        took: Duration,
        outcome: &BatchOutcome,
        now: Instant,
    ) {
        let expected = self.call_time(next.jobs.len() as u32).as_secs_f64() * 1e3;
        let name = &next.target.name;
        let load = self
            .loads
            .entry(name.clone())
            .or_insert_with(EndpointLoad::new);
        load.calls = load.calls.saturating_sub(1);
        load.held = load.held.saturating_sub(next.bytes);
        if let BatchOutcome::Answered(results) = outcome {
            for result in results {
                let is_roomless = *result == Err(ItemFailure::NoCapacity);
                self.roomless.add(f64::from(u8::from(is_roomless)), now);
            }
        }
        let results = match outcome {
            BatchOutcome::Answered(results) => results,
            BatchOutcome::Failed(_) => {
                load.slowness
                    .observe(expected, took.as_secs_f64() * 1e3, now);
                return;
            }
            BatchOutcome::NotRun
            | BatchOutcome::Unsent(_)
            | BatchOutcome::Unreached(_)
            | BatchOutcome::Misplaced => return,
        };
        let took_ms = took.as_secs_f64() * 1e3;
        load.slowness.observe(expected, took_ms, now);
        load.is_prompt = took_ms < expected * PROMPT;
        // Calls of another gate that collects as well may fill the endpoint for longer.
        load.hidden_for = match results.contains(&Err(ItemFailure::NoCapacity)) {
            true => (load.hidden_for * 2).min(MAX_HIDDEN),
            false => HIDDEN,
        };
        let has_any = results.iter().any(|r| *r != Err(ItemFailure::NoCapacity));
        load.full_until = (!has_any).then(|| now + NO_ROOM_PAUSE);
        for (job, handle) in next.jobs.iter().zip(results) {
            let Ok(handle) = handle else { continue };
            let bytes = job.ticket.submission.result_bytes;
            load.held += bytes;
            let kept = HeldResult {
                endpoint: name.clone(),
                address: next.target.address,
                bytes,
                of: job.identity(),
                is_released: false,
            };
            self.held.insert(handle.clone(), kept);
            self.expiry
                .push_back((now + self.batch.keep + KEEP_MARGIN, handle.clone()));
        }
    }

    /// Gives results up; whether an order to do so has yet to be sent. They take up room until
    /// their endpoint has the order.
    pub(crate) fn free(&mut self, handles: &[String]) -> bool {
        let is_first = self.freed.is_empty();
        for handle in handles {
            if let Some(kept) = self.held.get(handle).filter(|kept| !kept.is_released) {
                let freed = self.freed.entry(kept.address).or_default();
                freed.push(handle.clone());
            }
        }
        is_first && !self.freed.is_empty()
    }

    /// What was given up since the last order, by address.
    pub(crate) fn take_freed(&mut self) -> HashMap<SocketAddr, Vec<String>> {
        std::mem::take(&mut self.freed)
    }

    /// The endpoint had no room for a result although some was left by this count: what else it
    /// keeps is taken to go soon.
    pub(crate) fn no_room(&mut self, endpoint: &str, bytes: u64, now: Instant) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.hidden += bytes;
            load.hidden_until = Some(now + load.hidden_for);
        }
    }

    /// Whether `results` of `jobs` are a copy of an earlier answer: every result in it was one of another
    /// item before. An answer to a batched call names no request by which a late copy of another one
    /// would show; an item that is made once more may well have the name that it had.
    pub(crate) fn is_repeated(
        &self,
        jobs: &[Job],
        results: &[Result<String, ItemFailure>],
    ) -> bool {
        let made = jobs.iter().zip(results);
        let mut made = made
            .filter_map(|(job, result)| Some((job, result.as_ref().ok()?)))
            .peekable();
        let is_of_another = |(job, handle): (&Job, &String)| {
            let held = self.held.get(handle);
            held.is_some_and(|held| held.of != job.identity())
        };
        made.peek().is_some() && made.all(is_of_another)
    }

    /// A result takes up no room any more.
    pub(crate) fn release(&mut self, handle: &str) {
        let Some(kept) = self.held.get_mut(handle).filter(|kept| !kept.is_released) else {
            return;
        };
        kept.is_released = true;
        if let Some(load) = self.loads.get_mut(&kept.endpoint) {
            load.held = load.held.saturating_sub(kept.bytes);
            load.full_until = None;
        }
    }

    /// Forgets results that are gone for certain.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, handle)) = self.expiry.pop_front() {
                self.release(&handle);
                self.held.remove(&handle);
            }
        }
    }
}
