//! Identity of a process on its links, and timing and limits of a link.

use std::time::Duration;

use derives::{record, token};

/// Kind of process.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts callers' requests.
    Gate,
    /// Stores the replicated log.
    Keeper,
    /// Sends orders to engines.
    Controller,
    /// Serves the operators' web pages.
    Console,
    /// Development and tests.
    Bench,
}

/// Identity of the process at one end of a link.
#[record]
#[derive(Eq)]
pub struct Identity {
    /// Name of the VM.
    pub vm: String,
    /// The VM's availability zone.
    pub az: String,
    /// Kind of the process.
    pub role: Role,
    /// Distinguishes restarts of the same process.
    pub incarnation: uuid::Uuid,
}

/// Timing and limits of a process's links.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Identity of this process.
    pub identity: Identity,
    /// Shared key that both ends must prove, if any.
    pub key: Option<Vec<u8>>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a received frame, or in a blocked write, after which a connection is dropped.
    pub idle_timeout: Duration,
    /// Maximum time for connecting and the handshake.
    pub connect_timeout: Duration,
    /// Maximum delay between attempts to connect.
    pub max_backoff: Duration,
    /// Maximum size of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of pending calls on one connection.
    pub max_pending: usize,
    /// Maximum number of accepted connections that have not completed their handshake.
    pub max_unverified: usize,
}

impl LinkConfig {
    /// Returns the defaults for `identity`, without a key.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            key: None,
            heartbeat_interval: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            max_backoff: Duration::from_secs(1),
            max_frame_bytes: 64 << 20,
            max_pending: 4_096,
            max_unverified: 256,
        }
    }
}
