//! Quorum decisions of the leader, based on the progress of its peers.

use tokio::time::Instant;

use crate::{
    core::{Core, Progress, Shared},
    status::Role,
};

impl Core {
    /// Collects a value for each voter with its recorded identity, including the leader's own.
    fn voter_values<T>(
        &self,
        shared: &Shared,
        own: T,
        value_of: impl Fn(&Progress) -> Option<T>,
    ) -> Vec<T> {
        let mut values = Vec::new();
        if self.is_voter(&shared.cfg.name, shared.identity) {
            values.push(own);
        }
        let counted = self.progress.iter().filter(|(name, progress)| {
            let known = progress.identity;
            known.is_some_and(|identity| self.is_counted_peer(shared, name, identity))
        });
        values.extend(counted.filter_map(|(_, progress)| value_of(progress)));
        values
    }

    #[cfg(not(any(test, feature = "broken-variants")))]
    fn is_counted_peer(&self, _shared: &Shared, name: &str, identity: uuid::Uuid) -> bool {
        self.is_voter(name, identity)
    }

    #[cfg(any(test, feature = "broken-variants"))]
    fn is_counted_peer(&self, shared: &Shared, name: &str, identity: uuid::Uuid) -> bool {
        let counts_learners =
            shared.cfg.broken_variant == Some(crate::BrokenVariant::CountedLearners);
        let learner = self.log.members().get(name);
        self.is_voter(name, identity)
            || counts_learners && learner.is_some_and(|m| m.identity == Some(identity))
    }

    /// Advances the commit index to the index synced by a quorum, if its entry is of the own term.
    pub(crate) fn advance_commit(&mut self, shared: &Shared) {
        if self.role != Role::Leader {
            return;
        }
        let mut matched = self.voter_values(shared, self.durable, |p| Some(p.matched));
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.log.members().quorum() - 1).copied() else {
            return;
        };
        let is_own = self.log.term(index) == Some(self.term) || commits_old_terms(shared);
        if is_own && index > self.commit {
            self.commit = index;
        }
    }

    /// Returns true if a quorum confirmed this leader in `round` or later.
    pub(crate) fn is_confirmed(&self, shared: &Shared, round: u64) -> bool {
        let confirmed = self.voter_values(shared, (), |p| (p.round >= round).then_some(()));
        confirmed.len() >= self.log.members().quorum()
    }

    /// Returns true if a quorum answered requests within the last `election_max`, or this replica
    /// became leader within that time.
    pub(crate) fn has_quorum(&self, shared: &Shared) -> bool {
        let limit = shared.cfg.timing.election_max;
        if self.leading_since.elapsed() < limit {
            return true;
        }
        self.responsive_voters(shared) >= self.log.members().quorum()
    }

    /// Number of voters, including this one, that answered within `election_max`.
    pub(crate) fn responsive_voters(&self, shared: &Shared) -> usize {
        let limit = shared.cfg.timing.election_max;
        let is_recent = |at: Instant| (at.elapsed() < limit).then_some(());
        let recent = self.voter_values(shared, (), |p| p.answered.and_then(is_recent));
        recent.len()
    }
}

#[cfg(any(test, feature = "broken-variants"))]
fn commits_old_terms(shared: &Shared) -> bool {
    shared.cfg.broken_variant == Some(crate::BrokenVariant::OldTermCommit)
}

#[cfg(not(any(test, feature = "broken-variants")))]
fn commits_old_terms(_shared: &Shared) -> bool {
    false
}
