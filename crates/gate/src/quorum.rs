//! Tracks from the gate's own requests whether a quorum of keepers answers.
//!
//! A request that fails or is pending for a while starts a probe. Once nothing has been answered
//! for [`LOST_AFTER`], the quorum counts as lost: pending requests fail at once, and so do new
//! ones, until the probe is answered. Until then a request may wait for the quorum to return.

use std::{sync::Arc, time::Duration};

use link::{
    keeper::{KeeperReply, KeeperRequest},
    keepers::{Keepers, KeepersError},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};
use uuid::Uuid;

/// A request that is pending for this long starts the probe.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);
/// Time without any reply after which the quorum counts as lost. Restarting all keepers takes less.
const LOST_AFTER: Duration = Duration::from_secs(4);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Known state of the quorum.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Healthy,
    /// A probe is running.
    Suspect,
    /// A probe is running, and nothing was answered for [`LOST_AFTER`].
    Lost,
}

/// Client of the keepers that fails fast while no quorum answers. Clones share the known state.
#[derive(Clone, Debug)]
pub(crate) struct Quorum {
    keepers: Arc<Keepers>,
    health: Arc<watch::Sender<Health>>,
}

impl Quorum {
    /// Creates a client that assumes a healthy quorum until a request fails.
    pub(crate) fn new(keepers: Keepers) -> Self {
        Self {
            keepers: Arc::new(keepers),
            health: Arc::new(watch::Sender::new(Health::Healthy)),
        }
    }

    /// The keepers, for background requests that may wait for long.
    pub(crate) fn keepers(&self) -> &Keepers {
        &self.keepers
    }

    /// Sends `req` for a caller that waits for the reply.
    pub(crate) async fn request(
        &self,
        req: &KeeperRequest,
        limit: Duration,
    ) -> Result<KeeperReply, KeepersError> {
        let start = Instant::now();
        let mut health = self.health.subscribe();
        let pending_reply = self.keepers.request(req, limit);
        tokio::pin!(pending_reply);
        let suspect_timer = sleep(SUSPECT_AFTER);
        tokio::pin!(suspect_timer);
        let mut is_suspected = false;
        loop {
            tokio::select! {
                biased;
                _ = health.wait_for(|health| *health == Health::Lost) => {
                    let waited = start.elapsed();
                    let last = "no quorum has answered for a while".to_owned();
                    return Err(KeepersError::NoQuorum { waited, last });
                }
                reply = &mut pending_reply => {
                    if reply.is_err() {
                        self.suspect();
                    }
                    return reply;
                }
                () = &mut suspect_timer, if !is_suspected => {
                    is_suspected = true;
                    self.suspect();
                }
            }
        }
    }

    /// Waits after a failed request until a quorum answers again. Returns false if it counts as lost
    /// first, or at `deadline`.
    pub(crate) async fn wait_until_back(&self, deadline: Instant) -> bool {
        let mut health = self.health.subscribe();
        let decided = health.wait_for(|health| *health != Health::Suspect);
        match timeout_at(deadline, decided).await {
            Ok(Ok(health)) => *health == Health::Healthy,
            // The sender lives as long as `self`.
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Starts the probe unless it is running.
    fn suspect(&self) {
        let is_new = self.health.send_if_modified(|health| {
            let is_new = *health == Health::Healthy;
            if is_new {
                *health = Health::Suspect;
            }
            is_new
        });
        if is_new {
            tokio::spawn(self.clone().probe());
        }
    }

    async fn probe(self) {
        let started = Instant::now();
        let req = KeeperRequest::Lookup(Uuid::now_v7());
        loop {
            match self.keepers.request(&req, PROBE_TIMEOUT).await {
                Ok(_) => {
                    self.health.send_replace(Health::Healthy);
                    return;
                }
                Err(_) if started.elapsed() >= LOST_AFTER => {
                    self.health.send_replace(Health::Lost);
                }
                Err(_) => {}
            }
            sleep(PROBE_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
