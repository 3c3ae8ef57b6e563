//! How long a caller takes to send the head of a request.
//!
//! The HTTP library bounds the time until a head is whole, idle time included. A connection may be idle
//! for long; a head that has begun may not. This tells the two apart by the bytes that come.

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

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    /// Nothing has come since the last answer.
    Idle,
    /// A head has begun.
    Head(Instant),
    /// A request is being answered.
    Answering,
}

/// What one connection is at; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct HeadTimer(Arc<Mutex<ConnectionState>>);

impl HeadTimer {
    /// A connection that has just been made.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(ConnectionState::Idle)))
    }

    /// A whole head has come; it is answered until the guard is dropped.
    pub(crate) fn answering(&self) -> AnsweringGuard {
        self.set(ConnectionState::Answering);
        AnsweringGuard(self.clone())
    }

    /// Ends once a head is not whole `limit` after its first byte.
    pub(crate) async fn timed_out(&self, limit: Duration) {
        loop {
            // A check_at once in `limit` costs less than being told of each head.
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

/// A request is being answered for as long as this lives.
#[derive(Debug)]
pub(crate) struct AnsweringGuard(HeadTimer);

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.set(ConnectionState::Idle);
    }
}

/// An answer's body; the request counts as being answered until it has been written.
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

/// A caller's connection whose bytes are tracked.
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
