//! The way from a running request to its caller, for streamed answers.

use std::{future::poll_fn, pin::Pin, task::Poll};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use host::problem::Problem;
use tokio::sync::mpsc;

use crate::sse::write_event;

/// Parts that may wait for a slow caller.
const MAX_WAITING: usize = 64;

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
pub(crate) struct Sink(mpsc::Sender<Part>);

/// A sink and the receiver of its parts.
pub(crate) fn channel() -> (Sink, mpsc::Receiver<Part>) {
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    (Sink(tx), rx)
}

impl Sink {
    /// Passes events on, as fast as the caller takes them; those for a caller that is gone go
    /// nowhere.
    pub(crate) async fn send(&self, events: Bytes) {
        let _ = self.0.send(Part::Events(events)).await;
    }

    /// Ends the stream with a problem.
    pub(crate) async fn fail(&self, problem: Box<Problem>) {
        // A caller that is gone needs no answer.
        let _ = self.0.send(Part::Failed(problem)).await;
    }
}

/// The parts of a streamed answer as they come, with the work that makes them.
pub(crate) struct Parts {
    /// Polled by whoever waits for a part, so that a token wakes one task and not two.
    work: Option<Work>,
    rx: mpsc::Receiver<Part>,
}

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

impl Parts {
    /// Parts of `work`, which ends when they are dropped.
    pub(crate) fn of(
        work: impl Future<Output = ()> + Send + 'static,
        rx: mpsc::Receiver<Part>,
    ) -> Self {
        let work: Work = Box::pin(work);
        Self {
            work: Some(work),
            rx,
        }
    }

    /// Parts of `work`, which goes on in its own task when they are dropped.
    pub(crate) fn of_task(
        work: impl Future<Output = ()> + Send + 'static,
        rx: mpsc::Receiver<Part>,
    ) -> Self {
        tokio::spawn(work);
        Self { work: None, rx }
    }

    /// The next part; `None` once the work has ended.
    pub(crate) async fn next(&mut self) -> Option<Part> {
        poll_fn(|cx| {
            if let Ok(part) = self.rx.try_recv() {
                return Poll::Ready(Some(part));
            }
            let is_done = |work: &mut Work| work.as_mut().poll(cx).is_ready();
            if self.work.as_mut().is_some_and(is_done) {
                self.work = None;
            }
            self.rx.poll_recv(cx)
        })
        .await
    }
}

/// The response body: `first` and what comes after it.
pub(crate) fn body(
    first: Bytes,
    parts: Parts,
) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> {
    stream::unfold((Some(first), parts), |(first, mut parts)| async move {
        let bytes = match first {
            Some(first) => first,
            None => match parts.next().await? {
                Part::Events(bytes) => bytes,
                Part::Failed(problem) => error_event(&problem),
            },
        };
        Some((Ok(bytes), (None, parts)))
    })
}

fn error_event(problem: &Problem) -> Bytes {
    let mut out = BytesMut::new();
    write_event(&mut out, "error", problem);
    out.freeze()
}
