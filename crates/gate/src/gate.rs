//! What all requests of one gate share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use link::follower::{ActiveDeclaration, Follower};
use outbound::Pool;
use tokio::sync::watch;

use crate::{
    body::Budget, config::Config, inflight::Inflight, ledger::Ledger, metrics::Metrics,
    pace::Paces, route::Route,
};

/// One gate.
#[derive(Debug)]
pub(crate) struct Gate {
    /// Its settings.
    pub(crate) cfg: Config,
    /// Follows the declaration.
    pub(crate) follower: Follower,
    /// What is in force.
    pub(crate) declared: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
    /// Where calls go.
    pub(crate) route: Route,
    /// The pace of streams.
    pub(crate) paces: Paces,
    /// Connections to endpoints.
    pub(crate) pool: Pool,
    /// The at-most-once ledger.
    pub(crate) ledger: Ledger,
    /// What is measured.
    pub(crate) metrics: Metrics,
    /// What is in flight.
    pub(crate) inflight: Inflight,
    /// Memory for bodies.
    pub(crate) budget: Budget,
    /// Whether the order to stop was given.
    pub(crate) draining: watch::Sender<bool>,
    /// Whether neighbours were asked for the endpoints that they know.
    pub(crate) is_warm: AtomicBool,
}

impl Gate {
    /// The declaration in force, once one is known.
    pub(crate) fn in_force(&self) -> Option<Arc<ActiveDeclaration>> {
        self.declared.borrow().clone()
    }

    /// Whether the order to stop was given.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether a balancer may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_warm = self.is_warm.load(Ordering::Acquire);
        is_warm && !self.is_draining() && self.declared.borrow().is_some()
    }
}
