//! Notifies keepers and other gates of what endpoints said in answers to this gate: that they are
//! leaving, or which request rate they take.

use std::time::Duration;

use link::{Channel, Peer};
use membership::{Mirror, Reply, Request};
use spdlog::warn;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{fleet::Fleet, gates::Gates};

/// Interval at which notices that the keepers don't know yet are sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of notifying one process.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest time between two notifications, in which further notices are collected.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Notifies keepers and gates of notices that this gate knows of.
#[derive(Debug)]
pub(crate) struct EndpointNotifier {
    /// The VM name of this gate.
    pub(crate) vm: String,
    pub(crate) fleet: Fleet,
    pub(crate) gates: Gates,
    pub(crate) mirror: watch::Receiver<Mirror>,
    pub(crate) keepers: watch::Receiver<Vec<Peer>>,
}

impl EndpointNotifier {
    /// Runs until the fleet or the mirror is dropped. Notices are sent until the keepers agree,
    /// including keepers that have restarted and know nothing of the endpoint.
    pub(crate) async fn run(mut self) {
        let mut updates = self.fleet.notice_updates();
        loop {
            let mirror = self.mirror.borrow_and_update().clone();
            let leaving = self.fleet.unconfirmed_departures(&mirror);
            let rates = self.fleet.unconfirmed_rates(&mirror, &self.vm);
            if leaving.is_empty() && rates.is_empty() {
                tokio::select! {
                    changed = updates.changed() => if changed.is_err() { return },
                    changed = self.mirror.changed() => if changed.is_err() { return },
                }
                continue;
            }
            if !rates.is_empty() {
                self.notify_gates(&Request::Rates(rates.clone()));
                self.notify_keepers(&Request::Rates(rates));
            }
            if !leaving.is_empty() {
                self.notify_gates(&Request::Leaving(leaving.clone()));
                self.notify_keeper(&Request::Leaving(leaving)).await;
            }
            sleep(MIN_INTERVAL).await;
            tokio::select! {
                changed = updates.changed() => if changed.is_err() { return },
                () = sleep(RESEND_INTERVAL) => {}
            }
        }
    }

    /// Gates are notified directly because the keepers may be unreachable.
    fn notify_gates(&self, req: &Request) {
        for peer in self.gates.linked() {
            notify(peer, req.clone());
        }
    }

    /// Notifies all keepers, since they do not share request rates with each other.
    fn notify_keepers(&self, req: &Request) {
        for peer in self.keepers.borrow().iter().filter(|p| p.is_connected()) {
            notify(peer.clone(), req.clone());
        }
    }

    /// Notifies one keeper, which shares it with the others.
    async fn notify_keeper(&self, req: &Request) {
        let keepers = self.keepers.borrow().clone();
        for peer in keepers.iter().filter(|peer| peer.is_connected()) {
            let call = peer.call::<_, Reply>(Channel::Membership, req, NOTIFY_TIMEOUT);
            match timeout(NOTIFY_TIMEOUT, call).await {
                Ok(Ok(Reply::Acknowledged)) => return,
                reply => warn!("failed to notify keeper of leaving endpoints", kv: {
                    keeper = peer.name(), reply = format!("{reply:?}")
                }),
            }
        }
    }
}

/// Sends `req` to `peer` in a task of its own.
fn notify(peer: Peer, req: Request) {
    tokio::spawn(async move {
        // A process that misses this is told again while the keepers do not agree, and learns of it
        // from the endpoint at the latest.
        let _ = peer
            .call::<_, Reply>(Channel::Membership, &req, NOTIFY_TIMEOUT)
            .await;
    });
}
