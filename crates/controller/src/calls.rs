//! What gates tell of calls to versions that are being rolled out, compared version by version.

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

const EVERY: Duration = Duration::from_millis(500);
const ANSWER: Duration = Duration::from_secs(1);
/// Most gates of the availability zone that are asked.
const MAX_GATES: usize = 8;

/// Where counts come from.
#[value]
struct Source {
    gate: String,
    release: Release,
}

/// Counts of rollouts, from which falls of attainment are found.
#[derive(Debug, Default)]
pub struct Comparisons {
    rolling: BTreeMap<String, Release>,
    detectors: BTreeMap<String, RegressionDetector>,
    counters: BTreeMap<String, Uuid>,
    last: BTreeMap<Source, CallCounts>,
    /// Gates and services of which a first answer is the ground that later ones are counted from.
    begun: BTreeSet<(String, String)>,
}

impl Comparisons {
    /// Sets what is being rolled out, by service; what is rolled out no more is forgotten.
    pub fn roll(&mut self, rolling: BTreeMap<String, Release>) {
        let before = std::mem::replace(&mut self.rolling, rolling);
        let goes_on = |service: &String| before.get(service) == self.rolling.get(service);
        self.detectors.retain(|service, _| goes_on(service));
        self.begun.retain(|(_, service)| goes_on(service));
        self.last
            .retain(|source, _| goes_on(&source.release.service));
    }

    /// The services about which gates are asked.
    pub fn services(&self) -> Vec<String> {
        self.rolling.keys().take(MAX_SERVICES).cloned().collect()
    }

    /// Takes what `gate` told about `asked`.
    pub fn take(&mut self, gate: &str, asked: &[String], reply: CallsReply) {
        let counter = self.counters.insert(gate.to_owned(), reply.counter);
        if counter.is_some_and(|counter| counter != reply.counter) {
            // A gate that was restarted counts from zero.
            self.last.retain(|source, _| source.gate != gate);
        }
        for calls in reply.releases {
            self.take_release(gate, calls);
        }
        let begun = asked.iter().filter(|s| self.rolling.contains_key(*s));
        let begun = begun.map(|service| (gate.to_owned(), service.clone()));
        self.begun.extend(begun);
    }

    fn take_release(&mut self, gate: &str, calls: ReleaseCalls) {
        let Some(declared) = self.rolling.get(&calls.service) else {
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
        let is_begun = self.begun.contains(&(gate.clone(), service.clone()));
        let before = self.last.insert(Source { gate, release }, calls.counts);
        if !is_begun {
            return;
        }
        let came = calls.counts.since(&before.unwrap_or_default());
        let detector = self.detectors.entry(service).or_default();
        match is_new {
            true => detector.add_new(&came),
            false => detector.add_old(&came),
        }
    }

    /// Falls of attainment found now, by the version that fell.
    pub fn check(&mut self) -> Vec<(Release, Regression)> {
        let rolling = &self.rolling;
        let regressions = self.detectors.iter_mut().filter_map(|(service, detector)| {
            let regression = detector.check()?;
            Some((rolling.get(service)?.clone(), regression))
        });
        regressions.collect()
    }
}

/// Asks gates of `az` about what is being rolled out, until aborted.
pub(crate) async fn follow(gates: Vec<Peer>, az: String, reconciler: Arc<Reconciler>) {
    let mut tick = interval(EVERY);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let req = {
            let working = reconciler.working();
            CallsRequest {
                services: working.comparisons.services(),
                draining: working.tracker.draining().keys().cloned().collect(),
            }
        };
        if req.services.is_empty() && req.draining.is_empty() {
            continue;
        }
        // Counts of a few gates are enough; drains must be known to all.
        let most = match req.draining.is_empty() {
            true => MAX_GATES,
            false => gates.len(),
        };
        let is_near = |peer: &&Peer| peer.identity().is_some_and(|identity| identity.az == az);
        let near = gates.iter().filter(is_near).take(most);
        let replies = join_all(near.map(|gate| ask(gate, &req))).await;
        reconciler.take_calls(&req.services, replies.into_iter().flatten());
    }
}

async fn ask<'a>(gate: &'a Peer, req: &CallsRequest) -> Option<(&'a str, CallsReply)> {
    // A gate that does not answer is asked again with the next tick.
    let reply = gate.call(Channel::Calls, req, ANSWER).await.ok()?;
    Some((gate.name(), reply))
}
