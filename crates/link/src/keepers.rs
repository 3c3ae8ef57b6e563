//! A client's view of all keepers: asks the one that answered last, then the others.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::{
    Channel, LinkError, Peer,
    keeper::{KeeperReply, KeeperRequest},
};

/// Pause after every keeper was tried in vain.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one keeper while others are left to ask.
const TRY_LIMIT: Duration = Duration::from_millis(1_500);

/// Why no keeper answered.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum KeepersError {
    /// Nothing was sent to any keeper.
    #[error("ask keepers: none could be reached within {waited:?}; check [keepers] and their VMs")]
    Unreachable {
        /// Time spent trying.
        waited: Duration,
    },
    /// Something was sent and no answer with a quorum came; the request may still take effect.
    #[error("ask keepers: no quorum answered within {waited:?}; last: {last}")]
    NoQuorum {
        /// Time spent trying.
        waited: Duration,
        /// What the last keeper asked said.
        last: String,
    },
}

/// Links to all keepers.
#[derive(Debug)]
pub struct Keepers {
    peers: Vec<Peer>,
    preferred: AtomicUsize,
}

impl Keepers {
    /// A client of `peers`, which are tried in this order at first.
    pub fn new(peers: Vec<Peer>) -> Self {
        Self {
            peers,
            preferred: AtomicUsize::new(0),
        }
    }

    /// The links.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Asks until a keeper with a quorum answers or `limit` is over. Every request is idempotent,
    /// so that asking a second keeper after a lost answer is safe.
    pub async fn request(
        &self,
        req: &KeeperRequest,
        limit: Duration,
    ) -> Result<KeeperReply, KeepersError> {
        let start = Instant::now();
        let mut last: Option<String> = None;
        while start.elapsed() < limit {
            for step in 0..self.peers.len() {
                let left = limit.saturating_sub(start.elapsed());
                if left.is_zero() {
                    break;
                }
                let at = (self.preferred.load(Ordering::Relaxed) + step) % self.peers.len();
                match self.request_from(at, req, left.min(TRY_LIMIT)).await {
                    Ok(KeeperReply::NoQuorum) => last = Some("no quorum".to_owned()),
                    Ok(reply) => {
                        self.preferred.store(at, Ordering::Relaxed);
                        return Ok(reply);
                    }
                    Err(e) if e.is_unsent() => {}
                    Err(e) => last = Some(e.to_string()),
                }
            }
            sleep(RETRY_PAUSE.min(limit.saturating_sub(start.elapsed()))).await;
        }
        let waited = start.elapsed();
        Err(match last {
            None => KeepersError::Unreachable { waited },
            Some(last) => KeepersError::NoQuorum { waited, last },
        })
    }

    async fn request_from(
        &self,
        at: usize,
        req: &KeeperRequest,
        limit: Duration,
    ) -> Result<KeeperReply, LinkError> {
        self.peers[at].call(Channel::Keeper, req, limit).await
    }
}
