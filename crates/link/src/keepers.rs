//! Client of the keepers: tries the one that replied last, then the others.

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

/// Delay after a round in which every keeper failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of an attempt at one keeper.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Error of a request that no keeper answered.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum KeepersError {
    /// Nothing was sent to any keeper.
    #[error("request to keepers: none reachable within {waited:?}; check [keepers] and their VMs")]
    Unreachable {
        /// Time spent trying.
        waited: Duration,
    },
    /// A request was sent and no keeper with a quorum replied; it may still take effect.
    #[error("request to keepers: no quorum within {waited:?}; last error: {last}")]
    NoQuorum {
        /// Time spent trying.
        waited: Duration,
        /// Error of the last attempt.
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
    /// Creates a client of `peers`, which are initially tried in this order.
    pub fn new(peers: Vec<Peer>) -> Self {
        Self {
            peers,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Returns the links to all keepers.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Tries keepers until one with a quorum replies or `limit` is over. Requests are idempotent, so
    /// that trying another keeper after a lost reply is safe.
    pub async fn request(
        &self,
        req: &KeeperRequest,
        limit: Duration,
    ) -> Result<KeeperReply, KeepersError> {
        let start = Instant::now();
        let mut last: Option<String> = None;
        while start.elapsed() < limit {
            for step in 0..self.peers.len() {
                let remaining = limit.saturating_sub(start.elapsed());
                if remaining.is_zero() {
                    break;
                }
                let index = (self.preferred.load(Ordering::Relaxed) + step) % self.peers.len();
                match self
                    .request_from(index, req, remaining.min(ATTEMPT_TIMEOUT))
                    .await
                {
                    Ok(KeeperReply::NoQuorum) => last = Some("no quorum".to_owned()),
                    Ok(reply) => {
                        self.preferred.store(index, Ordering::Relaxed);
                        return Ok(reply);
                    }
                    Err(e) if e.is_unsent() => {}
                    Err(e) => last = Some(e.to_string()),
                }
            }
            let remaining = limit.saturating_sub(start.elapsed());
            if !remaining.is_zero() {
                sleep(RETRY_DELAY.min(remaining)).await;
            }
        }
        let waited = start.elapsed();
        Err(match last {
            None => KeepersError::Unreachable { waited },
            Some(last) => KeepersError::NoQuorum { waited, last },
        })
    }

    async fn request_from(
        &self,
        index: usize,
        req: &KeeperRequest,
        limit: Duration,
    ) -> Result<KeeperReply, LinkError> {
        self.peers[index].call(Channel::Keeper, req, limit).await
    }
}
