//! What a replica says of itself.

use std::time::Duration;

use derives::{record, token};

use crate::{
    core::{Core, Shared},
    entry::Members,
};

/// What a replica is to its group.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes proposals.
    Leader,
    /// Votes and follows.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Follows without voting.
    Learner,
    /// Has stopped, or failed; the status says why.
    Stopped,
}

/// A replica's state at one time.
#[record]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader that it knows.
    pub leader: Option<String>,
    /// The last index known to be committed.
    pub commit: u64,
    /// The last index applied.
    pub applied: u64,
    /// The last index in the log.
    pub last: u64,
    /// The members' names that vote.
    pub voters: Vec<String>,
    /// The members' names that only follow.
    pub learners: Vec<String>,
    /// The members with addresses and identities.
    pub members: Members,
    /// How far the others are, where this replica leads.
    pub peers: Vec<PeerStatus>,
    /// Why the replica stopped, where it did by itself.
    pub failed: Option<String>,
}

/// How far another replica is.
#[record]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// The last index known to be synced there.
    pub matched: u64,
    /// Entries that it lacks.
    pub lag: u64,
    /// Time since it last answered.
    pub silent_for: Option<Duration>,
    /// Whether it answers with the identity that it is known by.
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

    /// Whether this replica, by its own log, is a voter under its own identity.
    pub(crate) fn may_vote(&self, core: &Core) -> bool {
        let own = core.log.members().voter(&self.cfg.name);
        own.is_some_and(|m| m.identity.is_none_or(|known| known == self.identity))
    }
}

fn peers(core: &Core) -> Vec<PeerStatus> {
    let shown = core.progress.iter().map(|(name, progress)| PeerStatus {
        name: name.clone(),
        matched: progress.matched,
        lag: core.log.last().saturating_sub(progress.matched),
        silent_for: progress.answered.map(|at| at.elapsed()),
        has_known_identity: progress.identity.is_some()
            && core.log.members().get(name).and_then(|m| m.identity) == progress.identity,
    });
    shown.collect()
}
