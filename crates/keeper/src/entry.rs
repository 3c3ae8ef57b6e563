//! The entries of the keepers' log.

use declaration::Change;
use derives::record;
use link::keeper::{LeaseRequest, Replacement, Settle};
use uuid::Uuid;

/// What the proposing leader adds to a command, so that every replica decides alike whatever its
/// own clock and settings say.
#[record]
#[derive(Copy, Eq)]
pub struct Stamp {
    /// The leader's time, in milliseconds since the Unix epoch.
    #[serde(rename = "n")]
    pub now_ms: u64,
    /// How long ledger keys are kept, counted from the time that they carry.
    #[serde(rename = "r")]
    pub retention_ms: u64,
    /// How far a key's time may lie ahead of the leader's.
    #[serde(rename = "s")]
    pub skew_ms: u64,
    /// How long after its expiry an intent may be settled before others are told `unknown`.
    #[serde(rename = "g")]
    pub grace_ms: u64,
    /// Most keys in the ledger.
    #[serde(rename = "k")]
    pub max_keys: u64,
    /// Most bytes of outputs in the ledger.
    #[serde(rename = "o")]
    pub max_total_output_bytes: u64,
}

/// One entry.
#[record]
pub struct Entry {
    /// The leader's time and limits.
    #[serde(rename = "s")]
    pub stamp: Stamp,
    /// What to do.
    #[serde(rename = "c")]
    pub command: Command,
}

/// What an entry does.
#[record]
pub enum Command {
    /// Grants the right to send a call, or says why not.
    Intent(GrantIntent),
    /// ChunkedMap what became of a granted call.
    Settle(Settle),
    /// Grants or renews a lease.
    Lease {
        /// Who asks for what.
        request: LeaseRequest,
        /// The leader's word on the lease as it stands.
        view: LeaseView,
    },
    /// Ends a lease early.
    EndLease {
        /// The lease's name.
        name: String,
        /// The fencing number of the grant.
        fencing: u64,
    },
    /// Changes the declaration.
    Change(Change),
    /// Replaces the declaration under a version that others number.
    Replace(Replacement),
}

/// The part of an intent that the ledger keeps.
#[record]
#[derive(Eq)]
pub struct GrantIntent {
    /// The caller's idempotency key.
    #[serde(rename = "k")]
    pub key: Uuid,
    /// The first bytes of the request's digest.
    #[serde(rename = "d", with = "serde_bytes")]
    pub digest: [u8; DIGEST_BYTES],
    /// Identifies the attempt.
    #[serde(rename = "a")]
    pub attempt: Uuid,
    /// How long after the stamp the call may be sent.
    #[serde(rename = "e")]
    pub expires_ms: u64,
}

/// Bytes of a request's digest that the ledger keeps.
pub const DIGEST_BYTES: usize = 16;

/// What the leader's monotonic clock says of a lease.
#[record]
#[derive(Copy, Default, Eq)]
pub struct LeaseView {
    /// The log index of a grant or renewal that is over for certain.
    pub expired: Option<u64>,
    /// Time left of the lease otherwise.
    pub remaining_ms: u64,
}
