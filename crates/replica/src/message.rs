//! What replicas say to each other.

use derives::record;
use uuid::Uuid;

use crate::entry::Members;

/// A request of one replica to another.
#[record]
pub(crate) struct Request {
    /// The asking replica's name.
    pub from: String,
    /// The identity of its folder.
    pub identity: Uuid,
    /// Its term; for [`Ask::PreVote`], the term that it would begin.
    pub term: u64,
    #[serde(rename = "ask")]
    pub body: RequestBody,
}

/// What is asked.
#[record]
pub(crate) enum RequestBody {
    /// Would a vote be given?
    PreVote(Candidate),
    /// A vote.
    Vote(Candidate),
    /// Entries from the leader, or none as a heartbeat.
    Append(Append),
    /// A part of a snapshot from the leader.
    Snapshot(SnapshotChunk),
    /// The index up to which a read must have been applied.
    ReadIndex,
    /// Begin an election now: the leader stops.
    TakeOver,
}

/// How far a candidate's log goes.
#[record]
pub(crate) struct Candidate {
    pub last: u64,
    pub last_term: u64,
    /// The index of the entry that names the members.
    pub members_index: u64,
    /// Whether the leader asked for this election itself.
    pub is_transfer: bool,
    /// The first voters, where the candidate has no entry yet; their identities once agreed on.
    pub founders: Option<Members>,
    /// Whether no voter at all is ahead of the candidate, so that those in doubt may vote too.
    #[serde(rename = "has_heard_all")]
    pub is_up_to_date: bool,
}

/// Entries that follow `prev`.
#[record]
pub(crate) struct Append {
    pub prev: u64,
    pub prev_term: u64,
    /// In the binary form of [`crate::entry`].
    #[serde(with = "serde_bytes")]
    pub entries: Vec<u8>,
    pub commit: u64,
    /// The leader's round of confirmation, which the answer confirms by coming.
    pub round: u64,
    /// Whether earlier entries are still under way to the same replica.
    pub is_pipelined: bool,
    /// State digests at applied indexes.
    pub digests: Vec<Digest>,
    /// What ends the doubt of the replica that this goes to.
    #[serde(rename = "fill")]
    pub catch_up: Option<CatchUpTarget>,
}

/// How far a replica in doubt must follow to be sure again.
#[record]
#[derive(Copy, Eq)]
pub(crate) struct CatchUpTarget {
    /// The doubt that this is about.
    #[serde(rename = "doubt")]
    pub suspect_tail: Uuid,
    /// The leader's last index when it heard of the doubt.
    pub last: u64,
}

/// The state's digest at an index.
#[record]
#[derive(Copy, Eq)]
pub(crate) struct Digest {
    pub index: u64,
    pub digest: u64,
}

/// A part of a snapshot.
#[record]
pub(crate) struct SnapshotChunk {
    pub meta: SnapshotMeta,
    /// Bytes of the whole state.
    pub size: u64,
    /// Where this part begins.
    pub offset: u64,
    #[serde(with = "serde_bytes")]
    pub part: Vec<u8>,
}

/// What a snapshot stands for.
#[record]
#[derive(Eq)]
pub(crate) struct SnapshotMeta {
    /// Index of the last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members at that index.
    pub members: Members,
}

/// Consecutive entries of one term.
#[record]
#[derive(Copy, Eq)]
pub(crate) struct TermRun {
    pub term: u64,
    /// The first index of the term, as far as known.
    #[serde(rename = "first")]
    pub start: u64,
}

/// The answer to a [`Request`].
#[record]
pub(crate) struct Response {
    /// The identity of the answering replica's folder.
    pub identity: Uuid,
    /// Its term.
    pub term: u64,
    /// Where it had to cut its log's tail: a mark of this start.
    #[serde(rename = "doubt")]
    pub suspect_tail: Option<Uuid>,
    #[serde(rename = "tell")]
    pub body: ResponseBody,
}

/// What is answered.
#[record]
pub(crate) enum ResponseBody {
    /// The vote, or pre-vote, is given.
    Granted,
    /// The candidate is not behind, yet the voter's own log may lack what it acknowledged.
    #[serde(rename = "Doubtful")]
    SuspectTail,
    /// It is not.
    Denied,
    /// Synced up to here, and the same as the leader's log.
    Appended { matched: u64 },
    /// The entry before doesn't fit; this is what is there, newest terms first.
    Differs { last: u64, runs: Vec<TermRun> },
    /// The part of the snapshot that is wanted next; all of it is in where `offset` is its size.
    Want { offset: u64 },
    /// To [`Ask::ReadIndex`].
    ReadIndex(u64),
    /// To [`Ask::TakeOver`].
    TakingOver,
    /// The asker's identity isn't the one that its name is known by.
    WrongIdentity,
    /// The asker isn't a member.
    NotMember,
    /// Not from the leader of this term, or not to a leader.
    Refused,
    /// The replica has stopped.
    Stopped,
}
