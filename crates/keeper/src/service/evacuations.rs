//! The keeper's part in evacuations of availability zones: reads of the orders.

use link::keeper::KeeperReply;

use super::Service;

impl Service {
    /// Returns the orders about zones, confirmed by a quorum.
    pub(super) async fn evacuations(&self) -> KeeperReply {
        if !self.is_current().await {
            return KeeperReply::NoQuorum;
        }
        self.state.read(|state| KeeperReply::Evacuations {
            version: state.evacuations.version(),
            zones: state.evacuations.zones().collect(),
        })
    }
}
