//! Messages between replicas.

use derives::record;
use uuid::Uuid;

use crate::entry::Members;

/// A request from one replica to another.
#[record]
pub(crate) struct Request {
    /// Name of the sender.
    pub from: String,
    /// Identity of the sender's folder.
    pub identity: Uuid,
    /// Term of the sender; for [`RequestBody::PreVote`], the term it would start.
    pub term: u64,
    #[serde(rename = "ask")]
    pub body: RequestBody,
}

/// Operation of a [`Request`].
#[record]
pub(crate) enum RequestBody {
    /// Queries whether a vote would be granted.
    PreVote(Candidate),
    /// Requests a vote.
    Vote(Candidate),
    /// Entries from the leader; a heartbeat if empty.
    Append(Append),
    /// A chunk of a snapshot from the leader.
    Snapshot(SnapshotChunk),
    /// Requests the index that must be applied before a read.
    ReadIndex,
    /// Makes the receiver start an election now, to transfer leadership to it.
    TakeOver,
}

/// State of a candidate and its log.
#[record]
pub(crate) struct Candidate {
    pub last: u64,
    pub last_term: u64,
    /// Index of the latest entry that sets the members.
    pub members_index: u64,
    /// Whether the leader requested this election.
    pub is_transfer: bool,
    /// Initial voters if the candidate has no entries, with identities once agreed on.
    pub founders: Option<Members>,
    /// Whether no voter at all is ahead of the candidate, so that voters with a suspect tail may
    /// vote too.
    #[serde(rename = "has_heard_all")]
    pub is_up_to_date: bool,
}

/// Entries to append after `prev`.
#[record]
pub(crate) struct Append {
    pub prev: u64,
    pub prev_term: u64,
    /// Encoded as described in [`crate::entry`].
    #[serde(with = "serde_bytes")]
    pub entries: Vec<u8>,
    pub commit: u64,
    /// The leader's confirmation round, acknowledged by any response.
    pub round: u64,
    /// Whether earlier entries to the same replica are still in flight.
    pub is_pipelined: bool,
    /// State digests at applied indexes.
    pub digests: Vec<Digest>,
    /// Index that the receiver must reach to clear its suspect tail.
    #[serde(rename = "fill")]
    pub catch_up: Option<CatchUpTarget>,
}

/// Index that a replica with a suspect tail must reach to be complete again.
#[record]
#[derive(Copy, Eq)]
pub(crate) struct CatchUpTarget {
    /// The `suspect_tail` id in the replica's response.
    #[serde(rename = "doubt")]
    pub suspect_tail: Uuid,
    /// The leader's last index when it received that id.
    pub last: u64,
}

/// Digest of the state at an index.
#[record]
#[derive(Copy, Eq)]
pub(crate) struct Digest {
    pub index: u64,
    pub digest: u64,
}

/// A chunk of a snapshot.
#[record]
pub(crate) struct SnapshotChunk {
    pub meta: SnapshotMeta,
    /// Size of the whole state in bytes.
    pub size: u64,
    /// Offset of this chunk in bytes.
    pub offset: u64,
    #[serde(with = "serde_bytes")]
    pub part: Vec<u8>,
}

/// Position in the log that a snapshot covers.
#[record]
#[derive(Eq)]
pub(crate) struct SnapshotMeta {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members at that index.
    pub members: Members,
}

/// A run of consecutive entries of the same term.
#[record]
#[derive(Copy, Eq)]
pub(crate) struct TermRun {
    pub term: u64,
    /// First known index of the term.
    #[serde(rename = "first")]
    pub start: u64,
}

/// Response to a [`Request`].
#[record]
pub(crate) struct Response {
    /// Identity of the responder's folder.
    pub identity: Uuid,
    /// Term of the responder.
    pub term: u64,
    /// Random id of the responder's start if its log has a suspect tail.
    #[serde(rename = "doubt")]
    pub suspect_tail: Option<Uuid>,
    #[serde(rename = "tell")]
    pub body: ResponseBody,
}

/// Result of a [`Request`].
#[record]
pub(crate) enum ResponseBody {
    /// The vote or pre-vote is granted.
    Granted,
    /// The candidate is not behind, but the voter's own log may lack acknowledged entries.
    #[serde(rename = "Doubtful")]
    SuspectTail,
    /// The vote or pre-vote is denied.
    Denied,
    /// The log equals the leader's and is synced up to `matched`.
    Appended { matched: u64 },
    /// The entry at `prev` differs; describes the responder's log, newest terms first.
    Differs { last: u64, runs: Vec<TermRun> },
    /// Offset of the next snapshot chunk; equal to the size once the snapshot is complete.
    Want { offset: u64 },
    /// Response to [`RequestBody::ReadIndex`].
    ReadIndex(u64),
    /// Response to [`RequestBody::TakeOver`].
    TakingOver,
    /// The sender's identity differs from the one recorded for its name.
    WrongIdentity,
    /// The sender is not a member.
    NotMember,
    /// The sender is not the leader of this term, or the receiver is not a leader.
    Refused,
    /// The replica has stopped.
    Stopped,
}
