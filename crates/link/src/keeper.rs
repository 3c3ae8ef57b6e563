//! Requests of keepers' clients, and the replies.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use declaration::{AuditRecord, Change, Conflict, Document, Fault};
use derives::record;
use uuid::Uuid;

/// Maximum number of records in one reply to [`KeeperRequest::Audit`].
pub const MAX_AUDIT_RECORDS: usize = 500;
/// Maximum number of endpoints, and of requests, named in a [`BlockedPart`].
pub const MAX_BLOCK_EVIDENCE: usize = 8;
/// Maximum number of blocked parts.
pub const MAX_BLOCKED_PARTS: usize = 256;
/// Maximum number of departures in one request or reply.
pub const MAX_DEPARTURES_PER_MESSAGE: usize = 1_024;
/// Maximum number of evacuated availability zones.
pub const MAX_EVACUATED_ZONES: usize = 64;

/// A request to any keeper; a follower forwards it to the leader.
#[record]
pub enum KeeperRequest {
    /// Requests permission to send a call that must not be repeated.
    Intent(Intent),
    /// Reports the outcome of a granted call.
    Settle(Settle),
    /// Hands over the outcome of a granted call while there is no quorum: the receiving keeper stores
    /// it on its disk and settles it later, even if the sender is gone by then.
    Hold(Settle),
    /// Looks up a key in the ledger.
    Lookup(Uuid),
    /// Requests or renews a lease.
    Lease(LeaseRequest),
    /// Releases a lease before it expires.
    EndLease {
        /// The lease's name.
        name: String,
        /// The fencing token of the grant.
        fencing: u64,
    },
    /// Submits a change of the declaration.
    Change(Change),
    /// Reads at most [`MAX_AUDIT_RECORDS`] records of the audit trail, from a revision on.
    Audit {
        /// The first revision to return.
        from: u64,
    },
    /// Replaces the whole declaration under an externally assigned version.
    Replace(Replacement),
    /// Reads the original bytes of the newest replacement, confirmed by a quorum.
    Original,
    /// Requests the newest revision, confirmed by a quorum, and the list of keepers.
    Confirm,
    /// Requests the keeper's wall-clock time.
    Clock,
    /// Changes the membership of the keepers' group.
    Member {
        /// VM of the keeper to add, promote or remove.
        name: String,
        /// The membership change.
        action: MemberAction,
    },
    /// Blocks a part of prompts; idempotent.
    BlockPart(BlockedPart),
    /// Takes back the block of a part, and every decision to block it that was made before.
    UnblockPart {
        /// Hash of the part's id.
        part: u64,
        /// Name of the operator.
        author: String,
        /// Why the block is taken back.
        reason: String,
    },
    /// Requests the blocked parts, confirmed by a quorum.
    BlockedParts,
    /// Records that endpoints are leaving; idempotent. At most [`MAX_DEPARTURES_PER_MESSAGE`].
    Depart(Vec<Departure>),
    /// Requests the departures that were recorded after a version, as far as the receiving keeper
    /// knows them.
    Departures {
        /// The version.
        since: u64,
    },
    /// Orders the evacuation of an availability zone, or the return to it; idempotent.
    Evacuate(ZoneOrder),
    /// Requests the evacuated zones, confirmed by a quorum.
    Evacuations,
}

/// An operator's order to evacuate an availability zone, or to return to it.
#[record]
#[derive(Eq)]
pub struct ZoneOrder {
    /// The availability zone.
    pub zone: String,
    /// True if nothing more may be sent to the zone's endpoints.
    pub is_evacuated: bool,
    /// Name of the operator.
    pub author: String,
    /// Why the order is given.
    pub reason: String,
}

