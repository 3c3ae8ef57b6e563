//! Bodies of the operators' calls.

use declaration::{Document, SectionChange};
use derives::{record, token};
use uuid::Uuid;

/// The body of `POST /v1/changes`; exactly one of `document` and `sections` is given.
#[record]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The change id; a resend carries the same one.
    pub change: Uuid,
    /// The revision on which the author based it.
    pub base_revision: u64,
    /// Who made it; replaced by the token's name where operators have tokens.
    #[serde(default)]
    pub author: String,
    /// Why.
    pub reason: String,
    /// The whole document as INI; what it leaves out is deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<String>,
    /// Single sections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sections: Option<Vec<SectionChange>>,
}

/// The answer to an accepted change.
#[record]
pub struct Accepted {
    /// The revision that the change made.
    pub revision: u64,
    /// False where the change id had been applied before.
    pub applied: bool,
}

/// The declaration in force.
#[record]
pub struct CurrentDeclaration {
    /// Its revision.
    pub revision: u64,
    /// Its content.
    pub document: Document,
}

/// `GET /v1/status` of a keeper.
#[record]
pub struct KeeperStatus {
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Current term.
    pub term: u64,
    /// The leader's VM, if known.
    pub leader: Option<String>,
    /// Index up to which the log is committed.
    pub commit: u64,
    /// Voters.
    pub voters: Vec<String>,
    /// Learners.
    pub learners: Vec<String>,
    /// Entries by which each peer lags, on the leader.
    #[serde(default)]
    pub lag: Vec<KeeperLag>,
}

/// How far one keeper lags.
#[record]
pub struct KeeperLag {
    /// Its VM.
    pub name: String,
    /// Entries that it lacks.
    pub entries: u64,
}

/// What to do with a keeper.
#[token]
#[serde(rename_all = "lowercase")]
pub enum MemberAction {
    /// Join it as a learner.
    Add,
    /// Make the learner a voter.
    Promote,
    /// Take it out.
    Remove,
}

/// The body of `POST /v1/keepers`.
#[record]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// What to do.
    pub action: MemberAction,
    /// The keeper's VM.
    pub name: String,
    /// Its link address, to add it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// Do it although the quorum is then one failure from loss.
    #[serde(default)]
    pub force: bool,
}
