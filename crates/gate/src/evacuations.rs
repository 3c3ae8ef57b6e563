//! Availability zones that operators evacuate: their endpoints get no calls.

use std::{
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use link::keeper::{KeeperReply, KeeperRequest, OrderedZone};
use logs::Event;
use spdlog::warn;
use tokio::time::sleep;

use crate::ledger::Ledger;

/// Time between two requests for the orders.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The zones that are evacuated, as keepers last confirmed. Clones share state.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuatedZones(Arc<RwLock<Arc<[String]>>>);

impl EvacuatedZones {
    /// Returns the names of the zones.
    pub(crate) fn names(&self) -> Arc<[String]> {
        let zones = self.0.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&zones)
    }

    /// Applies the last order of each zone.
    pub(crate) fn apply(&self, version: u64, orders: Vec<OrderedZone>) {
        let orders = orders.into_iter().map(|zone| zone.order);
        let evacuated = orders.filter(|order| order.is_evacuated);
        let zones: Arc<[String]> = evacuated.map(|order| order.zone).collect();
        if zones != self.names() {
            let named = zones.to_vec();
            logs::write(
                None,
                &Event::ZonesEvacuated {
                    version,
                    zones: named,
                },
            );
            *self.0.write().unwrap_or_else(PoisonError::into_inner) = zones;
        }
    }
}

/// Reads the orders from the keepers every second; runs until dropped. Without an answer the last known
/// state holds.
pub(crate) async fn follow(evacuated: EvacuatedZones, ledger: Ledger) {
    let mut was_read = true;
    loop {
        let req = KeeperRequest::Evacuations;
        let reply = ledger.keepers().request(&req, POLL_TIMEOUT).await;
        let is_read = matches!(reply, Ok(KeeperReply::Evacuations { .. }));
        match reply {
            Ok(KeeperReply::Evacuations { version, zones }) => {
                evacuated.apply(version, zones);
            }
            reply if was_read => warn!("failed to read the evacuated zones", kv: {
                reply = format!("{reply:?}")
            }),
            _ => {}
        }
        was_read = is_read;
        sleep(POLL_INTERVAL).await;
    }
}
