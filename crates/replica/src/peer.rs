//! Connections to other replicas, as functions that tests can replace.

use std::{
    fmt::{self, Debug, Formatter},
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use link::{Channel, LinkConfig, LinkError, Peer};

/// Future of the response to a call.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, LinkError>> + Send>>;

/// Link to another replica.
#[derive(Clone)]
pub struct PeerLink {
    /// Member name of the other replica.
    pub name: String,
    /// Sends a request and waits up to the given time for the response.
    pub send: Arc<dyn Fn(Vec<u8>, Duration) -> CallFuture + Send + Sync>,
}

impl Debug for PeerLink {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PeerLink").field(&self.name).finish()
    }
}

impl From<Peer> for PeerLink {
    fn from(peer: Peer) -> Self {
        let name = peer.name().to_owned();
        let send = move |body, limit| -> CallFuture {
            let peer = peer.clone();
            Box::pin(async move { peer.call_bytes(Channel::Agreement, body, limit).await })
        };
        Self {
            name,
            send: Arc::new(send),
        }
    }
}

/// Opens a link to a member added later, given its name and address.
pub type Connect = Arc<dyn Fn(&str, &str) -> Result<PeerLink, String> + Send + Sync>;

/// Returns a function that opens links configured by `cfg`.
pub(crate) fn connect_over_links(cfg: Option<LinkConfig>) -> Connect {
    Arc::new(move |name, address| {
        let cfg = cfg.as_ref().ok_or("no configuration for new links")?;
        let address = address.parse().map_err(|_| {
            format!("the address of {name} is {address:?}; give it as IP:PORT of its link")
        })?;
        Ok(Peer::start(name, address, cfg).into())
    })
}
