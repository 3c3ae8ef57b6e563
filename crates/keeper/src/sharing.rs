//! The endpoints' table of one keeper, kept in step with those of the others.

use std::time::Duration;

use link::Peer;
use membership::Table;
use spdlog::info;
use tokio::{task::JoinSet, time::sleep};

use crate::service::Answering;

/// Time between looks at who the keepers are.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Shares `table` with the other keepers, whoever they are, for as long as `answering` answers;
/// runs until dropped.
pub async fn share(table: Table, answering: Answering) {
    let mut names: Vec<String> = Vec::new();
    let mut tasks = JoinSet::new();
    loop {
        sleep(LOOK_EVERY).await;
        let Some(service) = answering.borrow().clone() else {
            continue;
        };
        let own = service.status().name;
        let others = service
            .keepers()
            .into_iter()
            .filter(|keeper| keeper.name != own);
        let peers: Vec<Peer> = others
            .filter_map(|keeper| service.peer(&keeper.name))
            .collect();
        let now: Vec<String> = peers.iter().map(|peer| peer.name().to_owned()).collect();
        if now != names || tasks.is_empty() {
            info!("shares the endpoints' table", kv: { with = now.join(", ") });
            tasks = table.gossip(peers);
            names = now;
        }
    }
}
