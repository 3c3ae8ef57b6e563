//! Results of a stage and their release.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use link::{Channel, Peer};
use tokio::time::Instant;

use crate::{
    collector::Collector,
    messages::{StageReply, StageRequest, StoredResult},
};

/// Timeout of messages whose loss only wastes space until the results expire.
const BEST_EFFORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Results of one stage, released when dropped.
#[derive(Debug)]
pub(crate) struct Results {
    pub(super) stored: Vec<StoredResult>,
    pub(super) bytes: u64,
    /// When the endpoints may drop the results.
    pub(super) expires: Instant,
    pub(super) service: String,
    pub(super) collector: Collector,
    pub(super) via: Option<Peer>,
}

impl Results {
    /// Handles of the results.
    pub(crate) fn handles(&self) -> impl Iterator<Item = String> + '_ {
        self.stored.iter().map(|result| result.handle.clone())
    }

    /// Availability zones of the results, with their sizes in bytes.
    pub(crate) fn sizes_by_zone(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        self.stored
            .iter()
            .map(|result| (result.az.clone(), self.bytes))
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        let handles: Vec<String> = self.handles().collect();
        let service = self.service.clone();
        match self.via.take() {
            None => self.collector.release(&service, handles),
            Some(_) if handles.is_empty() => {}
            Some(peer) => send_best_effort(peer, StageRequest::Free(service, handles)),
        }
    }
}

/// Returns when the endpoint of the oldest result may drop it, if endpoints keep results for `keep`.
pub(super) fn expires_at(stored: &[StoredResult], keep: Duration, now: Instant) -> Instant {
    let ages = stored.iter().map(|result| result.age);
    now + keep.saturating_sub(ages.max().unwrap_or_default())
}

/// Bytes that each item fetches, or `None` if it needs no inputs.
pub(super) fn input_bytes(inputs: &[Arc<Results>]) -> Option<u64> {
    let sizes = inputs.iter().flat_map(|results| results.sizes_by_zone());
    let bytes: Vec<u64> = sizes.map(|(_, bytes)| bytes).collect();
    (!bytes.is_empty()).then(|| bytes.iter().sum())
}

/// Returns the availability zone that holds the most bytes of `inputs`.
pub(super) fn zone_with_most_bytes(inputs: &[Arc<Results>]) -> Option<String> {
    let mut zones: BTreeMap<String, u64> = BTreeMap::new();
    for (az, bytes) in inputs.iter().flat_map(|results| results.sizes_by_zone()) {
        *zones.entry(az).or_default() += bytes;
    }
    zones
        .into_iter()
        .max_by_key(|(_, bytes)| *bytes)
        .map(|(az, _)| az)
}

/// Sends a message whose loss only wastes space until the results expire.
pub(super) fn send_best_effort(peer: Peer, req: StageRequest) {
    tokio::spawn(async move {
        // Results that are not released expire by themselves.
        let _ = peer
            .call::<_, StageReply>(Channel::Stages, &req, BEST_EFFORT_TIMEOUT)
            .await;
    });
}

/// The inputs of a stage, held until the endpoints that need them have fetched them.
pub(super) struct Inputs {
    results: Vec<Arc<Results>>,
    were_required: bool,
}

impl Inputs {
    /// Holds `results`.
    pub(super) fn new(results: Vec<Arc<Results>>) -> Self {
        Self {
            were_required: !results.is_empty(),
            results,
        }
    }

    /// Returns true if there were inputs and they were released.
    pub(super) fn are_released(&self) -> bool {
        self.were_required && self.results.is_empty()
    }

    /// Waits for `done` and releases the inputs once they were `fetched`, so that they occupy space
    /// no longer than necessary.
    pub(super) async fn release_when_fetched<T>(
        &mut self,
        done: impl Future<Output = T>,
        fetched: impl Future<Output = bool>,
    ) -> T {
        tokio::pin!(done);
        if self.were_required && !self.are_released() {
            tokio::select! {
                result = &mut done => return result,
                is_fetched = fetched => if is_fetched { self.results.clear() },
            }
        }
        done.await
    }
}

#[cfg(test)]
mod tests;