/// An availability zone and the last order that changed it.
#[record]
#[derive(Eq)]
pub struct OrderedZone {
    /// The order.
    pub order: ZoneOrder,
    /// Time of the order, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// An incarnation of an endpoint that is leaving or gone, as are all earlier ones.
#[record]
#[derive(Eq)]
pub struct Departure {
    /// The endpoint's name.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The incarnation.
    #[serde(rename = "i")]
    pub incarnation: Uuid,
}

/// A part of prompts under which endpoints crashed; gates refuse requests with it.
#[record]
#[derive(Eq)]
pub struct BlockedPart {
    /// Hash of the part's id.
    pub part: u64,
    /// Name of the service whose endpoints crashed.
    pub service: String,
    /// Number of crashes known at the decision.
    pub crashes: u32,
    /// Names of endpoints that crashed; at most [`MAX_BLOCK_EVIDENCE`].
    pub endpoints: Vec<String>,
    /// Ids of requests under which they crashed; at most [`MAX_BLOCK_EVIDENCE`].
    pub requests: Vec<String>,
    /// VM of the gate that decided.
    pub source: String,
    /// Time since the decision.
    pub age: Duration,
}

/// A whole declaration under an externally assigned version. The highest version wins, regardless
/// of the order of arrival.
#[record]
#[derive(Eq)]
pub struct Replacement {
    /// The version.
    pub version: u64,
    /// The document's original bytes, for reading back.
    #[serde(with = "serde_bytes")]
    pub original: Vec<u8>,
    /// The parsed document.
    pub document: Document,
    /// Name of the sender.
    pub author: String,
}

/// Address of a keeper's link.
#[record]
#[derive(Eq)]
pub struct KeeperAddress {
    /// Name of the keeper among the members.
    pub name: String,
    /// Address on which its link listens.
    pub address: SocketAddr,
    /// Its availability zone, if known to the replying keeper.
    pub az: Option<String>,
}

/// A membership change of the keepers' group.
#[record]
#[derive(Eq)]
pub enum MemberAction {
    /// Adds a keeper as a learner.
    Add {
        /// Address on which its link listens.
        address: SocketAddr,
    },
    /// Makes a learner that has caught up a voter.
    Promote,
    /// Removes a keeper.
    Remove {
        /// Remove it even if one more failure would then lose the quorum.
        force: bool,
    },
}

/// A gate's intent to send one call that must not be repeated.
#[record]
#[derive(Eq)]
pub struct Intent {
    /// The caller's idempotency key, a UUIDv7.
    pub key: Uuid,
    /// SHA-256 of workspace, pipeline and body.
    #[serde(with = "serde_bytes")]
    pub digest: Vec<u8>,
    /// The gate's VM.
    pub gate: String,
    /// Incarnation of the gate process.
    pub incarnation: Uuid,
    /// Id of this attempt; unchanged when the same intent is resent.
    pub attempt: Uuid,
    /// Name of the called service.
    pub service: String,
    /// Name of the endpoint that the call is sent to.
    pub endpoint: String,
    /// Time after its commit during which the call may be sent.
    pub expires: Duration,
}

/// Report of the outcome of a granted call.
#[record]
#[derive(Eq)]
pub struct Settle {
    /// The caller's idempotency key.
    pub key: Uuid,
    /// The attempt that was granted.
    pub attempt: Uuid,
    /// The outcome.
    pub settlement: Settlement,
}

/// Outcome of a granted call.
#[record]
#[derive(Eq)]
pub enum Settlement {
    /// The call ran; the output is stored for repeated requests.
    Completed(Output),
    /// The call was never sent, or was certainly refused: the key can be used again.
    Released,
    /// The call ran and the service returned an error; the status is stored for repeated requests.
    Refused {
        /// The endpoint's HTTP status.
        status: u16,
        /// Error message of the endpoint.
        detail: String,
    },
    /// The call was sent and its result is unknown.
    Unknown,
}

/// A stored output.
#[record]
#[derive(Eq)]
pub enum Output {
    /// The complete JSON text.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The output was too large to store; its size in bytes.
    TooLarge(u64),
}

/// Requests a lease for `holder`; idempotent while the holder has the lease.
#[record]
#[derive(Eq)]
pub struct LeaseRequest {
    /// The lease's name, such as `controller/sousse-a`.
    pub name: String,
    /// Id of the requesting process's incarnation.
    pub holder: Uuid,
    /// The holder's VM.
    pub vm: String,
    /// Requested duration, counted from the commit.
    pub duration: Duration,
}

/// The reply to a [`KeeperRequest`].
#[record]
pub enum KeeperReply {
    /// To [`KeeperRequest::Intent`].
    Intent(IntentReply),
    /// To [`KeeperRequest::Settle`]: committed now or before.
    Settled,
    /// To [`KeeperRequest::Hold`]: stored on this keeper's disk.
    Held,
    /// To [`KeeperRequest::Lookup`].
    Lookup(LedgerEntry),
    /// To [`KeeperRequest::Lease`].
    Lease(LeaseReply),
    /// To [`KeeperRequest::EndLease`].
    LeaseEnded,
    /// To [`KeeperRequest::Change`].
    Change(ChangeReply),
    /// To [`KeeperRequest::Audit`]: records in order of their revisions; empty past the newest.
    Audit(Vec<AuditRecord>),
    /// To [`KeeperRequest::Replace`].
    Replaced {
        /// The newest version.
        version: u64,
        /// False if this or a higher version had been accepted before.
        applied: bool,
    },
    /// To [`KeeperRequest::Original`]: original bytes of the newest replacement, if any.
    Original(Option<Bytes>),
    /// To [`KeeperRequest::Confirm`]: the state at some time after the request was sent.
    Confirmed {
        /// The newest revision.
        revision: u64,
        /// The keepers, voters first.
        keepers: Vec<KeeperAddress>,
        /// Version of the list of blocked parts; 0 if it never changed.
        #[serde(default)]
        blocked_version: u64,
        /// Version of the recorded departures; 0 if there were none.
        #[serde(default)]
        departures_version: u64,
        /// Version of the evacuations; 0 if there never was one.
        #[serde(default)]
        evacuations_version: u64,
        /// The evacuated availability zones; at most [`MAX_EVACUATED_ZONES`].
        #[serde(default)]
        evacuated_zones: Vec<String>,
    },
    /// To [`KeeperRequest::Clock`].
    Clock {
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// To [`KeeperRequest::Member`]: committed now or before.
    MemberChanged,
    /// To [`KeeperRequest::BlockPart`]: committed now or before.
    PartBlocked {
        /// False if an operator has taken the block back since the decision, or if it has expired.
        is_blocked: bool,
    },
    /// To [`KeeperRequest::UnblockPart`]: committed now or before.
    PartUnblocked {
        /// True if the part was blocked.
        existed: bool,
    },
    /// To [`KeeperRequest::BlockedParts`]: the state at some time after the request was sent.
    BlockedParts {
        /// Version of the list; increases with each change.
        version: u64,
        /// The blocked parts, ordered by part; at most [`MAX_BLOCKED_PARTS`].
        parts: Vec<BlockedPart>,
    },
    /// To [`KeeperRequest::Depart`]: committed now or before.
    Departed,
    /// To [`KeeperRequest::Departures`].
    Departures {
        /// Version up to which the departures are complete.
        version: u64,
        /// The departures, oldest first; at most [`MAX_DEPARTURES_PER_MESSAGE`].
        departures: Vec<Departure>,
    },
    /// To [`KeeperRequest::Evacuate`]: committed now or before.
    Evacuated {
        /// Version of the evacuations.
        version: u64,
        /// False if the zone was in the ordered state already.
        changed: bool,
    },
    /// To [`KeeperRequest::Evacuations`]: the state at some time after the request was sent.
    Evacuations {
        /// Version of the evacuations; increases with each change.
        version: u64,
        /// The zones that are or were evacuated, in order of their names.
        zones: Vec<OrderedZone>,
    },
    /// There is no quorum. As far as this keeper knows nothing was applied; a retry is safe.
    NoQuorum,
    /// The request is invalid; the reason.
    Invalid(String),
}

/// The reply to an intent.
#[record]
pub enum IntentReply {
    /// The gate may send this call once until the intent expires.
    Granted,
    /// Another attempt was granted for the key and is not settled.
    InProgress,
    /// The key was used before; the outcome.
    Settled(Settlement),
    /// The key was used before with another digest.
    Conflict,
    /// The key's timestamp is before the retention window.
    TooOld,
    /// The key's timestamp is too far in the future.
    InFuture,
    /// The ledger is full; nothing was recorded.
    Full,
}

impl IntentReply {
    /// Returns the label used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::InProgress => "in progress",
            Self::Settled(_) => "settled",
            Self::Conflict => "used with another request",
            Self::TooOld => "too old",
            Self::InFuture => "in the future",
            Self::Full => "the ledger is full",
        }
    }
}

