//! Tracks whether any byte of a call was written to a socket.
//!
//! Every connection to an endpoint writes through [`TrackedStream`], which checks the
//! [`SendState`] of its current call before each write. Once the state of an unsent call is sealed,
//! no byte of it can be written, so that "never sent" is certain instead of inferred from a timeout.

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

/// State of the bytes of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No byte was written. The first may be written before the instant, if there is one.
    Unsent(Option<Instant>),
    /// A socket accepted at least one byte.
    Sent,
    /// No byte was written and none will be.
    Sealed,
}

/// Send state of one call. Clones share it.
#[derive(Clone, Debug)]
pub struct SendState(Arc<Mutex<State>>);

impl Default for SendState {
    fn default() -> Self {
        Self::new()
    }
}

impl SendState {
    /// Creates the state of a call whose first byte may be written at any time.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State::Unsent(None))))
    }

    /// Creates the state of a call whose first byte must be written before `deadline`.
    pub fn with_deadline(deadline: Instant) -> Self {
        Self(Arc::new(Mutex::new(State::Unsent(Some(deadline)))))
    }

    /// Returns true if any byte was written to a socket.
    pub fn has_sent(&self) -> bool {
        *self.lock() == State::Sent
    }

    /// Forbids writing the first byte. Returns true if none was written, which is then final.
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

    /// Runs `write`, unless the call is sealed or past its deadline, and records whether it accepted
    /// a byte.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        match *state {
            State::Sealed => return Poll::Ready(Err(sealed_error())),
            State::Unsent(Some(deadline)) if Instant::now() >= deadline => {
                *state = State::Sealed;
                return Poll::Ready(Err(sealed_error()));
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

fn sealed_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the call may no longer be sent",
    )
}

/// Send state of the call that a connection currently carries. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct CurrentCall(Arc<Mutex<Option<SendState>>>);

impl CurrentCall {
    /// Tracks subsequent writes in `send_state`.
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

/// A stream that tracks its writes in the [`SendState`] of the current call. Fails writes while
/// there is no call.
#[derive(Debug)]
pub struct TrackedStream<S> {
    stream: S,
    current_call: CurrentCall,
}

impl<S> TrackedStream<S> {
    /// Wraps `stream`, tracking its writes for the call in `current_call`.
    pub fn new(stream: S, current_call: CurrentCall) -> Self {
        Self {
            stream,
            current_call,
        }
    }

    /// Returns the send state of the current call.
    fn send_state(&self) -> io::Result<SendState> {
        self.current_call.get().ok_or_else(sealed_error)
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
        let send_state = self.send_state()?;
        send_state.write(|| Pin::new(&mut self.stream).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let send_state = self.send_state()?;
        send_state.write(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))
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
