//! Blocks parts of prompts as gates do.

use std::time::Duration;

use link::{
    Identity, LinkConfig, Peer, Role,
    keeper::{BlockedPart, KeeperReply, KeeperRequest},
    keepers::Keepers,
};
use uuid::Uuid;

use crate::{Env, KEEPER_VMS};

/// Timeout until a quorum has stored the block.
const BLOCK_TIMEOUT: Duration = Duration::from_secs(20);

/// Asks the keepers to block the part with the hash `part` for crashes of `endpoint`.
///
/// # Panics
/// Panics if the keepers don't block it.
pub async fn block_part(env: &Env, part: u64, endpoint: &str) {
    let links = LinkConfig::new(Identity {
        vm: "sousse-a-1".to_owned(),
        az: "sousse-a".to_owned(),
        role: Role::Gate,
        incarnation: Uuid::new_v4(),
    });
    let addresses = KEEPER_VMS.into_iter().filter_map(|vm| env.keeper(vm).link);
    let peers = addresses.map(|address| Peer::start("keeper", address, &links));
    let req = KeeperRequest::BlockPart(BlockedPart {
        part,
        service: "dealer-portal".to_owned(),
        crashes: 3,
        endpoints: vec![endpoint.to_owned()],
        requests: vec!["r-1".to_owned()],
        source: "sousse-a-1".to_owned(),
        age: Duration::ZERO,
    });
    let keepers = Keepers::new(peers.collect());
    let reply = keepers.request(&req, BLOCK_TIMEOUT).await;
    assert_eq!(reply, Ok(KeeperReply::PartBlocked { is_blocked: true }));
}
