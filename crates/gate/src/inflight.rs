//! Counts work in flight, so that a graceful shutdown can wait for it.

use tokio::sync::watch;

/// Number of running pieces of work; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Inflight(watch::Sender<usize>);

/// A running piece of work; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(watch::Sender<usize>);

impl Inflight {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(0))
    }

    /// Starts a piece of work.
    pub(crate) fn track(&self) -> InFlightGuard {
        self.0.send_modify(|n| *n += 1);
        InFlightGuard(self.0.clone())
    }

    /// Number of pieces of work in flight.
    pub(crate) fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// Returns once nothing is in flight.
    pub(crate) async fn wait_idle(&self) {
        // Can't fail: `self` keeps the sender alive.
        let _ = self.0.subscribe().wait_for(|n| *n == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}
