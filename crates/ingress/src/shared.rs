//! TCP stream that can be watched while an HTTP library owns it.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// A client's TCP stream. Clones share it; only one of them may be read and written.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Waits until the client has closed its end, also while bytes that it sent before are unread.
    pub async fn closed(&self) {
        // This interest is the only one that also reports the end of the stream and not its data.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection closes with the last clone, which the task that serves it drops next.
        Poll::Ready(Ok(()))
    }
}
