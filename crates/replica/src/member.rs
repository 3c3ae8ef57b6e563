//! Membership changes: one at a time, each an entry in the log.

use std::sync::Arc;

use derives::record;
use tokio::sync::oneshot;

use crate::{
    MemberError, PeerLink, ProposeError, append,
    core::{Core, PeerConnection, PendingProposal, Shared, StoreGuard},
    entry::{Entry, Member, Members, Payload},
    message::{RequestBody, ResponseBody},
    replicate,
    status::Role,
};

/// Maximum number of entries a learner may lack to be promoted.
const PROMOTE_LAG: u64 = 64;

/// A membership change; repeating one that is already in effect succeeds.
#[record]
#[derive(Eq)]
pub enum MemberChange {
    /// Adds a new replica without a vote.
    AddLearner {
        /// Name of the VM.
        name: String,
        /// `IP:PORT` of its link.
        address: String,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Name of the learner.
        name: String,
    },
    /// Removes a member; refused if one more failure would then lose the quorum.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Like `Remove`, but allowed even if one more failure would then lose the quorum.
    RemoveUnsafely {
        /// Name of the member.
        name: String,
    },
}

fn refused<T>(reason: impl Into<String>) -> Result<T, MemberError> {
    Err(MemberError::Refused(reason.into()))
}

