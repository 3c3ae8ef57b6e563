//! Responses to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::{
    HeaderMap, StatusCode,
    body::{Body, Frame, SizeHint},
};
use ingress::RequestGuard;
use tokio::sync::mpsc;

/// A complete response from an endpoint.
#[derive(Debug)]
pub(crate) struct WholeResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A part of a stream, or its end.
#[derive(Debug)]
pub enum StreamPart {
    /// Complete events.
    Bytes(Bytes),
    /// The stream is complete.
    End,
}

/// A response to a caller.
#[derive(Debug)]
pub(crate) enum Response {
    /// A complete response.
    Whole(WholeResponse),
    /// A stream. It is complete only with [`StreamPart::End`].
    Streamed {
        status: StatusCode,
        headers: HeaderMap,
        parts: mpsc::Receiver<StreamPart>,
    },
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Whole(Option<Bytes>),
    /// A body that is sent in parts.
    Parts(BodyParts),
}

/// Parts of a body. It fails if their sender is gone before the end.
#[derive(Debug)]
pub struct BodyParts {
    rx: mpsc::Receiver<StreamPart>,
    /// True if the server could write all parts that it was given.
    is_flushed: bool,
}

impl BodyParts {
    /// Creates a body of the parts that `rx` receives.
    pub(crate) fn new(rx: mpsc::Receiver<StreamPart>) -> Self {
        Self {
            rx,
            is_flushed: false,
        }
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match ready!(self.rx.poll_recv(cx)) {
            Some(StreamPart::Bytes(bytes)) => {
                self.is_flushed = false;
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(StreamPart::End) => Poll::Ready(None),
            // The server writes what it has buffered while the body is pending, and drops it once the
            // body fails.
            None if !self.is_flushed => {
                self.is_flushed = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            None => Poll::Ready(Some(Err(io::Error::other("the stream ended early")))),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Parts(parts) => parts.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

/// A response body; the request counts as in progress until the body has been written.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    pub(crate) body: B,
    pub(crate) _serving: RequestGuard,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests;
