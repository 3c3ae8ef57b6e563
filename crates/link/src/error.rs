//! Errors of links and calls.

use std::{net::SocketAddr, time::Duration};

use thiserror::Error;

/// Why a link or a call over it failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LinkError {
    /// There was no connection; no byte of the call was sent.
    #[error("call {peer}: not connected; nothing was sent")]
    NotConnected {
        /// Name of the peer.
        peer: String,
    },
    /// Too many calls are pending on the connection; nothing was sent.
    #[error("call {peer}: too many pending calls; nothing was sent")]
    Busy {
        /// Name of the peer.
        peer: String,
    },
    /// The call was sent and the connection was lost before its reply.
    #[error("call {peer}: connection lost before the reply; the call may have taken effect")]
    Lost {
        /// Name of the peer.
        peer: String,
    },
    /// No reply arrived within the timeout; the call may have taken effect.
    #[error("call {peer}: no reply within {waited:?}; the call may have taken effect")]
    TimedOut {
        /// Name of the peer.
        peer: String,
        /// The timeout.
        waited: Duration,
    },
    /// The connection could not be opened.
    #[error("connect to {address}: {reason}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the socket or the handshake.
        reason: String,
    },
    /// The other end did not prove the shared key.
    #[error("handshake with {peer}: key not proved; check [security] link_key_file at both ends")]
    KeyMismatch {
        /// Name of the peer.
        peer: String,
    },
    /// A message could not be decoded, or is not of the expected type.
    #[error("decode message: {0}")]
    Malformed(String),
    /// No frame arrived for the configured time.
    #[error("read from {peer}: silent for {silence:?}")]
    Silent {
        /// Name of the peer.
        peer: String,
        /// The configured time.
        silence: Duration,
    },
    /// The socket failed.
    #[error("{step} {peer}: {reason}")]
    Socket {
        /// The operation that failed, such as `write to`.
        step: &'static str,
        /// Name of the peer.
        peer: String,
        /// Error of the socket.
        reason: String,
    },
}

impl LinkError {
    /// Returns true if the call was certainly not sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::Busy { .. })
    }
}
