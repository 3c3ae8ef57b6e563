//! What endpoints of a batch pool do and hold, as far as a queue counts it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::{Job, NextCall, Queue};
use crate::{
    batch_outcome::{BatchOutcome, ItemFailure},
    latency::Slowness,
};

/// Time beyond which a result that was not given up is gone for certain.
const KEEP_MARGIN: Duration = Duration::from_millis(250);
/// How long an endpoint is thought to keep more than was counted, at first and at max_items.
const MIN_UNTRACKED_TTL: Duration = Duration::from_millis(120);
const MAX_UNTRACKED_TTL: Duration = Duration::from_millis(960);
/// Pause before a call to an endpoint that had room for no result of the last one, unless a result
/// is given up there before.
const NO_CAPACITY_DELAY: Duration = Duration::from_millis(25);
/// A call that takes less than this times what calls take began as it came.
const PROMPT_FACTOR: f64 = 1.2;
/// Share of items without free_bytes above which calls are not trusted to find room for all.
pub(super) const MAX_CAPACITY_MISS_SHARE: f64 = 0.01;
/// Time over which an item loses half of its weight in that share.
pub(super) const CAPACITY_MISS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Calls in flight at one endpoint, and the results that it holds.
#[derive(Debug)]
pub(super) struct EndpointLoad {
    pub(super) calls: u32,
    /// Bytes of results that it keeps, those of calls in flight included.
    pub(super) held_bytes: u64,
    pub(super) slowness: Slowness,
    /// Bytes that it keeps beyond this count, and until when that is believed.
    pub(super) untracked_bytes: u64,
    pub(super) untracked_until: Option<Instant>,
    /// For how long it is believed the next time.
    pub(super) untracked_ttl: Duration,
    /// Whether its last call took no longer than calls take, and it had room for all results.
    pub(super) starts_promptly: bool,
    /// Until when it gets no call, since it had room for no result of the last one.
    pub(super) full_until: Option<Instant>,
}

impl EndpointLoad {
    pub(super) fn new() -> Self {
        Self {
            calls: 0,
            held_bytes: 0,
            slowness: Slowness::new(),
            untracked_bytes: 0,
            untracked_until: None,
            untracked_ttl: MIN_UNTRACKED_TTL,
            starts_promptly: false,
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
    /// Whether it takes up no free_bytes any more; it is remembered to know a late copy of its answer.
    is_released: bool,
}

impl Queue {
    /// Bytes of results for which `endpoint` has free_bytes.
    pub(super) fn free_bytes(&self, endpoint: &str) -> u64 {
        let load = self.loads.get(endpoint);
        let held = load.map_or(0, |load| load.held_bytes + load.untracked_bytes);
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
        load.held_bytes = load.held_bytes.saturating_sub(next.bytes);
        if let BatchOutcome::Answered(results) = outcome {
            for result in results {
                let is_capacity_miss = *result == Err(ItemFailure::NoCapacity);
                self.capacity_misses
                    .add(f64::from(u8::from(is_capacity_miss)), now);
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
        load.starts_promptly = took_ms < expected * PROMPT_FACTOR;
        // Calls of another gate that collects as well may fill the endpoint for longer.
        load.untracked_ttl = match results.contains(&Err(ItemFailure::NoCapacity)) {
            true => (load.untracked_ttl * 2).min(MAX_UNTRACKED_TTL),
            false => MIN_UNTRACKED_TTL,
        };
        let has_any = results.iter().any(|r| *r != Err(ItemFailure::NoCapacity));
        load.full_until = (!has_any).then(|| now + NO_CAPACITY_DELAY);
        for (job, handle) in next.jobs.iter().zip(results) {
            let Ok(handle) = handle else { continue };
            let bytes = job.ticket.submission.result_bytes;
            load.held_bytes += bytes;
            let kept = HeldResult {
                endpoint: name.clone(),
                address: next.target.address,
                bytes,
                of: job.identity(),
                is_released: false,
            };
            self.held_results.insert(handle.clone(), kept);
            self.expiry
                .push_back((now + self.batch.keep + KEEP_MARGIN, handle.clone()));
        }
    }

    /// Gives results up; whether an order to do so has yet to be sent. They take up free_bytes until
    /// their endpoint has the order.
    pub(crate) fn queue_release(&mut self, handles: &[String]) -> bool {
        let is_first = self.releases.is_empty();
        for handle in handles {
            if let Some(kept) = self
                .held_results
                .get(handle)
                .filter(|kept| !kept.is_released)
            {
                let releases = self.releases.entry(kept.address).or_default();
                releases.push(handle.clone());
            }
        }
        is_first && !self.releases.is_empty()
    }

    /// What was given up since the last order, by address.
    pub(crate) fn take_releases(&mut self) -> HashMap<SocketAddr, Vec<String>> {
        std::mem::take(&mut self.releases)
    }

    /// The endpoint had no room for a result although some was left by this count: what else it
    /// keeps is taken to go soon.
    pub(crate) fn record_no_capacity(&mut self, endpoint: &str, bytes: u64, now: Instant) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.untracked_bytes += bytes;
            load.untracked_until = Some(now + load.untracked_ttl);
        }
    }

    /// Whether `results` of `jobs` are a copy of an earlier answer: every result in it was one of another
    /// item before. An answer to a batched call names no request by which a late copy of another one
    /// would show; an item that is made once more may well have the name that it had.
    pub(crate) fn is_stale_copy(
        &self,
        jobs: &[Job],
        results: &[Result<String, ItemFailure>],
    ) -> bool {
        let made = jobs.iter().zip(results);
        let mut made = made
            .filter_map(|(job, result)| Some((job, result.as_ref().ok()?)))
            .peekable();
        let is_of_another = |(job, handle): (&Job, &String)| {
            let held = self.held_results.get(handle);
            held.is_some_and(|held| held.of != job.identity())
        };
        made.peek().is_some() && made.all(is_of_another)
    }

    /// A result takes up no free_bytes any more.
    pub(crate) fn release(&mut self, handle: &str) {
        let Some(kept) = self
            .held_results
            .get_mut(handle)
            .filter(|kept| !kept.is_released)
        else {
            return;
        };
        kept.is_released = true;
        if let Some(load) = self.loads.get_mut(&kept.endpoint) {
            load.held_bytes = load.held_bytes.saturating_sub(kept.bytes);
            load.full_until = None;
        }
    }

    /// Forgets results that are gone for certain.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, handle)) = self.expiry.pop_front() {
                self.release(&handle);
                self.held_results.remove(&handle);
            }
        }
    }
}
