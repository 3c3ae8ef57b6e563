//! Channel from a running request to the caller's event stream.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use host::problem::Problem;
use tokio::sync::mpsc;

use crate::{error::CallError, sse::write_event};

/// Parts queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 64;

/// A part of a streamed response.
#[derive(Debug)]
pub(crate) enum Part {
    Events(Bytes),
    /// The request failed; always the last part.
    Failed(Box<Problem>),
}

/// Sending half of the channel; the stream ends when it is dropped.
#[derive(Clone, Debug)]
pub(crate) struct EventSink {
    tx: mpsc::Sender<Part>,
    outlives_caller: bool,
}

/// Creates a sink and the receiver of its parts. If `outlives_caller` is set, the request continues
/// after the caller disconnects, and its events are discarded.
pub(crate) fn channel(outlives_caller: bool) -> (EventSink, mpsc::Receiver<Part>) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_PARTS);
    let sink = EventSink {
        tx,
        outlives_caller,
    };
    (sink, rx)
}

impl EventSink {
    /// Sends events, waiting while the queue is full.
    pub(crate) async fn send(&self, events: Bytes) -> Result<(), CallError> {
        match self.tx.send(Part::Events(events)).await {
            Err(_) if !self.outlives_caller => Err(CallError::CallerDisconnected),
            _ => Ok(()),
        }
    }

    /// Ends the stream with a problem.
    pub(crate) async fn fail(&self, problem: Box<Problem>) {
        // The caller may have disconnected.
        let _ = self.tx.send(Part::Failed(problem)).await;
    }

    /// Returns once the caller has disconnected, if the request does not outlive it.
    pub(crate) async fn caller_disconnected(&self) {
        match self.outlives_caller {
            true => std::future::pending().await,
            false => self.tx.closed().await,
        }
    }
}

/// The response body: `first`, then the parts received from `rx`.
pub(crate) fn body(
    first: Bytes,
    rx: mpsc::Receiver<Part>,
) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> {
    stream::unfold((Some(first), rx), |(first, mut rx)| async move {
        let bytes = match first {
            Some(first) => first,
            None => match rx.recv().await? {
                Part::Events(bytes) => bytes,
                Part::Failed(problem) => error_event(&problem),
            },
        };
        Some((Ok(bytes), (None, rx)))
    })
}

fn error_event(problem: &Problem) -> Bytes {
    let mut out = BytesMut::new();
    write_event(&mut out, "error", problem);
    out.freeze()
}