/// State of a key in the ledger.
#[record]
pub enum LedgerEntry {
    /// The key is not in the ledger and may be used.
    Absent,
    /// The key's timestamp is before the retention window.
    TooOld,
    /// An intent was granted and is not settled.
    InProgress,
    /// The call is settled; the outcome.
    Settled(Settlement),
}

impl LedgerEntry {
    /// Returns the label used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::TooOld => "too old",
            Self::InProgress => "in progress",
            Self::Settled(_) => "settled",
        }
    }
}

/// The reply to a lease request.
#[record]
pub enum LeaseReply {
    /// The requester has the lease for the requested duration, counted from sending the request.
    Granted {
        /// Fencing token: log index of the first grant to this holder; sent with orders.
        fencing: u64,
        /// A previous lease that endpoints without fencing checks may still obey.
        previous: Option<PreviousLease>,
    },
    /// Another holder has it.
    Held {
        /// That holder's VM.
        vm: String,
        /// Remaining time as estimated by the leader.
        remaining: Duration,
    },
}

/// The lease before a grant; the new holder must wait for endpoints without fencing checks.
#[record]
#[derive(Eq)]
pub struct PreviousLease {
    /// VM of its holder.
    pub vm: String,
    /// Its fencing token.
    pub fencing: u64,
}

/// The reply to a change of the declaration.
#[record]
pub enum ChangeReply {
    /// The change is in force as of `revision`.
    Accepted {
        /// The revision that the change created.
        revision: u64,
        /// False if a change with this id had been applied before.
        applied: bool,
    },
    /// Sections of the change that were modified since its base revision.
    Conflict(Vec<Conflict>),
    /// The resulting document would be invalid; its faults.
    Invalid(Vec<Fault>),
}