impl Shared {
    pub(crate) async fn change_members(
        self: &Arc<Self>,
        change: MemberChange,
    ) -> Result<(), MemberError> {
        let store = Arc::clone(&self.store).lock_owned().await;
        let members = {
            let core = self.core();
            core.check_can_change()?;
            self.members_after(&core, &change)?
        };
        let Some(members) = members else {
            return Ok(());
        };
        let name = self.cfg.name.clone();
        if members.get(&name).is_none() {
            drop(store);
            self.transfer_leadership().await;
            return refused(format!(
                "{name} is the leader; leadership has been handed over, try again"
            ));
        }
        let (tx, rx) = oneshot::channel();
        // Runs in its own task, since the caller may drop this future, possibly mid-write.
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.append_members(store, members, Some(tx)).await });
        match rx.await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(ProposeError::NotLeader { leader })) => Err(MemberError::NotLeader { leader }),
            Ok(Err(ProposeError::Stopped)) => Err(MemberError::Stopped),
            Ok(Err(_)) | Err(_) => Err(MemberError::Lost),
        }
    }

    async fn append_members(
        self: &Arc<Self>,
        store: StoreGuard,
        members: Members,
        tx: Option<crate::core::ReplyTx>,
    ) {
        let entry = {
            let mut core = self.core();
            if core.role != Role::Leader || core.is_shut_down() {
                let leader = core.leader.clone();
                // Fails if the caller dropped its receiver.
                let _ = tx.map(|tx| tx.send(Err(ProposeError::NotLeader { leader })));
                return;
            }
            let (index, term) = (core.log.last() + 1, core.term);
            let payload = Payload::Members(members);
            let entry = Arc::new(Entry {
                index,
                term,
                payload,
            });
            core.log.append([Arc::clone(&entry)]);
            core.track_progress(&self.cfg.name);
            if let Some(tx) = tx {
                core.pending.insert(index, PendingProposal { term, tx });
            }
            entry
        };
        self.connect_members();
        self.notify_changed();
        append::persist(self, store, vec![entry]).await;
    }

    /// Returns the members after `change`, or `None` if it is already in effect.
    fn members_after(
        &self,
        core: &Core,
        change: &MemberChange,
    ) -> Result<Option<Members>, MemberError> {
        let mut members = core.log.members().clone();
        match change {
            MemberChange::AddLearner { name, address } => {
                return add_learner(members, name, address);
            }
            MemberChange::Promote { name } => {
                let Some(at) = members.learners.iter().position(|m| m.name == *name) else {
                    return match members.voter(name) {
                        Some(_) => Ok(None),
                        None => refused(format!("{name} is not a learner; add it first")),
                    };
                };
                self.check_can_promote(core, &members.learners[at])?;
                let member = members.learners.remove(at);
                members.voters.push(member);
            }
            MemberChange::Remove { name } | MemberChange::RemoveUnsafely { name } => {
                if members.get(name).is_none() {
                    return Ok(None);
                }
                if members.voter(name).is_some() {
                    let is_forced = matches!(change, MemberChange::RemoveUnsafely { .. });
                    self.check_can_remove(core, name, is_forced)?;
                }
                members.voters.retain(|m| m.name != *name);
                members.learners.retain(|m| m.name != *name);
            }
        }
        Ok(Some(members))
    }

    fn check_can_promote(&self, core: &Core, learner: &Member) -> Result<(), MemberError> {
        let name = &learner.name;
        let Some(progress) = core.progress.get(name) else {
            return refused(format!("{name} is not tracked by the leader yet; wait"));
        };
        let limit = self.cfg.timing.election_max;
        let is_silent = progress.answered.is_none_or(|at| at.elapsed() >= limit);
        let lag = core.log.last().saturating_sub(progress.matched);
        match () {
            () if is_silent => refused(format!("{name} does not answer; start it and wait")),
            () if learner.identity.is_none() => refused(format!(
                "the identity of {name} is not recorded yet; try again"
            )),
            () if progress.identity != learner.identity => refused(format!(
                "the identity of {name} has changed since it was added; remove it and add it again"
            )),
            () if lag > PROMOTE_LAG => refused(format!(
                "{name} lacks {lag} entries; wait until it has caught up"
            )),
            () => Ok(()),
        }
    }

    fn check_can_remove(
        &self,
        core: &Core,
        name: &str,
        is_forced: bool,
    ) -> Result<(), MemberError> {
        let voters = core.log.members().voters.len() - 1;
        let quorum = voters / 2 + 1;
        let is_responsive = name == self.cfg.name || self.is_responsive(core, name);
        let responsive = core.responsive_voters(self) - usize::from(is_responsive);
        match () {
            () if voters == 0 => refused(format!("{name} is the last voter")),
            () if responsive < quorum => refused(format!(
                "without {name} only {responsive} of {voters} voters answer, and {quorum} are needed"
            )),
            () if responsive == quorum && !is_forced => refused(format!(
                "without {name} one more failure loses the quorum ({responsive} of {voters} voters \
                 answer, {quorum} are needed); add and promote another first, or force \
                 the removal"
            )),
            () => Ok(()),
        }
    }

    fn is_responsive(&self, core: &Core, name: &str) -> bool {
        let limit = self.cfg.timing.election_max;
        core.progress.get(name).is_some_and(|p| {
            let counts = p
                .identity
                .is_some_and(|identity| core.is_voter(name, identity));
            counts && p.answered.is_some_and(|at| at.elapsed() < limit)
        })
    }

    /// Opens links to members without one and starts their replication tasks.
    pub(crate) fn connect_members(self: &Arc<Self>) {
        let members = self.core().log.members().clone();
        for member in members.all().filter(|m| m.name != self.cfg.name) {
            let address = member.link_address();
            let is_connected = match self.core().peers.get(&member.name) {
                Some(known) => member.address.is_empty() || known.address == address,
                None => address.is_empty(),
            };
            if is_connected {
                continue;
            }
            match (self.connect)(&member.name, address) {
                Ok(link) => self.add_peer(link, address.to_owned()),
                Err(reason) => spdlog::error!(
                    "failed to open a link to a member",
                    kv: { peer = member.name.as_str(), reason = reason.as_str() }
                ),
            }
        }
    }

    pub(crate) fn add_peer(self: &Arc<Self>, link: PeerLink, address: String) {
        let name = link.name.clone();
        if name == self.cfg.name {
            return;
        }
        let before = self
            .core()
            .peers
            .insert(name.clone(), PeerConnection { link, address });
        if before.is_none() {
            self.spawn(replicate::run(Arc::clone(self), name));
        }
    }

    /// Transfers leadership to a voter with the complete log, if this replica leads.
    pub(crate) async fn transfer_leadership(self: &Arc<Self>) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let Some((transfer_target, term)) = self.transfer_target() else {
                return;
            };
            if let Some(transfer_target) = transfer_target {
                let limit = self.cfg.timing.election_max;
                let response = self
                    .call(&transfer_target, term, RequestBody::TakeOver, limit)
                    .await;
                if response.is_some_and(|a| a.body == ResponseBody::TakingOver) {
                    self.await_leadership_loss(term).await;
                    return;
                }
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    async fn await_leadership_loss(&self, term: u64) {
        let mut changed = self.changed.subscribe();
        let leads = || {
            let core = self.core();
            core.role == Role::Leader && core.term == term
        };
        let limit = self.cfg.timing.election_max;
        let leadership_loss = async { while leads() && changed.changed().await.is_ok() {} };
        // This replica remains leader if the election fails.
        let _ = tokio::time::timeout(limit, leadership_loss).await;
    }

    /// Returns a responsive voter with the complete log, if any, and the term; `None` if this
    /// replica is not a leader of other voters.
    fn transfer_target(&self) -> Option<(Option<String>, u64)> {
        let core = self.core();
        let others = core.log.members().voters.iter();
        let others: Vec<_> = others.filter(|m| m.name != self.cfg.name).collect();
        if core.role != Role::Leader || others.is_empty() {
            return None;
        }
        let mut ready = others.iter().filter(|m| self.is_responsive(&core, &m.name));
        let last = core.log.last();
        let has_all = |name: &str| core.progress.get(name).is_some_and(|p| p.matched == last);
        let transfer_target = ready.find(|m| has_all(&m.name)).map(|m| m.name.clone());
        Some((transfer_target, core.term))
    }
}

