//! Limits what is read of a response without yielding a part of it, such as an endless chunk size.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes read without a part of a response; more than the HTTP library buffers for a head or a
/// part of a body.
pub(crate) const MAX_UNDELIVERED_BYTES: usize = 1 << 20;

/// Bytes read since the last part of a response was delivered. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Undelivered(Arc<AtomicUsize>);

impl Undelivered {
    /// Starts over, after a part was delivered or before a call is sent.
    pub(crate) fn reset(&self) {
        self.0.store(0, Relaxed);
    }
}

/// A stream whose reads fail once more than [`MAX_UNDELIVERED_BYTES`] were read without a part.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    undelivered: Undelivered,
}

impl<S> LimitedStream<S> {
    /// Wraps `stream`, counting what is read from it in `undelivered`.
    pub(crate) fn new(stream: S, undelivered: Undelivered) -> Self {
        Self {
            stream,
            undelivered,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.undelivered.0.load(Relaxed) > MAX_UNDELIVERED_BYTES {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("no part of the response in {MAX_UNDELIVERED_BYTES} bytes"),
            )));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.undelivered
            .0
            .fetch_add(buf.filled().len() - before, Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
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
