//! Record of whether any byte of a call was handed to a socket.
//!
//! Every connection to an endpoint writes through [`TrackedStream`], which asks the record of the call
//! that it carries before each write. A record can be sealed: from then on no byte of the call can
//! leave, so that "never sent" is known and not guessed from a timeout.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};

/// What is known of one call's bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No byte was handed over; the first may be until the instant given.
    Unsent(Option<Instant>),
    /// At least one byte was accepted by a socket.
    Sent,
    /// No byte was handed over and none will be.
    Sealed,
}

/// The record of one call; clones share it.
#[derive(Clone, Debug)]
pub struct SendState(Arc<Mutex<State>>);

impl Default for SendState {
    fn default() -> Self {
        Self::new()
    }
}

impl SendState {
    /// A record of a call whose first byte may leave at any time.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State::Unsent(None))))
    }

    /// A record of a call whose first byte must leave before `until`.
    pub fn with_deadline(deadline: Instant) -> Self {
        Self(Arc::new(Mutex::new(State::Unsent(Some(deadline)))))
    }

    /// Whether any byte was handed to a socket.
    pub fn has_sent(&self) -> bool {
        *self.lock() == State::Sent
    }

    /// Forbids the first byte; true where none was handed over, which then holds for good.
    pub fn seal(&self) -> bool {
        let mut state = self.lock();
        match *state {
            State::Sent => false,
            State::Unsent(_) | State::Sealed => {
                *state = State::Sealed;
                true
            }
        }
    }

    /// Runs `write` unless the call is sealed or too late, and records whether it took a byte.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        match *state {
            State::Sealed => return Poll::Ready(Err(sealed())),
            State::Unsent(Some(deadline)) if Instant::now() >= deadline => {
                *state = State::Sealed;
                return Poll::Ready(Err(sealed()));
            }
            State::Unsent(_) | State::Sent => {}
        }
        let written = write();
        if matches!(written, Poll::Ready(Ok(n)) if n > 0) {
            *state = State::Sent;
        }
        written
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of this lock panics")
    }
}

fn sealed() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the call may no longer be sent",
    )
}

/// The call that a connection carries now.
#[derive(Clone, Debug, Default)]
pub struct CurrentCall(Arc<Mutex<Option<SendState>>>);

impl CurrentCall {
    /// Makes `handover` the record of what is written from now on.
    pub fn set(&self, send_state: &SendState) {
        *self.0.lock().expect("no holder of this lock panics") = Some(send_state.clone());
    }

    fn get(&self) -> Option<SendState> {
        self.0
            .lock()
            .expect("no holder of this lock panics")
            .clone()
    }
}

/// A stream whose writes are recorded.
#[derive(Debug)]
pub struct TrackedStream<S> {
    stream: S,
    current_call: CurrentCall,
}

impl<S> TrackedStream<S> {
    /// Records the writes of `stream` for the call in `slot`.
    pub fn new(stream: S, current_call: CurrentCall) -> Self {
        Self {
            stream,
            current_call,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Some(call) = self.current_call.get() else {
            return Poll::Ready(Err(sealed()));
        };
        call.write(|| Pin::new(&mut self.stream).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Some(call) = self.current_call.get() else {
            return Poll::Ready(Err(sealed()));
        };
        call.write(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))
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
