//! Reads the send queue of a TCP socket.

use std::{io, os::fd::AsFd};

/// Returns how many written bytes the peer's host has not acknowledged.
#[cfg(target_os = "linux")]
#[expect(unsafe_code, reason = "no well-kept library has a safe call for this")]
pub(crate) fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<u64> {
    use std::ffi::c_int;

    use rustix::ioctl::{Getter, Opcode, ioctl};

    /// `SIOCOUTQ` of tcp(7), the same on all architectures with the generic numbers.
    const SIOCOUTQ: Opcode = 0x5411;

    // SAFETY: `SIOCOUTQ` writes a `c_int` and has no other effect.
    let queued = unsafe { ioctl(socket, Getter::<SIOCOUTQ, c_int>::new()) }?;
    Ok(u64::try_from(queued).unwrap_or(0))
}

/// Returns an error: this system does not tell.
#[cfg(not(target_os = "linux"))]
pub(crate) fn unacknowledged_bytes(_socket: &impl AsFd) -> io::Result<u64> {
    Err(io::ErrorKind::Unsupported.into())
}
