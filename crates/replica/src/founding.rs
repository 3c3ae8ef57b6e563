//! How a group begins, once: all first voters say that they know of no group, and then that they
//! agree on the identities of each other's folders. A folder that agreed never begins another
//! group, and one that was wiped has another identity.

use std::sync::Arc;

use uuid::Uuid;

use crate::{
    core::{Core, Shared, StoreGuard},
    election::{self, Need},
    entry::Members,
    message::{Ask, Standing},
};

/// What `standing` becomes once the group has begun; `None` where it can't begin now.
pub(crate) async fn agree(shared: &Arc<Shared>, term: u64, standing: Standing) -> Option<Standing> {
    match &standing.founders {
        // A folder that had something cut had something.
        Some(members) if !members.is_bound() && shared.core().doubt.is_some() => return None,
        Some(members) if !members.is_bound() => {}
        _ => return Some(standing),
    }
    let found = |members| Standing {
        founders: Some(members),
        ..standing.clone()
    };
    let mut members = standing.founders.clone()?;
    let heard = election::poll(shared, term, Ask::PreVote(standing.clone()), Need::All).await;
    shared.note_missing(&members, |name| heard.identities.contains_key(name));
    for member in &mut members.voters {
        member.identity = Some(*heard.identities.get(&member.name)?);
    }
    // The second time, since a folder heard early may have agreed with another candidate, and been
    // wiped, before the last one was heard.
    let wish = Ask::PreVote(found(members.clone()));
    let confirmed = election::poll(shared, term, wish, Need::All).await;
    if !confirmed.is_won || confirmed.identities != heard.identities {
        return None;
    }
    let store = Arc::clone(&shared.store).lock_owned().await;
    let own = shared.core().log.members().clone();
    let has_begun = shared.core().log.is_founded();
    match has_begun {
        true if own != members || shared.core().log.last() > 0 => return None,
        true => {}
        false => drop(shared.keep_founders(store, Some(members.clone())).await?),
    }
    Some(found(members))
}

impl Shared {
    /// Makes the first voters lasting, if there are any and they aren't yet; `None` where the disk
    /// failed.
    pub(crate) async fn keep_founders(
        &self,
        store: StoreGuard,
        founders: Option<Members>,
    ) -> Option<StoreGuard> {
        let Some(members) = founders.filter(|_| !self.core().log.is_founded()) else {
            return Some(store);
        };
        let written = members.clone();
        let (store, result) = self.work(store, move |s| s.write_founders(&written)).await;
        result.ok()?;
        self.core().log.found(members);
        Some(store)
    }

    /// Says once which first voters have not agreed to begin the group.
    fn note_missing(&self, members: &Members, has_agreed: impl Fn(&str) -> bool) {
        let names = members.voters.iter().map(|m| m.name.clone());
        let missing: Vec<_> = names.filter(|name| !has_agreed(name)).collect();
        let is_news = std::mem::replace(&mut self.core().missing, missing.clone()) != missing;
        if is_news && !missing.is_empty() {
            spdlog::warn!(
                "the group has not begun: start the missing first voters on empty folders, all with \
                 the same [keepers]",
                kv: { replica = self.cfg.name.as_str(), missing = missing.join(", ").as_str() }
            );
        }
    }
}

impl Core {
    /// Whether the first voters that a candidate without entries names may be the group's.
    pub(crate) fn agrees(&self, own: &str, identity: Uuid, standing: &Standing) -> bool {
        let Some(founders) = &standing.founders else {
            return true;
        };
        let members = self.log.members();
        let named = founders.voter(own).and_then(|m| m.identity);
        match self.log.is_founded() {
            true => self.log.last() == 0 && founders == members,
            false if self.doubt.is_some() => false,
            false => founders.has_voters_of(members) && named.is_none_or(|named| named == identity),
        }
    }
}
