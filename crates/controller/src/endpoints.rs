//! What the gates of the availability zone know of its endpoints.

use std::{collections::BTreeMap, time::Duration};

use link::{Channel, LinkError, Peer};
use membership::{Changes, EndpointView, Reply, Request};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use uuid::Uuid;

const WAIT: Duration = Duration::from_secs(1);
const GRACE: Duration = Duration::from_secs(1);
const RETRY: Duration = Duration::from_millis(100);
/// A view older than this is no ground for orders.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(5);

/// A gate that has just started knows all endpoints after this time.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// The endpoints as one gate told them last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    /// Endpoints of the availability zone by name.
    pub(crate) endpoints: BTreeMap<String, EndpointView>,
    /// When a gate answered last.
    pub(crate) heard: Option<Instant>,
    /// The gate.
    pub(crate) gate: Option<String>,
    /// When its first answer came.
    pub(crate) since: Option<Instant>,
}

impl Known {
    /// Whether the gate answered lately, and has done so for long enough to know all endpoints.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        age(self.heard).is_some_and(|age| age < MAX_AGE)
            && age(self.since).is_some_and(|age| age >= SETTLED_AFTER)
    }

    fn take(&mut self, az: &str, changes: Changes) {
        if changes.is_whole {
            self.endpoints.clear();
            self.since = Some(Instant::now());
        }
        for name in changes.departed {
            self.endpoints.remove(&name);
        }
        let of_it = changes.endpoints.into_iter().filter(|e| e.az == az);
        for endpoint in of_it {
            self.endpoints.insert(endpoint.endpoint.clone(), endpoint);
        }
    }
}

/// Follows one gate of `az` at a time, and takes another where it does not answer.
pub(crate) async fn follow(gates: Vec<Peer>, az: String, known: watch::Sender<Known>) {
    if gates.is_empty() {
        return;
    }
    let mut at = 0;
    let mut position: Option<(Uuid, u64)> = None;
    loop {
        let peer = &gates[at];
        let is_near = peer.identity().is_some_and(|identity| identity.az == az);
        let answer = match is_near {
            true => ask(peer, position).await.ok(),
            false => None,
        };
        match answer {
            Some(changes) => {
                position = Some((changes.table, changes.version));
                known.send_modify(|known| {
                    known.take(&az, changes);
                    known.heard = Some(Instant::now());
                    known.gate = Some(peer.name().to_owned());
                });
            }
            None => {
                position = None;
                at = (at + 1) % gates.len();
                sleep(RETRY).await;
            }
        }
    }
}

async fn ask(peer: &Peer, position: Option<(Uuid, u64)>) -> Result<Changes, LinkError> {
    let req = Request::Since {
        table: position.map(|(table, _)| table),
        version: position.map_or(0, |(_, version)| version),
        wait: WAIT,
    };
    match peer.call(Channel::Membership, &req, WAIT + GRACE).await? {
        Reply::Since(changes) => Ok(changes),
        _ => Err(LinkError::Malformed(
            "no answer to a request for endpoints".to_owned(),
        )),
    }
}
