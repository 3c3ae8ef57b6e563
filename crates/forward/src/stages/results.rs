//! Results of a stage, and when they are given up.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use link::{Channel, Peer};
use tokio::time::Instant;

use crate::{
    collector::Collector,
    messages::{StageReply, StageRequest, StoredResult},
};

/// Bound on messages whose loss costs nothing but room.
const BEST_EFFORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Results of one stage; given up when dropped.
#[derive(Debug)]
pub(crate) struct Results {
    pub(super) made: Vec<StoredResult>,
    pub(super) bytes: u64,
    /// When its endpoints may have given them up by themselves.
    pub(super) expires: Instant,
    pub(super) service: String,
    pub(super) collector: Collector,
    pub(super) via: Option<Peer>,
}

impl Results {
    /// The handles.
    pub(crate) fn handles(&self) -> impl Iterator<Item = String> + '_ {
        self.made.iter().map(|made| made.handle.clone())
    }

    /// Where the results are, with their sizes.
    pub(crate) fn places(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        self.made.iter().map(|made| (made.az.clone(), self.bytes))
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

/// Bytes that each item fetches; `None` where it needs no inputs.
pub(super) fn input_bytes(inputs: &[Arc<Results>]) -> Option<u64> {
    let places = inputs.iter().flat_map(|results| results.places());
    let bytes: Vec<u64> = places.map(|(_, bytes)| bytes).collect();
    (!bytes.is_empty()).then(|| bytes.iter().sum())
}

/// The availability zone that holds most bytes of `inputs`.
pub(super) fn zone_with_most_bytes(inputs: &[Arc<Results>]) -> Option<String> {
    let mut zones: BTreeMap<String, u64> = BTreeMap::new();
    for (az, bytes) in inputs.iter().flat_map(|results| results.places()) {
        *zones.entry(az).or_default() += bytes;
    }
    zones
        .into_iter()
        .max_by_key(|(_, bytes)| *bytes)
        .map(|(az, _)| az)
}

/// Sends a message whose loss costs nothing but room.
pub(super) fn send_best_effort(peer: Peer, req: StageRequest) {
    tokio::spawn(async move {
        // What is not given up expires by itself.
        let _ = peer
            .call::<_, StageReply>(Channel::Stages, &req, BEST_EFFORT_TIMEOUT)
            .await;
    });
}

/// The inputs of a stage, results until the endpoints that need them have them.
pub(super) struct Inputs {
    results: Vec<Arc<Results>>,
    were_required: bool,
}

impl Inputs {
    /// Those that are results.
    pub(super) fn new(results: Vec<Arc<Results>>) -> Self {
        Self {
            were_required: !results.is_empty(),
            results,
        }
    }

    /// Whether there were any and they are given up.
    pub(super) fn are_released(&self) -> bool {
        self.were_required && self.results.is_empty()
    }

    /// Waits for `done`, and gives the inputs up once they were `fetched`: their room is taken up no
    /// longer than it has to be.
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
