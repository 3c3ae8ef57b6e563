//! Synchronizes the table of endpoints with the other keepers.

use std::time::Duration;

use link::Peer;
use membership::Table;
use spdlog::info;
use tokio::{task::JoinSet, time::sleep};

use crate::service::ServiceReceiver;

/// Time between checks of the group's members.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Exchanges `table` with the current other keepers while `service` holds a running one; runs until
/// dropped.
pub async fn sync_table(table: Table, service: ServiceReceiver) {
    let mut names: Vec<String> = Vec::new();
    let mut tasks = JoinSet::new();
    loop {
        sleep(POLL_INTERVAL).await;
        let Some(service) = service.borrow().clone() else {
            continue;
        };
        let own_name = service.status().name;
        let others = service
            .keepers()
            .into_iter()
            .filter(|keeper| keeper.name != own_name);
        let peers: Vec<Peer> = others
            .filter_map(|keeper| service.peer(&keeper.name))
            .collect();
        let current: Vec<String> = peers.iter().map(|peer| peer.name().to_owned()).collect();
        if current != names || tasks.is_empty() {
            info!("synchronizing the endpoint table", kv: { with = current.join(", ") });
            tasks = table.gossip(peers);
            names = current;
        }
    }
}
