//! What a process says of itself on a link, and the link's bounds.

use std::time::Duration;

use derives::{record, token};

/// What a process does.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Gate,
    /// Holds the replicated log.
    Keeper,
    /// Gives orders to engines.
    Controller,
    /// Serves the operators' forms.
    Console,
    /// Development and tests.
    Bench,
}

/// Who is at one end of a link.
#[record]
#[derive(Eq)]
pub struct Identity {
    /// The VM's name.
    pub vm: String,
    /// Its availability zone.
    pub az: String,
    /// What the process does.
    pub role: Role,
    /// Distinguishes restarts of the same process.
    pub incarnation: uuid::Uuid,
}

/// How a process keeps its links.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// This end.
    pub identity: Identity,
    /// Shared key that both ends prove, if any.
    pub key: Option<Vec<u8>>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// A connection without a frame for this long is dropped.
    pub idle_timeout: Duration,
    /// Bound on connecting and the handshake.
    pub connect_timeout: Duration,
    /// Longest pause between attempts to connect.
    pub max_backoff: Duration,
    /// Largest frame in bytes.
    pub max_frame_bytes: usize,
    /// Most calls that wait for a reply on one connection.
    pub max_pending: usize,
}

impl LinkConfig {
    /// Safe defaults for `identity` without a key.
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
        }
    }
}
