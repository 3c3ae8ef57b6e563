//! What a keeper's clients ask and what it answers.

use std::{net::SocketAddr, time::Duration};

use declaration::{AuditRecord, Change, Conflict, Document, Fault};
use derives::record;
use uuid::Uuid;

/// Most records in one answer to [`KeeperRequest::Audit`].
pub const MAX_AUDIT_RECORDS: usize = 500;

/// A request to any keeper; a follower passes it to the leader.
#[record]
pub enum KeeperRequest {
    /// Asks for the right to send a call that may not be repeated.
    Intent(Intent),
    /// States what became of a granted call.
    Settle(Settle),
    /// Hands over what became of a granted call while no quorum commits it: this one keeper keeps it
    /// on its disk and settles it later, whatever becomes of the sender.
    Hold(Settle),
    /// The ledger's word on a key.
    Lookup(Uuid),
    /// Asks for, or renews, a lease.
    Lease(LeaseRequest),
    /// Gives a lease up early.
    EndLease {
        /// The lease's name.
        name: String,
        /// The fencing number of the grant.
        fencing: u64,
    },
    /// Submits a change of the declaration.
    Change(Change),
    /// Reads at most [`MAX_AUDIT_RECORDS`] records of the audit trail, from a revision on.
    Audit {
        /// The first revision wanted.
        from: u64,
    },
    /// Replaces the whole declaration under a version that others number.
    Replace(Replacement),
    /// Reads the last replacement as it came, once a quorum confirms that it is the newest.
    Original,
    /// Asks which revision a quorum confirms as the newest, and who the keepers are.
    Confirm,
    /// Asks for the keeper's own wall clock.
    Clock,
    /// Changes the keepers' own group.
    Member {
        /// The VM of the keeper that it is about.
        name: String,
        /// What to do with it.
        action: MemberAction,
    },
}

/// A whole declaration under a version that others number; the highest version wins, whichever
/// comes last.
#[record]
#[derive(Eq)]
pub struct Replacement {
    /// The version.
    pub version: u64,
    /// The document as it came, for reading back.
    #[serde(with = "serde_bytes")]
    pub original: Vec<u8>,
    /// What it declares.
    pub document: Document,
    /// Who sent it.
    pub author: String,
}

/// A keeper and where its link listens.
#[record]
#[derive(Eq)]
pub struct KeeperAddress {
    /// Its name among the members.
    pub name: String,
    /// Its link address.
    pub address: SocketAddr,
    /// Its availability zone, where the answering keeper knows it.
    pub az: Option<String>,
}

/// One change of the keepers' group.
#[record]
#[derive(Eq)]
pub enum MemberAction {
    /// Joins a keeper as a learner.
    Add {
        /// Its link address.
        address: SocketAddr,
    },
    /// Makes a learner that has caught up a voter.
    Promote,
    /// Takes a keeper out.
    Remove {
        /// Do it although the quorum is then one failure from loss.
        force: bool,
    },
}

/// One gate's wish to send one call that may not be repeated.
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
    /// The gate process's incarnation.
    pub incarnation: Uuid,
    /// Identifies this attempt; a resend of the same intent carries the same one.
    pub attempt: Uuid,
    /// The service called.
    pub service: String,
    /// The endpoint that is to get the call.
    pub endpoint: String,
    /// How long after its commit the intent may be sent.
    pub expires: Duration,
}

/// What became of a granted call.
#[record]
#[derive(Eq)]
pub struct Settle {
    /// The caller's idempotency key.
    pub key: Uuid,
    /// The attempt that was granted.
    pub attempt: Uuid,
    /// What became of it.
    pub settlement: Settlement,
}

/// What became of a granted call.
#[record]
#[derive(Eq)]
pub enum Settlement {
    /// It ran; the output is kept for repeats.
    Completed(Output),
    /// It never was sent or provably was refused: the key is free again.
    Released,
    /// It ran and its answer was an error of the service; the status is kept for repeats.
    Refused {
        /// The endpoint's HTTP status.
        status: u16,
        /// The endpoint's words.
        detail: String,
    },
    /// It was sent and its result was never seen.
    Unknown,
}

