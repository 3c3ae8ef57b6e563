//! A TCP stream whose end is reported as an error if the peer has not taken all that was written.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

use crate::{
    delivery::{ConnectionEnd, Delivery},
    socket_queue::unacknowledged_bytes,
};

/// Whether the peer has ended a connection, before that is reported to its reader. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerEnded(Arc<AtomicBool>);

impl PeerEnded {
    pub(crate) fn get(&self) -> bool {
        self.0.load(Relaxed)
    }
}

/// A TCP stream that reports its end only once no part of what was written can be on its way.
#[derive(Debug)]
pub(crate) struct DeliveredStream {
    stream: TcpStream,
    delivery: Delivery,
    /// True if the socket accepted everything that was to be written.
    is_flushed: bool,
    peer_ended: PeerEnded,
    timer: Option<Pin<Box<Sleep>>>,
}

impl DeliveredStream {
    /// Wraps `stream`, which sets `peer_ended` as soon as its end has arrived.
    pub(crate) fn new(stream: TcpStream, peer_ended: PeerEnded) -> Self {
        Self {
            stream,
            delivery: Delivery::default(),
            is_flushed: true,
            peer_ended,
            timer: None,
        }
    }

    fn update_delivery(&mut self, now: Instant) {
        // Where the system doesn't tell, what the socket accepted counts as acknowledged.
        let unacknowledged = unacknowledged_bytes(&self.stream).unwrap_or(0);
        self.delivery.record_unacknowledged(now, unacknowledged);
    }

    /// Returns once `instant` has passed; wakes `cx` then.
    fn poll_timer(&mut self, cx: &mut Context<'_>, instant: Instant) -> Poll<()> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(instant)));
        if timer.deadline() != instant {
            timer.as_mut().reset(instant);
        }
        timer.as_mut().poll(cx)
    }

    /// Follows the delivery of what was written while nothing can be read.
    fn poll_delivery(&mut self, cx: &mut Context<'_>) {
        loop {
            let now = Instant::now();
            if self.is_flushed && self.delivery.next_poll(now).is_some() {
                self.update_delivery(now);
            }
            let Some(next) = self.delivery.next_poll(now).filter(|_| self.is_flushed) else {
                return;
            };
            if self.poll_timer(cx, next).is_pending() {
                return;
            }
        }
    }

    /// Returns once it is known what the end of the stream means.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.peer_ended.0.store(true, Relaxed);
        if !self.is_flushed {
            return Poll::Ready(Err(unread_error()));
        }
        loop {
            let now = Instant::now();
            self.update_delivery(now);
            match self.delivery.on_end(now) {
                ConnectionEnd::Unread => return Poll::Ready(Err(unread_error())),
                ConnectionEnd::Undecided(until) if self.poll_timer(cx, until).is_pending() => {
                    return Poll::Pending;
                }
                ConnectionEnd::Undecided(_) => {}
                // A reset is no error of a read after the end of the stream.
                ConnectionEnd::Complete => {
                    let error = self.stream.take_error()?;
                    return Poll::Ready(error.map_or(Ok(()), Err));
                }
            }
        }
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        self.is_flushed = false;
        if let Poll::Ready(Ok(n)) = written {
            self.delivery.record_write(Instant::now(), *n as u64);
        }
    }
}

fn unread_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionReset,
        "the peer ended the connection before it had read the call",
    )
}

impl AsyncRead for DeliveredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buf.remaining();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(())) if room > 0 && buf.remaining() == room => self.poll_end(cx),
            Poll::Pending => {
                self.poll_delivery(cx);
                Poll::Pending
            }
            Poll::Ready(_) => polled,
        }
    }
}

impl AsyncWrite for DeliveredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.is_flushed |= matches!(polled, Poll::Ready(Ok(())));
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
