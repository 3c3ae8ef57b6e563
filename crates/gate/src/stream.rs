//! The way from a running request to its caller, for streamed answers.

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::failure::CallError;

/// Events that may wait for a slow caller.
const MAX_WAITING: usize = 64;

/// The sending end; dropping it ends the stream.
#[derive(Clone, Debug)]
pub(crate) struct Sink {
    tx: mpsc::Sender<Bytes>,
    outlives_caller: bool,
}

/// A sink and the receiver of its events. A request that `outlives_caller` goes on when the caller
/// hangs up; its events then go nowhere.
pub(crate) fn channel(outlives_caller: bool) -> (Sink, mpsc::Receiver<Bytes>) {
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    let sink = Sink {
        tx,
        outlives_caller,
    };
    (sink, rx)
}

impl Sink {
    /// Passes events on, as fast as the caller takes them.
    pub(crate) async fn send(&self, events: Bytes) -> Result<(), CallError> {
        match self.tx.send(events).await {
            Err(_) if !self.outlives_caller => Err(CallError::CallerGone),
            _ => Ok(()),
        }
    }

    /// Returns once the caller has hung up on a request that does not outlive it.
    pub(crate) async fn abandoned(&self) {
        match self.outlives_caller {
            true => std::future::pending().await,
            false => self.tx.closed().await,
        }
    }
}
