//! Follows the endpoint table of one gate in the availability zone.

use std::{collections::BTreeMap, time::Duration};

use link::{Channel, LinkError, Peer};
use membership::{Changes, EndpointView, Reply, Request};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use uuid::Uuid;

/// Time for which a gate may hold a request open while nothing changes.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Time beyond `POLL_WAIT` within which the gate must reply.
const REPLY_GRACE: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum age of a snapshot from which orders are planned.
pub(crate) const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);

/// Time after which a gate that has just started knows all endpoints.
const GATE_WARM_UP: Duration = Duration::from_secs(2);

/// The endpoints as last reported by one gate.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointSnapshot {
    /// Endpoints of the availability zone by name.
    pub(crate) endpoints: BTreeMap<String, EndpointView>,
    /// When a gate last replied.
    pub(crate) last_reply_at: Option<Instant>,
    /// Name of the gate that replied last.
    pub(crate) gate: Option<String>,
    /// When the gate last sent its complete table.
    pub(crate) table_received_at: Option<Instant>,
}

impl EndpointSnapshot {
    /// Returns true if the gate replied recently and has been followed for long enough to know all
    /// endpoints.
    pub(crate) fn is_reliable(&self, now: Instant) -> bool {
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        age(self.last_reply_at).is_some_and(|age| age < MAX_SNAPSHOT_AGE)
            && age(self.table_received_at).is_some_and(|age| age >= GATE_WARM_UP)
    }

    fn apply(&mut self, az: &str, changes: Changes) {
        if changes.is_whole {
            self.endpoints.clear();
            self.table_received_at = Some(Instant::now());
        }
        for name in changes.departed {
            self.endpoints.remove(&name);
        }
        let in_az = changes.endpoints.into_iter().filter(|e| e.az == az);
        for endpoint in in_az {
            self.endpoints.insert(endpoint.endpoint.clone(), endpoint);
        }
    }
}

/// Follows one gate of `az` at a time, and switches to the next one if it does not reply.
pub(crate) async fn follow_gates(
    gates: Vec<Peer>,
    az: String,
    snapshot: watch::Sender<EndpointSnapshot>,
) {
    if gates.is_empty() {
        return;
    }
    let mut current = 0;
    let mut position: Option<(Uuid, u64)> = None;
    loop {
        let peer = &gates[current];
        let is_local = peer.identity().is_some_and(|identity| identity.az == az);
        let reply = match is_local {
            true => request_changes(peer, position).await.ok(),
            false => None,
        };
        match reply {
            Some(changes) => {
                position = Some((changes.table, changes.version));
                snapshot.send_modify(|snapshot| {
                    snapshot.apply(&az, changes);
                    snapshot.last_reply_at = Some(Instant::now());
                    snapshot.gate = Some(peer.name().to_owned());
                });
            }
            None => {
                position = None;
                current = (current + 1) % gates.len();
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn request_changes(peer: &Peer, position: Option<(Uuid, u64)>) -> Result<Changes, LinkError> {
    let req = Request::Since {
        table: position.map(|(table, _)| table),
        version: position.map_or(0, |(_, version)| version),
        wait: POLL_WAIT,
    };
    match peer
        .call(Channel::Membership, &req, POLL_WAIT + REPLY_GRACE)
        .await?
    {
        Reply::Since(changes) => Ok(changes),
        _ => Err(LinkError::Malformed(
            "unexpected reply to a request for endpoints".to_owned(),
        )),
    }
}
