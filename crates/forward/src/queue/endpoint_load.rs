//! Load of the endpoints of a batch pool, as tracked by a queue.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::{Job, NextCall, Queue};
use crate::{
    batch_outcome::{BatchOutcome, ItemFailure},
    latency::Slowness,
};

/// Time after its declared retention at which a result that was not released has certainly expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(250);
/// How long untracked bytes are assumed to remain at an endpoint, initially and at most.
const MIN_UNTRACKED_TTL: Duration = Duration::from_millis(120);
const MAX_UNTRACKED_TTL: Duration = Duration::from_millis(960);
/// Delay before the next call to an endpoint that had no free space for any result of the last
/// call, unless a result is released there earlier.
const NO_CAPACITY_DELAY: Duration = Duration::from_millis(25);
/// A call that takes less than this multiple of its expected time started without waiting.
const PROMPT_FACTOR: f64 = 1.2;
/// Share of items without free space above which calls are not trusted to find space for all
/// results.
pub(super) const MAX_CAPACITY_MISS_SHARE: f64 = 0.01;
/// Time in which an item loses half of its weight in that share.
pub(super) const CAPACITY_MISS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Calls in flight at one endpoint, and the results that it holds.
#[derive(Debug)]
pub(super) struct EndpointLoad {
    pub(super) calls: u32,
    /// Bytes of results held there, including those expected from calls in flight.
    pub(super) held_bytes: u64,
    pub(super) slowness: Slowness,
    /// Bytes held there in addition to the tracked ones, and until when they are assumed to be.
    pub(super) untracked_bytes: u64,
    pub(super) untracked_until: Option<Instant>,
    /// How long untracked bytes are assumed to remain the next time.
    pub(super) untracked_ttl: Duration,
    /// True if the last call started without waiting.
    pub(super) starts_promptly: bool,
    /// Calls wait until this time because the last call found no free space at all.
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
    /// Identity of the item that the result belongs to.
    pub(super) item_identity: u64,
    /// True once the result occupies no space. The entry is kept to detect a late copy of its
    /// response.
    is_released: bool,
}

impl Queue {
    /// Returns the free space for results at `endpoint` in bytes.
    pub(super) fn free_bytes(&self, endpoint: &str) -> u64 {
        let load = self.loads.get(endpoint);
        let held = load.map_or(0, |load| load.held_bytes + load.untracked_bytes);
        self.batch.result_capacity_bytes.saturating_sub(held)
    }

    /// Records the outcome of a call.
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
        // Calls of another gate that collects as well may occupy the endpoint for longer.
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
            let held_result = HeldResult {
                endpoint: name.clone(),
                address: next.target.address,
                bytes,
                item_identity: job.identity(),
                is_released: false,
            };
            self.held_results.insert(handle.clone(), held_result);
            self.expiry.push_back((
                now + self.batch.result_retention + EXPIRY_MARGIN,
                handle.clone(),
            ));
        }
    }

    /// Queues results for release. Returns true if a release request has to be scheduled. The
    /// results count as occupying space until their endpoint has received the request.
    pub(crate) fn queue_release(&mut self, handles: &[String]) -> bool {
        let is_first = self.releases.is_empty();
        for handle in handles {
            if let Some(held_result) = self
                .held_results
                .get(handle)
                .filter(|held_result| !held_result.is_released)
            {
                let releases = self.releases.entry(held_result.address).or_default();
                releases.push(handle.clone());
            }
        }
        is_first && !self.releases.is_empty()
    }

    /// Takes the handles queued for release, by address.
    pub(crate) fn take_releases(&mut self) -> HashMap<SocketAddr, Vec<String>> {
        std::mem::take(&mut self.releases)
    }

    /// Keeps `handles` until a permit for their release is available. Returns true if none were kept
    /// for this address before.
    pub(crate) fn defer_release(&mut self, address: SocketAddr, handles: Vec<String>) -> bool {
        let deferred = self.deferred_releases.entry(address).or_default();
        let is_first = deferred.is_empty();
        deferred.extend(handles);
        is_first && !deferred.is_empty()
    }

    /// Takes the handles whose release waits for a permit.
    pub(crate) fn take_deferred(&mut self, address: SocketAddr) -> Vec<String> {
        self.deferred_releases.remove(&address).unwrap_or_default()
    }

    /// How long an endpoint keeps results that are not released.
    pub(crate) fn result_retention(&self) -> Duration {
        self.batch.result_retention
    }

    /// Records that the endpoint had no free space although the tracked bytes left some. The
    /// untracked bytes are assumed to be freed soon.
    pub(crate) fn record_no_capacity(&mut self, endpoint: &str, bytes: u64, now: Instant) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.untracked_bytes += bytes;
            load.untracked_until = Some(now + load.untracked_ttl);
        }
    }

    /// Returns true if `results` for `jobs` are a copy of an earlier response: every result in it
    /// belonged to another item before. A response to a batched call names no request, so an endpoint
    /// that confuses its calls could not be detected otherwise. An item that is produced again may have
    /// the same handle as before.
    pub(crate) fn is_stale_copy(
        &self,
        jobs: &[Job],
        results: &[Result<String, ItemFailure>],
    ) -> bool {
        let produced = jobs.iter().zip(results);
        let mut produced = produced
            .filter_map(|(job, result)| Some((job, result.as_ref().ok()?)))
            .peekable();
        let is_of_another = |(job, handle): (&Job, &String)| {
            let held = self.held_results.get(handle);
            held.is_some_and(|held| held.item_identity != job.identity())
        };
        produced.peek().is_some() && produced.all(is_of_another)
    }

    /// Marks a result as occupying no space.
    pub(crate) fn release(&mut self, handle: &str) {
        let Some(held_result) = self
            .held_results
            .get_mut(handle)
            .filter(|held_result| !held_result.is_released)
        else {
            return;
        };
        held_result.is_released = true;
        if let Some(load) = self.loads.get_mut(&held_result.endpoint) {
            load.held_bytes = load.held_bytes.saturating_sub(held_result.bytes);
            load.full_until = None;
        }
    }

    /// Removes results that have certainly expired.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, handle)) = self.expiry.pop_front() {
                self.release(&handle);
                self.held_results.remove(&handle);
            }
        }
    }
}
