//! A copy of another process's table, for those that take no announcements themselves.

use std::{collections::BTreeMap, time::Duration};

use link::{Channel, LinkError, Peer};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use uuid::Uuid;

use crate::{Changes, EndpointView, Reply, Request};

/// Longest time that a source holds an answer back.
const WAIT: Duration = Duration::from_secs(5);
/// Time beyond which a source counts as silent.
const GRACE: Duration = Duration::from_secs(1);
const RETRY: Duration = Duration::from_millis(50);
/// Time for a link that is not up yet.
const CONNECT: Duration = Duration::from_millis(400);

/// Time in which endpoints have announced themselves to a source whose table began anew.
const ANNOUNCED: Duration = Duration::from_secs(5);
/// Longest wait for an answer while some have not.
const SHORT_WAIT: Duration = Duration::from_secs(1);

/// The endpoints as a source told them last; what a lost source told stays, and what another one
/// doesn't know yet stays until it has had time to hear of it.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, EndpointView>,
    /// Those that the present source has not told, and until when they stay.
    untold: BTreeMap<String, Instant>,
}

impl Mirror {
    fn take(&mut self, changes: Changes) {
        if changes.is_whole {
            let until = Instant::now() + ANNOUNCED;
            let names = self.endpoints.keys().cloned();
            self.untold = names.map(|name| (name, until)).collect();
        }
        for name in changes.departed {
            self.endpoints.remove(&name);
            self.untold.remove(&name);
        }
        for endpoint in changes.endpoints {
            self.untold.remove(&endpoint.endpoint);
            self.endpoints.insert(endpoint.endpoint.clone(), endpoint);
        }
    }

    /// Forgets what the present source has had time to tell; whether there was any.
    fn forget_untold(&mut self) -> bool {
        let now = Instant::now();
        let over = self.untold.extract_if(.., |_, until| *until <= now);
        let over: Vec<String> = over.map(|(name, _)| name).collect();
        for name in &over {
            self.endpoints.remove(name);
        }
        !over.is_empty()
    }
}

/// Follows one of `sources` at a time, the first that answers; runs until dropped.
pub async fn follow(mut sources: watch::Receiver<Vec<Peer>>, mirror: watch::Sender<Mirror>) {
    let mut at = 0;
    loop {
        let known = sources.borrow_and_update().clone();
        let Some(peer) = known.get(at % known.len().max(1)) else {
            if sources.changed().await.is_err() {
                return;
            }
            continue;
        };
        follow_one(peer, &mirror).await;
        at = (at + 1) % known.len();
        sleep(RETRY).await;
    }
}

/// Follows `peer` for as long as it answers.
async fn follow_one(peer: &Peer, mirror: &watch::Sender<Mirror>) {
    // A link that is not up in time is another source's turn.
    if timeout(CONNECT, peer.connected()).await.is_err() {
        return;
    }
    let mut position: Option<(Uuid, u64)> = None;
    loop {
        let wait = match mirror.borrow().untold.is_empty() {
            true => WAIT,
            false => SHORT_WAIT,
        };
        let Ok(changes) = ask(peer, position, wait).await else {
            return;
        };
        position = Some((changes.table, changes.version));
        let is_news =
            changes.is_whole || !changes.endpoints.is_empty() || !changes.departed.is_empty();
        if is_news {
            mirror.send_modify(|mirror| mirror.take(changes));
        }
        mirror.send_if_modified(Mirror::forget_untold);
    }
}

async fn ask(
    peer: &Peer,
    position: Option<(Uuid, u64)>,
    wait: Duration,
) -> Result<Changes, LinkError> {
    let req = Request::Since {
        table: position.map(|(table, _)| table),
        version: position.map_or(0, |(_, version)| version),
        wait,
    };
    match peer.call(Channel::Membership, &req, wait + GRACE).await? {
        Reply::Since(changes) => Ok(changes),
        _ => Err(LinkError::Malformed(
            "no answer to a request for endpoints".to_owned(),
        )),
    }
}

#[cfg(test)]
mod tests;
