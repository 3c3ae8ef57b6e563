//! Status of a replica.

use std::time::Duration;

use derives::{record, token};

use crate::{
    core::{Core, Shared},
    entry::Members,
};

/// Role of a replica in its group.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts proposals and replicates them.
    Leader,
    /// Votes and replicates from the leader.
    Follower,
    /// Requests votes in an election.
    Candidate,
    /// Replicates from the leader without voting.
    Learner,
    /// Stopped or failed; see [`Status::failed`].
    Stopped,
}

/// State of a replica at one point in time.
#[record]
pub struct Status {
    /// Name of the replica.
    pub name: String,
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Name of the current leader, if known.
    pub leader: Option<String>,
    /// Last index known to be committed.
    pub commit: u64,
    /// Last index applied to the state machine.
    pub applied: u64,
    /// Last index in the log.
    pub last: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of the learners.
    pub learners: Vec<String>,
    /// Members with addresses and identities.
    pub members: Members,
    /// Progress of the other members; empty unless this replica is the leader.
    pub peers: Vec<PeerStatus>,
    /// Error that stopped the replica, if any.
    pub failed: Option<String>,
}

/// Replication progress of another member.
#[record]
pub struct PeerStatus {
    /// Name of the member.
    pub name: String,
    /// Last index known to be synced on that member.
    pub matched: u64,
    /// Number of entries the member lacks.
    pub lag: u64,
    /// Time since the latest answered request was sent.
    pub silent_for: Option<Duration>,
    /// Whether the member responds with its recorded identity.
    #[serde(rename = "is_known")]
    pub has_known_identity: bool,
}

impl Shared {
    pub(crate) fn status(&self) -> Status {
        let core = self.core();
        let members = core.log.members();
        let names = |members: &[crate::Member]| members.iter().map(|m| m.name.clone()).collect();
        Status {
            name: self.cfg.name.clone(),
            role: self.public_role(&core),
            term: core.term,
            leader: core.leader.clone(),
            commit: core.commit,
            applied: core.applied,
            last: core.log.last(),
            voters: names(&members.voters),
            learners: names(&members.learners),
            members: members.clone(),
            peers: peers(&core),
            failed: core.failed.clone(),
        }
    }

    fn public_role(&self, core: &Core) -> Role {
        match core.role {
            Role::Follower if !self.may_vote(core) => Role::Learner,
            role => role,
        }
    }

    /// Returns true if the local log lists this replica as a voter with its own identity.
    pub(crate) fn may_vote(&self, core: &Core) -> bool {
        let own = core.log.members().voter(&self.cfg.name);
        own.is_some_and(|m| m.identity.is_none_or(|known| known == self.identity))
    }
}

fn peers(core: &Core) -> Vec<PeerStatus> {
    let statuses = core.progress.iter().map(|(name, progress)| PeerStatus {
        name: name.clone(),
        matched: progress.matched,
        lag: core.log.last().saturating_sub(progress.matched),
        silent_for: progress.answered.map(|at| at.elapsed()),
        has_known_identity: progress.identity.is_some()
            && core.log.members().get(name).and_then(|m| m.identity) == progress.identity,
    });
    statuses.collect()
}
