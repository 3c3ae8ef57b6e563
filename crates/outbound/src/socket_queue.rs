//! Reads what the kernel knows of a TCP connection.

#[cfg(target_os = "linux")]
use std::ffi::c_int;
use std::{io, os::fd::AsFd};

#[cfg(target_os = "linux")]
use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    ioctl::{Getter, Opcode, ioctl},
};

use crate::delivery::SendQueue;

/// Returns what the kernel holds of the bytes written to `socket`.
#[cfg(target_os = "linux")]
pub(crate) fn send_queue(socket: &impl AsFd) -> io::Result<SendQueue> {
    /// `SIOCOUTQ` and `SIOCOUTQNSD` of tcp(7), the same on all architectures with the generic numbers.
    const SIOCOUTQ: Opcode = 0x5411;
    const SIOCOUTQNSD: Opcode = 0x894b;

    let unacknowledged = queued_bytes::<SIOCOUTQ>(socket)?;
    Ok(SendQueue {
        unacknowledged,
        unsent: queued_bytes::<SIOCOUTQNSD>(socket).unwrap_or(unacknowledged),
    })
}

/// Calls an ioctl(2) that returns a number of bytes.
#[cfg(target_os = "linux")]
#[expect(unsafe_code, reason = "no well-kept library has a safe call for this")]
fn queued_bytes<const OPCODE: Opcode>(socket: &impl AsFd) -> io::Result<u64> {
    // SAFETY: the opcodes above write a `c_int` and have no other effect.
    let queued = unsafe { ioctl(socket, Getter::<OPCODE, c_int>::new()) }?;
    Ok(u64::try_from(queued).unwrap_or(0))
}

/// Returns an error: this system does not tell.
#[cfg(not(target_os = "linux"))]
pub(crate) fn send_queue(_socket: &impl AsFd) -> io::Result<SendQueue> {
    Err(io::ErrorKind::Unsupported.into())
}

/// Returns true if the peer has ended or reset the connection, also while data before that is unread.
#[cfg(target_os = "linux")]
pub(crate) fn has_peer_ended(socket: &impl AsFd) -> io::Result<bool> {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let ready = poll(&mut fds, Some(&Timespec::default()))?;
    Ok(ready > 0)
}

/// Returns false: without `POLLRDHUP` of poll(2) only reads tell.
#[cfg(not(target_os = "linux"))]
pub(crate) fn has_peer_ended(_socket: &impl AsFd) -> io::Result<bool> {
    Ok(false)
}
