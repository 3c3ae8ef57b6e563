//! A copy of another process's table, for processes that receive no announcements themselves.

use std::{collections::BTreeMap, time::Duration};

use link::{Channel, LinkError, Peer};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use uuid::Uuid;

use crate::{Changes, ColdState, EndpointView, ObservedRate, Reply, Request};

/// Maximum time for which a source may delay its reply.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Additional time after which a source counts as unresponsive.
const REPLY_GRACE: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait for a link that is not connected.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which all endpoints have announced themselves to a source that started with an
/// empty table.
const ANNOUNCE_GRACE: Duration = Duration::from_secs(5);
/// Maximum delay of a reply while some endpoints are unconfirmed.
const UNCONFIRMED_MAX_WAIT: Duration = Duration::from_secs(1);

/// Endpoints as last reported by a source. Endpoints stay when the source is lost, and those that a
/// new source doesn't know stay until it has had time to receive their announcements.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, EndpointView>,
    /// Endpoints that the current source has not reported, with the time of their removal.
    unconfirmed: BTreeMap<String, Instant>,
    /// Request rates that endpoints named, by endpoint.
    pub rates: BTreeMap<String, ObservedRate>,
    /// Cold times of endpoints that announced one, by endpoint.
    pub cold: BTreeMap<String, ColdState>,
}

impl Mirror {
    fn apply(&mut self, changes: Changes) {
        if changes.is_whole {
            let until = Instant::now() + ANNOUNCE_GRACE;
            let names = self.endpoints.keys().cloned();
            self.unconfirmed = names.map(|name| (name, until)).collect();
        }
        for name in changes.departed {
            self.endpoints.remove(&name);
            self.unconfirmed.remove(&name);
            self.rates.remove(&name);
            self.cold.remove(&name);
        }
        let now = Instant::now();
        for endpoint in changes.endpoints {
            self.unconfirmed.remove(&endpoint.endpoint);
            let rate = endpoint.rate.as_ref().and_then(|rate| rate.observed(now));
            match rate {
                Some(rate) => self.rates.insert(endpoint.endpoint.clone(), rate),
                None => self.rates.remove(&endpoint.endpoint),
            };
            let cold = endpoint.cold.as_ref().map(|cold| cold.state(now));
            match cold {
                Some(cold) => drop(self.cold.insert(endpoint.endpoint.clone(), cold)),
                None => drop(self.cold.remove(&endpoint.endpoint)),
            }
            self.endpoints.insert(endpoint.endpoint.clone(), endpoint);
        }
    }

    /// Removes endpoints that the current source did not report in time. Returns true if there were
    /// any.
    fn remove_unconfirmed(&mut self) -> bool {
        let now = Instant::now();
        let expired = self.unconfirmed.extract_if(.., |_, until| *until <= now);
        let expired: Vec<String> = expired.map(|(name, _)| name).collect();
        for name in &expired {
            self.endpoints.remove(name);
            self.rates.remove(name);
            self.cold.remove(name);
        }
        !expired.is_empty()
    }
}

/// Copies the table of one of `sources` at a time, moving on when it fails; runs until dropped.
pub async fn follow(mut sources: watch::Receiver<Vec<Peer>>, mirror: watch::Sender<Mirror>) {
    let mut index = 0;
    loop {
        let known = sources.borrow_and_update().clone();
        let Some(peer) = known.get(index % known.len().max(1)) else {
            if sources.changed().await.is_err() {
                return;
            }
            continue;
        };
        follow_source(peer, &mirror).await;
        index = (index + 1) % known.len();
        sleep(RETRY_INTERVAL).await;
    }
}

/// Copies the table of `peer` until a request fails.
async fn follow_source(peer: &Peer, mirror: &watch::Sender<Mirror>) {
    // Not connected in time: try the next source.
    if timeout(CONNECT_TIMEOUT, peer.connected()).await.is_err() {
        return;
    }
    let mut position: Option<(Uuid, u64)> = None;
    loop {
        let wait = match mirror.borrow().unconfirmed.is_empty() {
            true => MAX_WAIT,
            false => UNCONFIRMED_MAX_WAIT,
        };
        let Ok(changes) = request_changes(peer, position, wait).await else {
            return;
        };
        position = Some((changes.table, changes.version));
        let has_changes =
            changes.is_whole || !changes.endpoints.is_empty() || !changes.departed.is_empty();
        if has_changes {
            mirror.send_modify(|mirror| mirror.apply(changes));
        }
        mirror.send_if_modified(Mirror::remove_unconfirmed);
    }
}

async fn request_changes(
    peer: &Peer,
    position: Option<(Uuid, u64)>,
    wait: Duration,
) -> Result<Changes, LinkError> {
    let req = Request::Since {
        table: position.map(|(table, _)| table),
        version: position.map_or(0, |(_, version)| version),
        wait,
    };
    match peer
        .call(Channel::Membership, &req, wait + REPLY_GRACE)
        .await?
    {
        Reply::Since(changes) => Ok(changes),
        _ => Err(LinkError::Malformed(
            "unexpected reply to a request for changed endpoints".to_owned(),
        )),
    }
}

#[cfg(test)]
mod tests;
