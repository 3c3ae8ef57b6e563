//! Compares call counts from gates between the new and the old versions of a rollout.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use derives::value;
use futures_util::future::join_all;
use link::{
    Channel, Peer,
    calls::{CallCounts, CallsReply, CallsRequest, MAX_SERVICES, ReleaseCalls},
};
use tokio::time::{MissedTickBehavior, interval};
use uuid::Uuid;

use crate::{
    attainment::{Regression, RegressionDetector},
    reconcile::Reconciler,
    tracker::Release,
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of gates in the availability zone that are polled for counts.
const MAX_POLLED_GATES: usize = 8;

/// The gate and the release to which counts belong.
#[value]
struct Source {
    gate: String,
    release: Release,
}

/// Call counts of the running rollouts, used to detect regressions.
#[derive(Debug, Default)]
pub struct RolloutComparisons {
    rollouts: BTreeMap<String, Release>,
    detectors: BTreeMap<String, RegressionDetector>,
    counter_ids: BTreeMap<String, Uuid>,
    last_counts: BTreeMap<Source, CallCounts>,
    /// Gates and services whose first counts are known; later counts are relative to these.
    baselines: BTreeSet<(String, String)>,
}

impl RolloutComparisons {
    /// Sets the running rollouts by service; counts of ended or changed rollouts are removed.
    pub fn set_rollouts(&mut self, rollouts: BTreeMap<String, Release>) {
        let previous = std::mem::replace(&mut self.rollouts, rollouts);
        let is_unchanged = |service: &String| previous.get(service) == self.rollouts.get(service);
        self.detectors.retain(|service, _| is_unchanged(service));
        self.baselines.retain(|(_, service)| is_unchanged(service));
        self.last_counts
            .retain(|source, _| is_unchanged(&source.release.service));
    }

    /// Returns the services whose counts are requested from gates.
    pub fn services(&self) -> Vec<String> {
        self.rollouts.keys().take(MAX_SERVICES).cloned().collect()
    }

    /// Records the reply of `gate` to a request for the counts of `services`.
    pub fn record_reply(&mut self, gate: &str, services: &[String], reply: CallsReply) {
        let counter = self.counter_ids.insert(gate.to_owned(), reply.counter);
        if counter.is_some_and(|counter| counter != reply.counter) {
            // The counters of a restarted gate start from zero.
            self.last_counts.retain(|source, _| source.gate != gate);
        }
        for calls in reply.releases {
            self.record_release(gate, calls);
        }
        let baselines = services.iter().filter(|s| self.rollouts.contains_key(*s));
        let baselines = baselines.map(|service| (gate.to_owned(), service.clone()));
        self.baselines.extend(baselines);
    }

    fn record_release(&mut self, gate: &str, calls: ReleaseCalls) {
        let Some(declared) = self.rollouts.get(&calls.service) else {
            return;
        };
        let release = Release {
            service: calls.service,
            model: calls.model,
            version: calls.version,
        };
        let is_new = release == *declared;
        let service = release.service.clone();
        let gate = gate.to_owned();
        let has_baseline = self.baselines.contains(&(gate.clone(), service.clone()));
        let previous = self
            .last_counts
            .insert(Source { gate, release }, calls.counts);
        if !has_baseline {
            return;
        }
        let new_counts = calls.counts.since(&previous.unwrap_or_default());
        let detector = self.detectors.entry(service).or_default();
        match is_new {
            true => detector.add_new(&new_counts),
            false => detector.add_old(&new_counts),
        }
    }

    /// Runs the checks that are due and returns the regressions found, by release.
    pub fn check(&mut self) -> Vec<(Release, Regression)> {
        let rollouts = &self.rollouts;
        let regressions = self.detectors.iter_mut().filter_map(|(service, detector)| {
            let regression = detector.check()?;
            Some((rollouts.get(service)?.clone(), regression))
        });
        regressions.collect()
    }
}

/// Polls gates of `az` for call counts of running rollouts, until aborted.
pub(crate) async fn poll_gates(gates: Vec<Peer>, az: String, reconciler: Arc<Reconciler>) {
    let mut tick = interval(POLL_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let req = {
            let state = reconciler.lock_state();
            CallsRequest {
                services: state.comparisons.services(),
                draining: state.tracker.draining().keys().cloned().collect(),
            }
        };
        if req.services.is_empty() && req.draining.is_empty() {
            continue;
        }
        // A few gates are enough for counts; draining endpoints must be sent to all gates.
        let max_gates = match req.draining.is_empty() {
            true => MAX_POLLED_GATES,
            false => gates.len(),
        };
        let is_local = |peer: &&Peer| peer.identity().is_some_and(|identity| identity.az == az);
        let local = gates.iter().filter(is_local).take(max_gates);
        let replies = join_all(local.map(|gate| request_counts(gate, &req))).await;
        reconciler.record_call_counts(&req.services, replies.into_iter().flatten());
    }
}

async fn request_counts<'a>(gate: &'a Peer, req: &CallsRequest) -> Option<(&'a str, CallsReply)> {
    // A gate that does not reply is polled again at the next tick.
    let reply = gate.call(Channel::Calls, req, REPLY_TIMEOUT).await.ok()?;
    Some((gate.name(), reply))
}
