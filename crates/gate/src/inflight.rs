//! Counts what is in flight, so that a graceful shutdown can wait for all of it.

use tokio::sync::watch;

/// The count; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Inflight(watch::Sender<usize>);

/// One piece of work; dropping it ends it.
#[derive(Debug)]
pub(crate) struct InFlightGuard(watch::Sender<usize>);

impl Inflight {
    /// A count of zero.
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(0))
    }

    /// Begins a piece of work.
    pub(crate) fn track(&self) -> InFlightGuard {
        self.0.send_modify(|n| *n += 1);
        InFlightGuard(self.0.clone())
    }

    /// Pieces of work in flight.
    pub(crate) fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// Returns once nothing is in flight.
    pub(crate) async fn wait_idle(&self) {
        // The sender lives as long as `self`.
        let _ = self.0.subscribe().wait_for(|n| *n == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}
