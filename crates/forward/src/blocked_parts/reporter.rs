//! Tells other gates of crashes, and decides together with them which part is blocked.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join_all;
use link::{Channel, Peer, keeper::BlockedPart};
use routing::{Crash, Culprit, Suspect};
use spdlog::debug;
use tokio::time::Instant;

use super::{
    BlockedParts,
    crashes::{CallEnd, EndedCalls},
    list::{ListView, before},
    messages::{CrashReport, PartReply, PartRequest, ReportedCall},
};
use crate::{fleet::Fleet, gates::Gates};

/// Timeout of telling another gate.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of asking another gate for good responses; a missing reply is no objection.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of calls in a report.
const MAX_CALLS: usize = 64;

/// Tells and asks other gates. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Reporter {
    /// The VM name of this gate.
    pub(crate) vm: String,
    pub(crate) parts: BlockedParts,
    pub(crate) fleet: Fleet,
    pub(crate) gates: Gates,
}

impl Reporter {
    /// Records a crash that this gate saw, and tells other gates.
    pub(super) fn report(&self, ended: &EndedCalls) {
        let report = self.crash_report(ended);
        for peer in self.gates.crash_observers() {
            notify(peer, PartRequest::Crash(report.clone()));
        }
        self.record(report);
    }

    fn crash_report(&self, ended: &EndedCalls) -> CrashReport {
        let now = Instant::now();
        // Calls whose response had begun come first, since they count for more.
        let (begun, waiting): (Vec<_>, Vec<_>) = ended
            .calls
            .iter()
            .partition(|call| call.end != CallEnd::Unanswered);
        let calls = begun.into_iter().chain(waiting).take(MAX_CALLS);
        let calls: Vec<ReportedCall> = calls
            .map(|call| ReportedCall {
                request: call.request.clone(),
                parts: call.parts.clone(),
                has_begun: call.end != CallEnd::Unanswered,
            })
            .collect();
        let parts = calls.iter().flat_map(|call| &call.parts);
        let good: BTreeMap<u64, Duration> = self.parts.update(|state| {
            let age = |part: &u64| {
                let at = state.evidence.last_good(*part)?;
                Some((*part, now.saturating_duration_since(at)))
            };
            parts.filter_map(age).collect()
        });
        CrashReport {
            endpoint: ended.target.incarnation_name(),
            service: ended.target.service.clone(),
            address: ended.target.address,
            age: now.saturating_duration_since(ended.at),
            calls,
            good: good.into_iter().collect(),
        }
    }

    /// Records a crash that this gate or another one saw.
    fn record(&self, report: CrashReport) {
        let now = Instant::now();
        self.parts.update(|state| {
            for (part, age) in report.good {
                state.evidence.record_good(&[part], before(now, age));
            }
            let suspects = report.calls.into_iter().map(|call| Suspect {
                request: call.request,
                parts: call.parts,
                has_begun: call.has_begun,
            });
            state.evidence.record_crash(Crash {
                endpoint: report.endpoint,
                address: report.address,
                at: before(now, report.age),
                suspects: suspects.collect(),
            });
        });
        self.decide(&report.service);
    }

    /// Starts to decide on a part if there is enough evidence against it.
    fn decide(&self, service: &str) {
        let endpoints = self.endpoint_count(service);
        let culprit = self.parts.update(|state| {
            let culprit = state.evidence.culprit(endpoints, Instant::now())?;
            state.deciding.insert(culprit.part).then_some(culprit)
        });
        if let Some(culprit) = culprit {
            tokio::spawn(self.clone().confirm(culprit, service.to_owned()));
        }
    }

    fn endpoint_count(&self, service: &str) -> usize {
        let pool = self.fleet.pool(service);
        pool.map_or(0, |pool| pool.targets.len())
    }

    /// Blocks the part of `culprit` unless a gate has had a good response to a request with it.
    async fn confirm(self, culprit: Culprit, service: String) {
        let part = culprit.part;
        let asked = self.gates.linked().into_iter().map(async |peer| {
            let asked_at = Instant::now();
            let req = PartRequest::LastGood(part);
            let reply = peer.call(Channel::Calls, &req, ASK_TIMEOUT).await;
            match reply {
                Ok(PartReply::LastGood(age)) => age.map(|age| before(asked_at, age)),
                reply => {
                    debug!("gate did not say when a part was last good", kv: {
                        gate = peer.name(), reply = format!("{reply:?}")
                    });
                    None
                }
            }
        });
        let last_good = join_all(asked).await.into_iter().flatten().max();
        let endpoints = self.endpoint_count(&service);
        let blocked = self.parts.update(|state| {
            let now = Instant::now();
            if let Some(at) = last_good {
                state.evidence.record_good(&[part], at);
            }
            state.deciding.remove(&part);
            let confirmed = state.evidence.culprit(endpoints, now);
            let confirmed = confirmed.filter(|culprit| culprit.part == part)?;
            state.block(confirmed, &service, &self.vm, now);
            let blocked = state.list.view(now).blocked;
            blocked.into_iter().find(|block| block.part == part)
        });
        match blocked {
            Some(block) => self.tell_block(&block),
            // The reply may leave the crashes to another part.
            None => self.decide(&service),
        }
    }

    fn tell_block(&self, block: &BlockedPart) {
        for peer in self.gates.linked() {
            notify(peer, PartRequest::Block(block.clone()));
        }
    }

    /// Handles a request of another gate. The reply is empty if the request can't be decoded.
    pub(crate) fn answer(&self, body: &[u8]) -> Vec<u8> {
        let Ok(req) = link::decode::<PartRequest>(body) else {
            // The other end can't decode an empty reply.
            return Vec::new();
        };
        let now = Instant::now();
        let reply = match req {
            PartRequest::Crash(report) => {
                self.record(report);
                PartReply::Acknowledged
            }
            PartRequest::LastGood(part) => {
                let at = self.parts.update(|state| state.evidence.last_good(part));
                PartReply::LastGood(at.map(|at| now.saturating_duration_since(at)))
            }
            PartRequest::Block(block) => {
                self.parts.update(|state| state.list.hear(block, now));
                PartReply::Acknowledged
            }
            PartRequest::Withdraw { part, age } => {
                let view = ListView {
                    blocked: Vec::new(),
                    withdrawn: vec![(part, age)],
                };
                self.parts.update(|state| state.list.merge(view, now));
                PartReply::Acknowledged
            }
            PartRequest::List => {
                let view = self.parts.update(|state| state.list.view(now));
                PartReply::List {
                    blocked: view.blocked,
                    withdrawn: view.withdrawn,
                }
            }
        };
        link::encode(&reply)
    }
}

/// Sends `req` to `peer` in a task of its own.
fn notify(peer: Peer, req: PartRequest) {
    tokio::spawn(async move {
        let reply = peer.call(Channel::Calls, &req, NOTIFY_TIMEOUT).await;
        if !matches!(reply, Ok(PartReply::Acknowledged)) {
            debug!("gate was not told of a crash or a blocked part", kv: {
                gate = peer.name(), reply = format!("{reply:?}")
            });
        }
    });
}

#[cfg(test)]
mod tests;
