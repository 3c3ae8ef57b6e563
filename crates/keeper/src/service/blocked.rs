//! The keeper's part in blocked parts of prompts: reads of the list, and the end of blocks.

use std::time::Duration;

use link::keeper::KeeperReply;
use replica::Role;
use spdlog::warn;
use tokio::time::sleep;

use super::Service;
use crate::entry::Command;

/// Time between checks for expired blocks.
const EXPIRY_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Service {
    /// Returns the list of blocked parts, confirmed by a quorum.
    pub(super) async fn blocked_parts(&self) -> KeeperReply {
        if !self.is_current().await {
            return KeeperReply::NoQuorum;
        }
        let now = self.clock.now_ms().unwrap_or_default();
        self.state.read(|state| KeeperReply::BlockedParts {
            version: state.blocked_parts.version(),
            parts: state.blocked_parts.list(now.max(state.clock_ms())),
        })
    }

    /// Ends blocks that expire while nothing else advances the state's clock, as long as this keeper
    /// leads; runs until dropped.
    pub(crate) async fn expire_blocks(&self) {
        loop {
            sleep(EXPIRY_POLL_INTERVAL).await;
            if self.status().role != Role::Leader || !self.has_expired_block() {
                continue;
            }
            if let Err(e) = self.propose_command(Command::Advance).await {
                warn!("expired blocks are kept for now: {e}");
            }
        }
    }

    fn has_expired_block(&self) -> bool {
        let now = self.clock.now_ms();
        now.is_some_and(|now| {
            self.state
                .read(|state| state.blocked_parts.has_expired(now))
        })
    }
}
