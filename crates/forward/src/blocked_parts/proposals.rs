//! Tells the keepers which parts are blocked, and compares the list with other gates'.

use std::time::Duration;

use futures_util::future::join;
use link::{
    Channel, Peer,
    keeper::{BlockedPart, KeeperReply, KeeperRequest},
};
use spdlog::{debug, warn};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use super::{
    BlockedParts,
    list::ListView,
    messages::{PartReply, PartRequest},
};
use crate::gates::Gates;

/// Interval at which what the keepers don't know yet is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one request to a keeper.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which the list is compared with that of another gate.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// The same before the first comparison.
const FIRST_COMPARE_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request for another gate's list.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Keeps keepers and gates in agreement on the blocked parts.
#[derive(Debug)]
pub(crate) struct PartSync {
    /// The VM name of this gate.
    pub(crate) vm: String,
    pub(crate) parts: BlockedParts,
    pub(crate) gates: Gates,
    pub(crate) keepers: watch::Receiver<Vec<Peer>>,
}

impl PartSync {
    /// Runs until dropped.
    pub(crate) async fn run(self) {
        join(self.propose(), self.compare()).await;
    }

    /// Sends blocks and withdrawals to the keepers until they have them.
    async fn propose(&self) {
        let mut updates = self.parts.updates();
        loop {
            updates.borrow_and_update();
            let (blocks, withdrawals) = self.parts.update(|state| {
                let now = Instant::now();
                state.list.expire(now);
                let list = &state.list;
                (list.proposals(now), list.proposed_withdrawals())
            });
            for block in blocks {
                self.propose_block(block).await;
            }
            for part in withdrawals {
                self.propose_withdrawal(part).await;
            }
            tokio::select! {
                // The sender lives as long as `self.parts`.
                _ = updates.changed() => {}
                () = sleep(RESEND_INTERVAL) => {}
            }
        }
    }

    async fn propose_block(&self, block: BlockedPart) {
        let (part, proposed_at) = (block.part, Instant::now());
        match self.ask_keepers(&KeeperRequest::BlockPart(block)).await {
            Some(KeeperReply::PartBlocked { is_blocked }) => self.parts.update(|state| {
                let list = &mut state.list;
                list.record_reply(part, is_blocked, proposed_at, Instant::now());
            }),
            reply => warn!("blocked part not stored", kv: {
                part = super::part_name(part), reply = format!("{reply:?}")
            }),
        }
    }

    async fn propose_withdrawal(&self, part: u64) {
        let req = KeeperRequest::UnblockPart {
            part,
            author: self.vm.clone(),
            reason: "an endpoint answered a request with it".to_owned(),
        };
        self.tell_gates(part);
        match self.ask_keepers(&req).await {
            Some(KeeperReply::PartUnblocked { .. }) => {
                self.parts
                    .update(|state| state.list.confirm_withdrawal(part));
            }
            reply => warn!("withdrawn block not stored", kv: {
                part = super::part_name(part), reply = format!("{reply:?}")
            }),
        }
    }

    /// Returns the reply of the first keeper that has a quorum.
    async fn ask_keepers(&self, req: &KeeperRequest) -> Option<KeeperReply> {
        let keepers = self.keepers.borrow().clone();
        for peer in keepers.iter().filter(|peer| peer.is_connected()) {
            let reply = peer.call(Channel::Keeper, req, PROPOSAL_TIMEOUT).await;
            match reply {
                Ok(KeeperReply::NoQuorum) | Err(_) => {}
                Ok(reply) => return Some(reply),
            }
        }
        None
    }

    fn tell_gates(&self, part: u64) {
        for peer in self.gates.linked() {
            let req = PartRequest::Withdraw {
                part,
                age: Duration::ZERO,
            };
            tokio::spawn(async move {
                // A gate that misses this learns of it when it compares its list.
                let _ = peer
                    .call::<_, PartReply>(Channel::Calls, &req, PROPOSAL_TIMEOUT)
                    .await;
            });
        }
    }

    /// Compares the list with that of one linked gate after the other.
    async fn compare(&self) {
        let mut interval = FIRST_COMPARE_INTERVAL;
        for turn in 0_usize.. {
            let linked = self.gates.linked();
            let peer = linked.get(turn % linked.len().max(1));
            let reply = match peer {
                Some(peer) => peer
                    .call(Channel::Calls, &PartRequest::List, COMPARE_TIMEOUT)
                    .await
                    .ok(),
                None => None,
            };
            match reply {
                Some(PartReply::List { blocked, withdrawn }) => {
                    // An empty list may be that of a gate that has just started as well.
                    let is_known = !blocked.is_empty() || !withdrawn.is_empty();
                    let view = ListView { blocked, withdrawn };
                    self.parts
                        .update(|state| state.list.merge(view, Instant::now()));
                    if is_known {
                        self.parts.set_loaded();
                    }
                    interval = COMPARE_INTERVAL;
                }
                reply => debug!("no list of another gate", kv: { reply = format!("{reply:?}") }),
            }
            sleep(interval).await;
        }
    }
}
