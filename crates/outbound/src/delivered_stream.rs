//! A TCP stream whose end is reported as an error if the peer can't have read all that was to be written.

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
    delivery::{ConnectionEnd, LastByte, SendQueue},
    held_body::SharedDelivery,
    socket_queue::{has_peer_ended, send_queue},
};

/// Whether the peer has ended a connection, before that is reported to its reader. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerEnded(Arc<AtomicBool>);

impl PeerEnded {
    pub(crate) fn get(&self) -> bool {
        self.0.load(Relaxed)
    }
}

/// A TCP stream that reports its end only once no part of what was written can be on its way, and
/// releases the last byte of a request that is held back.
#[derive(Debug)]
pub(crate) struct DeliveredStream {
    stream: TcpStream,
    delivery: SharedDelivery,
    /// True if the socket accepted everything that was to be written.
    is_flushed: bool,
    peer_ended: PeerEnded,
    /// When the end of the connection was first seen.
    ended_at: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl DeliveredStream {
    /// Wraps `stream`, which records in `delivery` how far the current request has got and sets
    /// `peer_ended` as soon as its end has arrived.
    pub(crate) fn new(stream: TcpStream, delivery: SharedDelivery, peer_ended: PeerEnded) -> Self {
        Self {
            stream,
            delivery,
            is_flushed: true,
            peer_ended,
            ended_at: None,
            timer: None,
        }
    }

    fn send_queue(&self) -> SendQueue {
        // Where the system doesn't tell, what the socket accepted counts as acknowledged.
        send_queue(&self.stream).unwrap_or_default()
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

    /// Releases a byte that is held back when it is due.
    fn poll_last_byte(&mut self, cx: &mut Context<'_>) {
        while self.is_flushed && self.delivery.lock().is_held() && !self.peer_ended.get() {
            let queue = self.send_queue();
            let last_byte = self.delivery.lock().poll_last_byte(Instant::now(), queue);
            match last_byte {
                LastByte::Due => return self.release(cx),
                LastByte::Held(until) if self.poll_timer(cx, until).is_ready() => {}
                LastByte::Held(_) | LastByte::NotHeld => return,
            }
        }
    }

    /// Lets the body yield its last byte, unless the peer has ended the connection.
    fn release(&self, cx: &Context<'_>) {
        if has_peer_ended(&self.stream).unwrap_or(false) {
            self.peer_ended.0.store(true, Relaxed);
            return;
        }
        self.delivery.lock().release();
        // The body was polled before this stream.
        cx.waker().wake_by_ref();
    }

    /// Returns once it is known what the end of the stream means.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.peer_ended.0.store(true, Relaxed);
        if !self.is_flushed {
            return Poll::Ready(Err(unread_error()));
        }
        let ended = *self.ended_at.get_or_insert_with(Instant::now);
        loop {
            let now = Instant::now();
            let end = self.delivery.lock().on_end(now, ended, self.send_queue());
            match end {
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
        if let Poll::Ready(Ok(_)) = written {
            self.delivery.lock().record_write(Instant::now());
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
            Poll::Ready(Ok(())) => {
                self.delivery.lock().record_read();
                polled
            }
            Poll::Pending | Poll::Ready(Err(_)) => polled,
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

    /// The HTTP library flushes whenever it is polled and its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.is_flushed |= matches!(polled, Poll::Ready(Ok(())));
        self.poll_last_byte(cx);
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
