//! Stream that reports its progress and fails once its connection is to be closed.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::listener::Lease;

/// A client's connection.
#[derive(Debug)]
pub struct LimitedStream<S> {
    stream: S,
    lease: Lease,
    /// A write waits for the client.
    is_blocked: bool,
    /// A read was put off until the client takes what was written.
    is_read_withheld: bool,
}

impl<S> LimitedStream<S> {
    /// Wraps `stream`, which was admitted with `lease`.
    pub fn new(stream: S, lease: Lease) -> Self {
        Self {
            stream,
            lease,
            is_blocked: false,
            is_read_withheld: false,
        }
    }

    /// Returns the stream without its lease.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    fn check(&self) -> io::Result<()> {
        match self.lease.close_reason() {
            None => Ok(()),
            Some(reason) => Err(io::Error::new(io::ErrorKind::TimedOut, reason.label())),
        }
    }

    /// Records the result of a write. Only a change from or to a blocked write reaches the table.
    fn after_write<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        cx: &Context<'_>,
    ) -> Poll<io::Result<T>> {
        match (&polled, self.is_blocked) {
            (Poll::Pending, false) => {
                self.is_blocked = true;
                self.lease.record_write(true);
                self.lease.register(cx.waker());
            }
            (Poll::Ready(Ok(_)), true) => {
                self.is_blocked = false;
                self.lease.record_write(false);
                if std::mem::take(&mut self.is_read_withheld) {
                    cx.waker().wake_by_ref();
                }
            }
            _ => {}
        }
        polled
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check()?;
        if self.is_blocked && self.lease.is_read_ahead() {
            self.is_read_withheld = true;
            self.lease.register(cx.waker());
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_pending() {
            self.lease.register(cx.waker());
            // The connection may have been told to close before the waker was registered.
            self.check()?;
        } else {
            let bytes = buf.filled().len() - before;
            if bytes > 0 {
                self.lease.record_read(bytes);
            }
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.after_write(polled, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.after_write(polled, cx)
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
