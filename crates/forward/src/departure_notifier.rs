//! Notifies keepers and other gates of endpoints that said in an answer that they are leaving.

use std::time::Duration;

use link::{Channel, Peer};
use membership::{LeavingNotice, Mirror, Reply, Request};
use spdlog::warn;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{fleet::Fleet, gates::Gates};

/// Interval at which departures that the keepers don't know yet are sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of notifying one process.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(600);

/// Notifies keepers and gates of departures that this gate knows of.
#[derive(Debug)]
pub(crate) struct DepartureNotifier {
    pub(crate) fleet: Fleet,
    pub(crate) gates: Gates,
    pub(crate) mirror: watch::Receiver<Mirror>,
    pub(crate) keepers: watch::Receiver<Vec<Peer>>,
}

impl DepartureNotifier {
    /// Runs until the fleet or the mirror is dropped. Departures are sent until the keepers agree,
    /// including keepers that have restarted and consider the endpoint ready.
    pub(crate) async fn run(mut self) {
        let mut updates = self.fleet.departure_updates();
        loop {
            let unconfirmed = self
                .fleet
                .unconfirmed_departures(&self.mirror.borrow_and_update());
            if unconfirmed.is_empty() {
                tokio::select! {
                    changed = updates.changed() => if changed.is_err() { return },
                    changed = self.mirror.changed() => if changed.is_err() { return },
                }
                continue;
            }
            self.notify_gates(&unconfirmed);
            self.notify_keeper(unconfirmed).await;
            tokio::select! {
                changed = updates.changed() => if changed.is_err() { return },
                () = sleep(RESEND_INTERVAL) => {}
            }
        }
    }

    /// Gates are notified directly because the keepers may be unreachable.
    fn notify_gates(&self, leaving: &[LeavingNotice]) {
        for peer in self.gates.linked() {
            let req = Request::Leaving(leaving.to_vec());
            tokio::spawn(async move {
                // A gate that misses this learns of it from the keepers or from the endpoint.
                let _ = peer
                    .call::<_, Reply>(Channel::Membership, &req, NOTIFY_TIMEOUT)
                    .await;
            });
        }
    }

    async fn notify_keeper(&self, leaving: Vec<LeavingNotice>) {
        let keepers = self.keepers.borrow().clone();
        let req = Request::Leaving(leaving);
        for peer in keepers.iter().filter(|peer| peer.is_connected()) {
            let call = peer.call::<_, Reply>(Channel::Membership, &req, NOTIFY_TIMEOUT);
            match timeout(NOTIFY_TIMEOUT, call).await {
                Ok(Ok(Reply::Acknowledged)) => return,
                reply => warn!("failed to notify keeper of leaving endpoints", kv: {
                    keeper = peer.name(), reply = format!("{reply:?}")
                }),
            }
        }
    }
}
