//! Limits the time in which a caller may send the head of a request.
//!
//! The HTTP library limits the time until a head is complete, including idle time. A connection may
//! be idle for long, but a head that has started must not be. The incoming bytes distinguish
//! the two.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, sleep_until},
};

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    /// No byte has arrived since the last response.
    Idle,
    /// A head started at this time.
    Head(Instant),
    /// A request is being processed and answered.
    Answering,
}

/// Shared state of one connection. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct HeadTimer(Arc<Mutex<ConnectionState>>);

impl HeadTimer {
    /// Creates the state of a new connection.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(ConnectionState::Idle)))
    }

    /// Marks a head as complete; the connection counts as busy until the guard is dropped.
    pub(crate) fn answering(&self) -> AnsweringGuard {
        self.set(ConnectionState::Answering);
        AnsweringGuard(self.clone())
    }

    /// Completes when a head is still incomplete `limit` after its first byte.
    pub(crate) async fn timed_out(&self, limit: Duration) {
        loop {
            // Polling once per `limit` is cheaper than a notification for each head.
            let check_at = match self.get() {
                ConnectionState::Head(since) if since.elapsed() >= limit => return,
                ConnectionState::Head(since) => since + limit,
                ConnectionState::Idle | ConnectionState::Answering => Instant::now() + limit,
            };
            sleep_until(check_at).await;
        }
    }

    fn record_bytes(&self) {
        if self.get() == ConnectionState::Idle {
            self.set(ConnectionState::Head(Instant::now()));
        }
    }

    fn get(&self) -> ConnectionState {
        *self.0.lock().expect("no holder of this lock panics")
    }

    fn set(&self, state: ConnectionState) {
        *self.0.lock().expect("no holder of this lock panics") = state;
    }
}

/// Marks the connection as busy until dropped.
#[derive(Debug)]
pub(crate) struct AnsweringGuard(HeadTimer);

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.set(ConnectionState::Idle);
    }
}

/// A response body; the request counts as in progress until the body has been written.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    pub(crate) body: B,
    pub(crate) _answering: AnsweringGuard,
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

/// A caller's connection that reports incoming bytes to a [`HeadTimer`].
#[derive(Debug)]
pub(crate) struct TrackedStream<S> {
    pub(crate) stream: S,
    pub(crate) head_timer: HeadTimer,
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.head_timer.record_bytes();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
