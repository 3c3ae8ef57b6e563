//! The way from a running request to its caller, for streamed answers.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use host::problem::Problem;
use tokio::sync::mpsc;

use crate::{error::CallError, sse::write_event};

/// Parts that may wait for a slow caller.
const MAX_QUEUED_PARTS: usize = 64;

/// A part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Encoded events.
    Events(Bytes),
    /// The request failed; the last part.
    Failed(Box<Problem>),
}

/// The sending end; dropping it ends the stream.
#[derive(Clone, Debug)]
pub(crate) struct EventSink {
    tx: mpsc::Sender<Part>,
    outlives_caller: bool,
}

/// A sink and the receiver of its parts. A request that `outlives_caller` goes on when the caller
/// hangs up; its events then go nowhere.
pub(crate) fn channel(outlives_caller: bool) -> (EventSink, mpsc::Receiver<Part>) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_PARTS);
    let sink = EventSink {
        tx,
        outlives_caller,
    };
    (sink, rx)
}

impl EventSink {
    /// Passes events on, as fast as the caller takes them.
    pub(crate) async fn send(&self, events: Bytes) -> Result<(), CallError> {
        match self.tx.send(Part::Events(events)).await {
            Err(_) if !self.outlives_caller => Err(CallError::CallerDisconnected),
            _ => Ok(()),
        }
    }

    /// Ends the stream with a problem.
    pub(crate) async fn fail(&self, problem: Box<Problem>) {
        // A caller that is gone needs no answer.
        let _ = self.tx.send(Part::Failed(problem)).await;
    }

    /// Returns once the caller has hung up on a request that does not outlive it.
    pub(crate) async fn caller_disconnected(&self) {
        match self.outlives_caller {
            true => std::future::pending().await,
            false => self.tx.closed().await,
        }
    }
}

/// The response body: `first` and what comes after it.
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
