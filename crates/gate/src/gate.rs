//! State shared by all requests of a gate.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use drain::Shutdown;
use link::follower::{ActiveDeclaration, Follower};
use outbound::{BodyMemory, Pool};
use tokio::sync::{Semaphore, watch};

use crate::{
    call_routing::CallRouting, config::Config, inflight::Inflight, lag::StreamStats,
    ledger::Ledger, metrics::Metrics,
};

#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) cfg: Config,
    /// Follows the declaration from keepers and other gates.
    pub(crate) follower: Follower,
    /// The declaration in force, `None` until one is known.
    pub(crate) in_force_rx: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
    /// Endpoint selection, admission and retry budgets.
    pub(crate) routing: CallRouting,
    /// Typical chunk intervals and lengths of streams, by service.
    pub(crate) stream_stats: StreamStats,
    pub(crate) pool: Pool,
    /// Client of the keepers' at-most-once ledger.
    pub(crate) ledger: Ledger,
    pub(crate) metrics: Metrics,
    /// Limits how many refused requests ask the ledger about their keys at one time.
    pub(crate) verifications: Semaphore,
    /// Work that a graceful shutdown waits for.
    pub(crate) inflight: Inflight,
    /// Memory limit for request bodies.
    pub(crate) body_memory: BodyMemory,
    /// Memory for announcements and cache events, which are read while callers' bodies fill theirs.
    pub(crate) announcement_memory: BodyMemory,
    /// True once shutdown was requested.
    pub(crate) draining: watch::Sender<bool>,
    pub(crate) shutdown: Shutdown,
    /// True once neighbouring gates were queried for the endpoints that they know.
    pub(crate) is_warmed_up: AtomicBool,
}

impl Gate {
    /// Returns the declaration in force, if one is known.
    pub(crate) fn in_force(&self) -> Option<Arc<ActiveDeclaration>> {
        self.in_force_rx.borrow().clone()
    }

    /// Returns true once shutdown was requested.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns true if a load balancer may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_warmed_up = self.is_warmed_up.load(Ordering::Acquire);
        is_warmed_up && !self.is_draining() && self.in_force_rx.borrow().is_some()
    }
}
