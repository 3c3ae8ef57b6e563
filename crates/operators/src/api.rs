//! Request and response bodies of the keepers' HTTP API for operators.

use declaration::{Document, SectionChange};
use derives::{record, token};
use uuid::Uuid;

/// The body of `POST /v1/changes`; exactly one of `document` and `sections` is given.
#[record]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Change id; a resend carries the same one and is applied once.
    pub change: Uuid,
    /// Revision that the change is based on.
    pub base_revision: u64,
    /// Author of the change; the keeper replaces it by the token's name if operators have tokens.
    #[serde(default)]
    pub author: String,
    /// Reason for the change, for the audit trail.
    pub reason: String,
    /// The whole document as INI; sections missing from it are deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<String>,
    /// Changes to single sections; all other sections stay as they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sections: Option<Vec<SectionChange>>,
}

/// The response to an accepted change.
#[record]
pub struct Accepted {
    /// Revision that the change created.
    pub revision: u64,
    /// False if a change with this id was already applied.
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
    /// Consensus role: `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Current consensus term.
    pub term: u64,
    /// Name of the leader's VM, if known.
    pub leader: Option<String>,
    /// Index up to which the log is committed.
    pub commit: u64,
    /// VM names of the group's voters.
    pub voters: Vec<String>,
    /// VM names of the group's learners.
    pub learners: Vec<String>,
    /// Lag of each peer; empty unless this keeper is the leader.
    #[serde(default)]
    pub lag: Vec<KeeperLag>,
    /// Number of blocked parts of prompts in this keeper's state.
    #[serde(default)]
    pub blocked_parts: usize,
}

/// Replication lag of one keeper.
#[record]
pub struct KeeperLag {
    /// Name of the keeper's VM.
    pub name: String,
    /// Number of log entries that it lacks.
    pub entries: u64,
}

/// A change to a keeper's membership in its group.
#[token]
#[serde(rename_all = "lowercase")]
pub enum MemberAction {
    /// Adds the keeper as a learner.
    Add,
    /// Makes the learner a voter.
    Promote,
    /// Removes the keeper from the group.
    Remove,
}

/// The body of `POST /v1/keepers`.
#[record]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// Change to make.
    pub action: MemberAction,
    /// Name of the keeper's VM.
    pub name: String,
    /// Link address, `IP:PORT`; required for `Add`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// Makes the change even if one more failure would then lose the quorum.
    #[serde(default)]
    pub force: bool,
}
