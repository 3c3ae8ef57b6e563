//! What all requests of one gate share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use link::follower::{Follower, InForce};
use outbound::Pool;
use tokio::sync::watch;

use crate::{
    body::BodyMemory, call_routing::CallRouting, config::Config, inflight::Inflight,
    lag::StreamStats, ledger::Ledger, metrics::Metrics,
};

/// One gate.
#[derive(Debug)]
pub(crate) struct Gate {
    /// Its settings.
    pub(crate) cfg: Config,
    /// Follows the declaration.
    pub(crate) follower: Follower,
    /// What is in force.
    pub(crate) in_force_rx: watch::Receiver<Option<Arc<InForce>>>,
    /// Where calls go.
    pub(crate) routing: CallRouting,
    /// The pace of streams.
    pub(crate) stream_stats: StreamStats,
    /// Connections to endpoints.
    pub(crate) pool: Pool,
    /// The at-most-once ledger.
    pub(crate) ledger: Ledger,
    /// What is measured.
    pub(crate) metrics: Metrics,
    /// What is in flight.
    pub(crate) inflight: Inflight,
    /// Memory for bodies.
    pub(crate) body_memory: BodyMemory,
    /// Whether the order to stop was given.
    pub(crate) draining: watch::Sender<bool>,
    /// Whether neighbours were asked for the endpoints that they know.
    pub(crate) is_warmed_up: AtomicBool,
}

impl Gate {
    /// The declaration in force, once one is known.
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force_rx.borrow().clone()
    }

    /// Whether the order to stop was given.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether a balancer may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_warmed_up = self.is_warmed_up.load(Ordering::Acquire);
        is_warmed_up && !self.is_draining() && self.in_force_rx.borrow().is_some()
    }
}
