//! Bootstraps a group, once: all initial voters report that they know of no group, then agree on
//! the identities of all their folders. A folder that has agreed never forms another group, and a
//! wiped folder has another identity.

use std::sync::Arc;

use uuid::Uuid;

use crate::{
    core::{Core, Shared, StoreGuard},
    entry::Members,
    message::{Candidate, RequestBody},
    votes::{Threshold, request_votes},
};

/// Returns the candidate state with the agreed initial voters, or `None` if there is no agreement.
pub(crate) async fn agree_on_founders(
    shared: &Arc<Shared>,
    term: u64,
    candidate: Candidate,
) -> Option<Candidate> {
    match &candidate.founders {
        // A folder with a truncated log had entries.
        Some(m) if !m.has_all_identities() && shared.core().suspect_tail.is_some() => return None,
        Some(m) if !m.has_all_identities() => {}
        _ => return Some(candidate),
    }
    let with_founders = |members| Candidate {
        founders: Some(members),
        ..candidate.clone()
    };
    let mut members = candidate.founders.clone()?;
    let votes = request_votes(
        shared,
        term,
        RequestBody::PreVote(candidate.clone()),
        Threshold::All,
    )
    .await;
    shared.warn_missing_founders(&members, |name| votes.identities.contains_key(name));
    for member in &mut members.voters {
        member.identity = Some(*votes.identities.get(&member.name)?);
    }
    // Repeat the request, since an early voter may have agreed with another candidate and been
    // wiped before the last voter responded.
    let pre_vote = RequestBody::PreVote(with_founders(members.clone()));
    let confirmed = request_votes(shared, term, pre_vote, Threshold::All).await;
    if !confirmed.is_won || confirmed.identities != votes.identities {
        return None;
    }
    let store = Arc::clone(&shared.store).lock_owned().await;
    let own = shared.core().log.members().clone();
    let is_founded = shared.core().log.is_founded();
    match is_founded {
        true if own != members || shared.core().log.last() > 0 => return None,
        true => {}
        false => drop(
            shared
                .persist_founders(store, Some(members.clone()))
                .await?,
        ),
    }
    Some(with_founders(members))
}

impl Shared {
    /// Stores the initial voters, if given and not stored yet; `None` if the disk failed.
    pub(crate) async fn persist_founders(
        &self,
        store: StoreGuard,
        founders: Option<Members>,
    ) -> Option<StoreGuard> {
        let Some(members) = founders.filter(|_| !self.core().log.is_founded()) else {
            return Some(store);
        };
        let written = members.clone();
        let (store, result) = self
            .run_on_store(store, move |s| s.write_founders(&written))
            .await;
        result.ok()?;
        self.core().log.set_founders(members);
        Some(store)
    }

    /// Logs initial voters that have not agreed to form the group, once per change.
    fn warn_missing_founders(&self, members: &Members, has_agreed: impl Fn(&str) -> bool) {
        let names = members.voters.iter().map(|m| m.name.clone());
        let missing: Vec<_> = names.filter(|name| !has_agreed(name)).collect();
        let is_changed =
            std::mem::replace(&mut self.core().missing_founders, missing.clone()) != missing;
        if is_changed && !missing.is_empty() {
            spdlog::warn!(
                "the group has not begun: start the missing initial voters on empty folders, all with \
                 the same [keepers]",
                kv: { replica = self.cfg.name.as_str(), missing = missing.join(", ").as_str() }
            );
        }
    }
}

impl Core {
    /// Returns true if the initial voters named by a candidate without entries are acceptable.
    pub(crate) fn accepts_founders(
        &self,
        own: &str,
        identity: Uuid,
        candidate: &Candidate,
    ) -> bool {
        let Some(founders) = &candidate.founders else {
            return true;
        };
        let members = self.log.members();
        let own_identity = founders.voter(own).and_then(|m| m.identity);
        match self.log.is_founded() {
            true => self.log.last() == 0 && founders == members,
            false if self.suspect_tail.is_some() => false,
            false => {
                founders.has_same_voters(members)
                    && own_identity.is_none_or(|known| known == identity)
            }
        }
    }
}