/// A stored output.
#[record]
#[derive(Eq)]
pub enum Output {
    /// The JSON text, whole.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Too large to keep; its size in bytes.
    TooLarge(u64),
}

/// Asks for a lease on behalf of `holder`; idempotent for the holder of a live lease.
#[record]
#[derive(Eq)]
pub struct LeaseRequest {
    /// The lease's name, such as `controller/sousse-a`.
    pub name: String,
    /// Who asks: one incarnation of one process.
    pub holder: Uuid,
    /// The holder's VM.
    pub vm: String,
    /// How long the lease is to last from its commit.
    pub duration: Duration,
}

/// The answer to a [`KeeperRequest`].
#[record]
pub enum KeeperReply {
    /// To [`KeeperRequest::Intent`].
    Intent(IntentReply),
    /// To [`KeeperRequest::Settle`]: committed, or was before.
    Settled,
    /// To [`KeeperRequest::Hold`]: it is on this keeper's disk.
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
        /// The version that is the newest now.
        version: u64,
        /// False where one as high had been accepted before.
        applied: bool,
    },
    /// To [`KeeperRequest::Original`]: the newest replacement as it came, if there was one.
    Original(Option<serde_bytes::ByteBuf>),
    /// To [`KeeperRequest::Confirm`]: true of a moment after the request was sent.
    Confirmed {
        /// The newest revision.
        revision: u64,
        /// The keepers, voters first.
        keepers: Vec<KeeperAddress>,
    },
    /// To [`KeeperRequest::Clock`].
    Clock {
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// To [`KeeperRequest::Member`]: committed, or was before.
    MemberChanged,
    /// No quorum answers; nothing was applied that this keeper knows of, and a resend is safe.
    NoQuorum,
    /// The request is refused as it stands.
    Invalid(String),
}

/// The answer to an intent.
#[record]
pub enum IntentReply {
    /// The gate may send this one call until the intent expires.
    Granted,
    /// Another attempt has the key and it has not been settled.
    InProgress,
    /// The key was used; here is what became of it.
    Settled(Settlement),
    /// The key was used with another digest.
    Conflict,
    /// The key's time lies before the retention window.
    TooOld,
    /// The key's time lies too far in the future.
    InFuture,
    /// The ledger is full; nothing was recorded.
    Full,
}

impl IntentReply {
    /// Its word in logs.
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

/// The ledger's word on a key.
#[record]
pub enum LedgerEntry {
    /// The key is not in the ledger and may be used.
    Absent,
    /// The key's time lies before the retention window.
    TooOld,
    /// An intent was granted and not yet settled.
    InProgress,
    /// Settled.
    Settled(Settlement),
}

impl LedgerEntry {
    /// Its word in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::TooOld => "too old",
            Self::InProgress => "in progress",
            Self::Settled(_) => "settled",
        }
    }
}

/// The answer to a lease request.
#[record]
pub enum LeaseReply {
    /// The holder has the lease for the duration asked, counted from when it asked.
    Granted {
        /// Log index of the first grant to this holder; orders carry it.
        fencing: u64,
        /// Whether another holder's lease may still be obeyed by endpoints that check no number.
        previous: Option<PreviousLease>,
    },
    /// Another holder has it.
    Held {
        /// That holder's VM.
        vm: String,
        /// The time left, by the leader's view.
        remaining: Duration,
    },
}

/// The lease before a grant, for the wait that non-checking endpoints need.
#[record]
#[derive(Eq)]
pub struct PreviousLease {
    /// Its holder's VM.
    pub vm: String,
    /// Its fencing number.
    pub fencing: u64,
}

/// The answer to a change.
#[record]
pub enum ChangeReply {
    /// In force at `revision`.
    Accepted {
        /// The revision that the change made.
        revision: u64,
        /// False where the change id had been applied before.
        applied: bool,
    },
    /// Sections changed since the base.
    Conflict(Vec<Conflict>),
    /// The document would have faults.
    Invalid(Vec<Fault>),
}
