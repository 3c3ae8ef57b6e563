//! What can go wrong on a link.

use std::{net::SocketAddr, time::Duration};

use thiserror::Error;

/// Why a link or a call over it failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LinkError {
    /// No byte of the call was handed to a socket.
    #[error("call {peer}: not connected; nothing was sent")]
    NotConnected {
        /// The other end.
        peer: String,
    },
    /// Too many calls wait on the connection; nothing was sent.
    #[error("call {peer}: too many calls are waiting; nothing was sent")]
    Busy {
        /// The other end.
        peer: String,
    },
    /// The call was sent and the connection was lost before its reply.
    #[error("call {peer}: connection lost before the reply; the call may have taken effect")]
    Lost {
        /// The other end.
        peer: String,
    },
    /// No reply within the time given; the call may have taken effect.
    #[error("call {peer}: no reply within {waited:?}; the call may have taken effect")]
    TimedOut {
        /// The other end.
        peer: String,
        /// Time waited.
        waited: Duration,
    },
    /// The connection could not be opened.
    #[error("connect to {address}: {reason}")]
    Connect {
        /// Address tried.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The other end did not prove the shared key.
    #[error("handshake with {peer}: key not proved; check [security] link_key_file at both ends")]
    KeyMismatch {
        /// The other end.
        peer: String,
    },
    /// Bytes that are no message of ours.
    #[error("decode message: {0}")]
    Malformed(String),
    /// Nothing came for the configured time.
    #[error("read from {peer}: silent for {silence:?}")]
    Silent {
        /// The other end.
        peer: String,
        /// The bound.
        silence: Duration,
    },
    /// The socket failed.
    #[error("{step} {peer}: {reason}")]
    Socket {
        /// What was done.
        step: &'static str,
        /// The other end.
        peer: String,
        /// What failed.
        reason: String,
    },
}

impl LinkError {
    /// Whether the call provably was not sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::Busy { .. })
    }
}
