//! A copy of another process's table, for those that take no announcements themselves.

use std::{collections::BTreeMap, time::Duration};

use link::{Channel, LinkError, Peer};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
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

/// The endpoints as a source told them last; what a lost source told stays.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, EndpointView>,
    /// Whether a source has ever answered.
    pub is_known: bool,
}

impl Mirror {
    fn take(&mut self, changes: Changes) {
        if changes.is_whole {
            self.endpoints.clear();
        }
        for name in changes.departed {
            self.endpoints.remove(&name);
        }
        for endpoint in changes.endpoints {
            self.endpoints.insert(endpoint.endpoint.clone(), endpoint);
        }
        self.is_known = true;
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
    while let Ok(changes) = ask(peer, position).await {
        position = Some((changes.table, changes.version));
        let is_news =
            changes.is_whole || !changes.endpoints.is_empty() || !changes.departed.is_empty();
        if is_news {
            mirror.send_modify(|mirror| mirror.take(changes));
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
