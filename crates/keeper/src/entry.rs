//! Entries of the replicated log.

use declaration::Change;
use derives::record;
use link::keeper::{BlockedPart, Departure, LeaseRequest, Replacement, Settle, ZoneOrder};
use uuid::Uuid;

use crate::declaration_store::MAX_HISTORY_BYTES;

/// The proposing leader's time and limits, so that every replica decides the same regardless of its
/// own clock and settings.
#[record]
#[derive(Copy, Eq)]
pub struct Stamp {
    /// The leader's time, in milliseconds since the Unix epoch.
    #[serde(rename = "n")]
    pub now_ms: u64,
    /// How long ledger keys are kept, counted from the timestamp in the key.
    #[serde(rename = "r")]
    pub retention_ms: u64,
    /// How far a key's timestamp may be ahead of the leader's time.
    #[serde(rename = "s")]
    pub skew_ms: u64,
    /// How long after its expiry an unsettled intent is reported as in progress rather than
    /// `unknown`.
    #[serde(rename = "g")]
    pub grace_ms: u64,
    /// Maximum number of keys in the ledger.
    #[serde(rename = "k")]
    pub max_keys: u64,
    /// Maximum total size of the outputs in the ledger, in bytes.
    #[serde(rename = "o")]
    pub max_total_output_bytes: u64,
    /// Maximum size of the encoded audit records, in bytes; leaders of earlier versions don't name it.
    #[serde(rename = "h", default = "default_history_bytes")]
    pub max_history_bytes: u64,
}

fn default_history_bytes() -> u64 {
    MAX_HISTORY_BYTES as u64
}

/// One entry of the replicated log.
#[record]
pub struct Entry {
    /// The leader's time and limits.
    #[serde(rename = "s")]
    pub stamp: Stamp,
    /// The command to apply.
    #[serde(rename = "c")]
    pub command: Command,
}

/// The state change that an entry requests.
#[record]
pub enum Command {
    /// Requests the right to send a call.
    Intent(GrantIntent),
    /// Records the outcome of a granted call.
    Settle(Settle),
    /// Grants or renews a lease.
    Lease {
        /// The holder and the requested lease.
        request: LeaseRequest,
        /// The state of the lease by the leader's clock.
        view: LeaseView,
    },
    /// Ends a lease early.
    EndLease {
        /// The lease's name.
        name: String,
        /// The fencing token of the grant.
        fencing: u64,
    },
    /// Changes the declaration.
    Change(Change),
    /// Replaces the declaration under an externally assigned version.
    Replace(Replacement),
    /// Blocks a part of prompts; the age counts back from the stamp's time.
    BlockPart(BlockedPart),
    /// Takes the block of a part back.
    UnblockPart {
        /// Hash of the part's id.
        part: u64,
        /// Name of the operator.
        author: String,
        /// Why the block is taken back.
        reason: String,
    },
    /// Advances the state's clock to the stamp's time and ends what has expired.
    Advance,
    /// Records that endpoints are leaving.
    Depart(Vec<Departure>),
    /// Evacuates an availability zone, or returns to it.
    Evacuate(ZoneOrder),
}

/// The part of an intent that the ledger keeps.
#[record]
#[derive(Eq)]
pub struct GrantIntent {
    /// The caller's idempotency key.
    #[serde(rename = "k")]
    pub key: Uuid,
    /// Prefix of the request's digest.
    #[serde(rename = "d", with = "serde_bytes")]
    pub digest: [u8; DIGEST_BYTES],
    /// Identifies the attempt.
    #[serde(rename = "a")]
    pub attempt: Uuid,
    /// How long after the stamp's time the call may be sent.
    #[serde(rename = "e")]
    pub expires_ms: u64,
}

/// Length of the digest prefix that the ledger keeps, in bytes.
pub const DIGEST_BYTES: usize = 16;

/// The state of a lease by the leader's monotonic clock.
#[record]
#[derive(Copy, Default, Eq)]
pub struct LeaseView {
    /// Log index of the last grant or renewal, if that has certainly expired.
    pub expired: Option<u64>,
    /// Remaining time of a lease that has not expired.
    pub remaining_ms: u64,
}
