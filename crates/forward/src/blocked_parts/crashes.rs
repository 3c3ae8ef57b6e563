//! Tells endpoints that crashed from those whose connections broke for another reason.
//!
//! A crash closes all connections of an endpoint at once, and its listener. Calls that ended together
//! with their connection are collected for a moment; then one connection attempt shows whether the
//! endpoint still listens.

use std::{
    collections::{BTreeSet, HashMap, hash_map::Entry},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use link::keeper::MAX_BLOCK_EVIDENCE;
use logs::Event;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::reporter::Reporter;
use crate::{fleet::Target, incoming::IncomingRequest, metrics::Metrics};

/// Time from the first broken connection to an endpoint to the probe, in which others are collected.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Timeout of the probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of calls that are remembered for one probe.
const MAX_CALLS: usize = 256;
/// Maximum number of parts that are remembered of one prompt.
const MAX_PARTS: usize = 256;

/// How a call ended together with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// Without a response head.
    Unanswered,
    /// In the response body.
    Broken,
    /// With a response that is complete if the endpoint closed the connection on purpose.
    Closed,
}

/// A call that ended together with its connection.
#[derive(Clone, Debug)]
pub(crate) struct EndedCall {
    /// Id of the request.
    pub(crate) request: String,
    /// Hashes of the ids of its prompt's parts, without the last.
    pub(crate) parts: Vec<u64>,
    pub(crate) end: CallEnd,
}

/// The calls that ended at one endpoint.
#[derive(Debug)]
pub(crate) struct EndedCalls {
    pub(crate) target: Arc<Target>,
    /// When the first of them ended.
    pub(crate) at: Instant,
    pub(crate) calls: Vec<EndedCall>,
}

/// Collects ended calls and probes their endpoints. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct CrashDetector {
    metrics: Metrics,
    reporter: Reporter,
    /// Endpoints that are about to be probed, by the name of their incarnation.
    ended: Arc<Mutex<HashMap<String, EndedCalls>>>,
}

impl CrashDetector {
    pub(crate) fn new(metrics: Metrics, reporter: Reporter) -> Self {
        Self {
            metrics,
            reporter,
            ended: Arc::default(),
        }
    }

    /// Records that the call of `req` at `target` ended together with its connection. A call without
    /// a prompt is ignored.
    pub(crate) fn record(&self, target: &Arc<Target>, req: &IncomingRequest, end: CallEnd) {
        let Some(prompt) = &req.prompt else {
            return;
        };
        let parts = prompt.shareable_parts().iter().map(|part| part.id_hash);
        let call = EndedCall {
            request: req.id.clone(),
            parts: parts.take(MAX_PARTS).collect(),
            end,
        };
        let name = target.incarnation_name();
        match self.ended().entry(name.clone()) {
            Entry::Occupied(mut entry) if entry.get().calls.len() < MAX_CALLS => {
                entry.get_mut().calls.push(call);
            }
            Entry::Occupied(_) => {}
            Entry::Vacant(entry) => {
                entry.insert(EndedCalls {
                    target: Arc::clone(target),
                    at: Instant::now(),
                    calls: vec![call],
                });
                tokio::spawn(self.clone().probe_later(name));
            }
        }
    }

    /// Returns what tells other gates of crashes.
    pub(crate) fn reporter(&self) -> &Reporter {
        &self.reporter
    }

    fn ended(&self) -> MutexGuard<'_, HashMap<String, EndedCalls>> {
        self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn probe_later(self, name: String) {
        sleep(COLLECT_TIME).await;
        let ended = self.ended().remove(&name);
        let Some(ended) = ended else { return };
        match probe(ended.target.address).await {
            Probe::Refused if !ended.target.is_leaving() => {
                self.metrics.record_crash(&ended.target.service);
                logs::write(None, &ended.crashed_event());
                self.reporter.report(&ended);
            }
            Probe::Accepted => {
                let closed = ended.calls.iter().filter(|c| c.end == CallEnd::Closed);
                for call in closed {
                    self.reporter.parts.record_good_parts(&call.parts);
                }
            }
            Probe::Refused | Probe::Unknown => {}
        }
    }
}

impl EndedCalls {
    fn crashed_event(&self) -> Event {
        let requests = self.calls.iter().map(|call| call.request.clone());
        let answering = self
            .calls
            .iter()
            .filter(|call| call.end != CallEnd::Unanswered);
        let parts: BTreeSet<u64> = self.calls.iter().flat_map(|c| c.parts.clone()).collect();
        Event::EndpointCrashed {
            endpoint: self.target.name.clone(),
            service: self.target.service.clone(),
            requests: requests.take(MAX_BLOCK_EVIDENCE).collect(),
            answering: answering.count(),
            parts: parts.len(),
        }
    }
}

/// What a connection attempt shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// The endpoint listens.
    Accepted,
    /// Nothing listens at the address.
    Refused,
    /// Nothing: the endpoint may be cut off.
    Unknown,
}

async fn probe(address: SocketAddr) -> Probe {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Unknown,
    }
}

#[cfg(test)]
mod tests;
