//! Whether a quorum of keepers answers, as far as this gate's own questions tell.
//!
//! A question that stays open for a while, or fails, starts a probe. Once no question was answered
//! for [`LOST_AFTER`] the quorum counts as lost: questions that wait end at once, and further ones
//! are refused without a wait, until the probe is answered.

use std::{sync::Arc, time::Duration};

use link::{
    keeper::{KeeperReply, KeeperRequest},
    keepers::{Keepers, KeepersError},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use uuid::Uuid;

/// A question that is open for this long starts the probe.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);
/// Time without any answer after which the quorum counts as lost; a new leader is elected sooner.
const LOST_AFTER: Duration = Duration::from_millis(1_200);
const PROBE_LIMIT: Duration = Duration::from_millis(400);
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// What is known of the quorum.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Answering,
    /// A probe runs.
    Suspect,
    /// A probe runs, and nothing was answered for [`LOST_AFTER`].
    Lost,
}

/// The keepers, asked with an eye on whether they answer; clones share what is known.
#[derive(Clone, Debug)]
pub(crate) struct Quorum {
    keepers: Arc<Keepers>,
    health: Arc<watch::Sender<Health>>,
}

impl Quorum {
    /// A quorum that counts as answering until a question fails.
    pub(crate) fn new(keepers: Keepers) -> Self {
        Self {
            keepers: Arc::new(keepers),
            health: Arc::new(watch::Sender::new(Health::Answering)),
        }
    }

    /// The keepers, for questions in the background that may wait for long.
    pub(crate) fn keepers(&self) -> &Keepers {
        &self.keepers
    }

    /// Asks on behalf of a request that waits for the answer.
    pub(crate) async fn ask(
        &self,
        req: &KeeperRequest,
        limit: Duration,
    ) -> Result<KeeperReply, KeepersError> {
        let start = Instant::now();
        let mut health = self.health.subscribe();
        let asked = self.keepers.request(req, limit);
        tokio::pin!(asked);
        let suspicion = sleep(SUSPECT_AFTER);
        tokio::pin!(suspicion);
        let mut is_suspected = false;
        loop {
            tokio::select! {
                biased;
                _ = health.wait_for(|health| *health == Health::Lost) => {
                    let waited = start.elapsed();
                    let last = "no quorum has answered for a while".to_owned();
                    return Err(KeepersError::NoQuorum { waited, last });
                }
                reply = &mut asked => {
                    if reply.is_err() {
                        self.suspect();
                    }
                    return reply;
                }
                () = &mut suspicion, if !is_suspected => {
                    is_suspected = true;
                    self.suspect();
                }
            }
        }
    }

    /// Starts the probe unless it runs.
    fn suspect(&self) {
        let is_new = self.health.send_if_modified(|health| {
            let is_new = *health == Health::Answering;
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
        let since = Instant::now();
        let req = KeeperRequest::Lookup(Uuid::now_v7());
        loop {
            match self.keepers.request(&req, PROBE_LIMIT).await {
                Ok(_) => {
                    self.health.send_replace(Health::Answering);
                    return;
                }
                Err(_) if since.elapsed() >= LOST_AFTER => {
                    self.health.send_replace(Health::Lost);
                }
                Err(_) => {}
            }
            sleep(PROBE_PAUSE).await;
        }
    }
}

#[cfg(test)]
mod tests;