impl Core {
    fn check_can_change(&self) -> Result<(), MemberError> {
        match () {
            () if self.is_shut_down() => Err(MemberError::Stopped),
            () if self.role != Role::Leader => Err(MemberError::NotLeader {
                leader: self.leader.clone(),
            }),
            () if self.commit < self.term_first_index => {
                refused("the new leader has not committed an entry yet; try again")
            }
            () if self.log.members_index() > self.commit => {
                refused("another membership change is in progress; try again")
            }
            () => Ok(()),
        }
    }

    /// Returns the members with newly learned identities, or `None` if there are none.
    fn with_new_identities(&self) -> Option<Members> {
        let mut members = self.log.members().clone();
        let mut is_changed = false;
        for member in members.all_mut().filter(|m| m.identity.is_none()) {
            member.identity = self.progress.get(&member.name).and_then(|p| p.identity);
            is_changed |= member.identity.is_some();
        }
        is_changed.then_some(members)
    }
}

fn add_learner(
    mut members: Members,
    name: &str,
    address: &str,
) -> Result<Option<Members>, MemberError> {
    match members.get(name) {
        Some(member) if member.address == address => return Ok(None),
        Some(_) => return refused(format!("{name} is already a member; remove it first")),
        None => {}
    }
    members.learners.push(Member {
        name: name.to_owned(),
        address: address.to_owned(),
        identity: None,
    });
    Ok(Some(members))
}

/// Appends newly learned identities of members to the log.
pub(crate) async fn record_identities(shared: &Arc<Shared>) {
    let has_updates =
        |core: &Core| core.check_can_change().is_ok() && core.with_new_identities().is_some();
    if !has_updates(&shared.core()) {
        return;
    }
    let store = Arc::clone(&shared.store).lock_owned().await;
    let members = {
        let core = shared.core();
        core.check_can_change()
            .ok()
            .and_then(|()| core.with_new_identities())
    };
    if let Some(members) = members {
        shared.append_members(store, members, None).await;
    }
}
