//! A stream that is never read beyond the end of a WebSocket frame.
//!
//! The WebSocket library can't change the limits of an open socket. A connection therefore gets a new
//! socket after its handshake, which loses nothing only if the old one has buffered nothing.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of the fixed part of a frame's head.
const MIN_HEAD_BYTES: usize = 2;
const MASK_BYTES: usize = 4;

/// Reads at most to the end of the current head or payload.
#[derive(Debug)]
pub(crate) struct ExactReads<S> {
    stream: S,
    head: Vec<u8>,
    /// Bytes of the payload that have not been read.
    payload: u64,
}

impl<S> ExactReads<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            head: Vec::new(),
            payload: 0,
        }
    }

    pub(crate) fn into_inner(self) -> S {
        self.stream
    }

    /// Returns the number of bytes that may be read at once.
    fn wanted(&self) -> u64 {
        match self.payload {
            0 => (head_bytes(&self.head) - self.head.len()) as u64,
            payload => payload,
        }
    }

    fn advance(&mut self, read: &[u8]) {
        if self.payload > 0 {
            self.payload -= read.len() as u64;
            return;
        }
        self.head.extend_from_slice(read);
        if self.head.len() >= MIN_HEAD_BYTES && self.head.len() == head_bytes(&self.head) {
            self.payload = payload_bytes(&self.head);
            self.head.clear();
        }
    }
}

/// Returns the size of the head that starts with `head`, as far as it is known.
fn head_bytes(head: &[u8]) -> usize {
    let Some(second) = head.get(1) else {
        return MIN_HEAD_BYTES;
    };
    let mask = if second & 0x80 == 0 { 0 } else { MASK_BYTES };
    MIN_HEAD_BYTES + length_bytes(*second) + mask
}

/// Returns the size of the extended length that the second byte of a head announces.
fn length_bytes(second: u8) -> usize {
    match second & 0x7f {
        126 => 2,
        127 => 8,
        _ => 0,
    }
}

/// Returns the size of the payload after a complete head.
fn payload_bytes(head: &[u8]) -> u64 {
    let extended = &head[MIN_HEAD_BYTES..MIN_HEAD_BYTES + length_bytes(head[1])];
    match extended {
        [] => u64::from(head[1] & 0x7f),
        bytes => bytes.iter().fold(0, |n, byte| n << 8 | u64::from(*byte)),
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ExactReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wanted = usize::try_from(self.wanted()).unwrap_or(usize::MAX);
        let unfilled = buf.initialize_unfilled_to(wanted.min(buf.remaining()));
        let mut limited = ReadBuf::new(unfilled);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut limited))?;
        let read = limited.filled().len();
        self.advance(limited.filled());
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ExactReads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
