//! Writer to a standard stream that a stalled reader can't block when the process ends.

use std::{
    io::{self, Write},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    stdio::{stderr, stdout},
};

use crate::logger::Stream;

/// Bytes that a pipe accepts without blocking when it polls as writable.
const MAX_WRITE_BYTES: usize = 4_096;
/// Time between checks of `is_ending`.
const POLL_INTERVAL: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 100_000_000,
};

/// A stream that is written to only while it accepts bytes.
#[derive(Debug)]
pub(crate) struct Output {
    stream: Stream,
    /// Set when the process ends. Lines that the reader does not accept are then discarded.
    is_ending: Arc<AtomicBool>,
}

impl Output {
    pub(crate) fn new(stream: Stream, is_ending: Arc<AtomicBool>) -> Self {
        Self { stream, is_ending }
    }

    fn fd(&self) -> BorrowedFd<'static> {
        match self.stream {
            Stream::Stdout => stdout(),
            Stream::Stderr => stderr(),
        }
    }

    /// Waits until the stream accepts bytes. Returns false if the process ends first.
    fn wait_writable(&self) -> io::Result<bool> {
        let fd = self.fd();
        loop {
            let mut fds = [PollFd::from_borrowed_fd(fd.as_fd(), PollFlags::OUT)];
            match poll(&mut fds, Some(&POLL_INTERVAL)) {
                Ok(0) if self.is_ending.load(Ordering::Relaxed) => return Ok(false),
                Ok(0) | Err(rustix::io::Errno::INTR) => {}
                Ok(_) => return Ok(true),
                Err(e) => return Err(e.into()),
            }
        }
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.wait_writable()? {
            // Discards the line, since the process is ending.
            return Ok(buf.len());
        }
        let chunk = &buf[..buf.len().min(MAX_WRITE_BYTES)];
        rustix::io::write(self.fd(), chunk).map_err(io::Error::from)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
