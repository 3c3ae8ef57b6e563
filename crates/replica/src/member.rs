//! Changes of the members: one at a time, each an entry of the log.

use std::sync::Arc;

use derives::record;
use tokio::sync::oneshot;

use crate::{
    MemberError, PeerLink, ProposeError, append,
    core::{Core, Known, Shared, StoreGuard, Waiter},
    entry::{Entry, Member, Members, Payload},
    message::{Ask, Tell},
    replicate,
    status::Role,
};

/// Entries that a learner may lack and still be promoted.
const PROMOTE_LAG: u64 = 64;

/// One change of the members; a repeat of one that is in force is a success.
#[record]
#[derive(Eq)]
pub enum MemberChange {
    /// A new replica that follows without a vote; `address` is `IP:PORT` of its link.
    AddLearner {
        /// The VM's name.
        name: String,
        /// Where its link listens.
        address: String,
    },
    /// A learner that has caught up gets a vote.
    Promote {
        /// The learner's name.
        name: String,
    },
    /// A member goes; refused where one more failure would then lose the quorum.
    Remove {
        /// The member's name.
        name: String,
    },
    /// Like `Remove`, also where one more failure would then lose the quorum.
    RemoveUnsafely {
        /// The member's name.
        name: String,
    },
}

fn refused<T>(why: impl Into<String>) -> Result<T, MemberError> {
    Err(MemberError::Refused(why.into()))
}

impl Shared {
    pub(crate) async fn change_members(
        self: &Arc<Self>,
        change: MemberChange,
    ) -> Result<(), MemberError> {
        let store = Arc::clone(&self.store).lock_owned().await;
        let members = {
            let core = self.core();
            core.may_change()?;
            self.changed_members(&core, &change)?
        };
        let Some(members) = members else {
            return Ok(());
        };
        let name = self.cfg.name.clone();
        if members.get(&name).is_none() {
            drop(store);
            self.hand_over().await;
            return refused(format!(
                "{name} leads; leadership is handed over, ask again"
            ));
        }
        let (tx, rx) = oneshot::channel();
        // Its own task, since the caller may drop this future in the middle of a write.
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
            if core.role != Role::Leader || core.is_ended() {
                let leader = core.leader.clone();
                // The caller may have given up.
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
            core.track_members(&self.cfg.name);
            if let Some(tx) = tx {
                core.waiting.insert(index, Waiter { term, tx });
            }
            entry
        };
        self.connect_members();
        self.wake();
        append::persist(self, store, vec![entry]).await;
    }

    /// The members after `change`, or `None` where it is in force already.
    fn changed_members(
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
                        None => refused(format!("{name} is no learner; add it first")),
                    };
                };
                self.may_promote(core, &members.learners[at])?;
                let member = members.learners.remove(at);
                members.voters.push(member);
            }
            MemberChange::Remove { name } | MemberChange::RemoveUnsafely { name } => {
                if members.get(name).is_none() {
                    return Ok(None);
                }
                if members.voter(name).is_some() {
                    let is_forced = matches!(change, MemberChange::RemoveUnsafely { .. });
                    self.may_remove(core, name, is_forced)?;
                }
                members.voters.retain(|m| m.name != *name);
                members.learners.retain(|m| m.name != *name);
            }
        }
        Ok(Some(members))
    }

    fn may_promote(&self, core: &Core, learner: &Member) -> Result<(), MemberError> {
        let name = &learner.name;
        let Some(progress) = core.progress.get(name) else {
            return refused(format!("{name} is not followed yet; wait"));
        };
        let limit = self.cfg.timing.election_max;
        let is_silent = progress.answered.is_none_or(|at| at.elapsed() >= limit);
        let lag = core.log.last().saturating_sub(progress.matched);
        match () {
            () if is_silent => refused(format!("{name} does not answer; start it and wait")),
            () if learner.identity.is_none() => refused(format!(
                "the identity of {name} is not recorded yet; ask again"
            )),
            () if progress.identity != learner.identity => refused(format!(
                "{name} has another identity than when it was added; remove it and add it again"
            )),
            () if lag > PROMOTE_LAG => refused(format!(
                "{name} lacks {lag} entries; wait until it has caught up"
            )),
            () => Ok(()),
        }
    }

    fn may_remove(&self, core: &Core, name: &str, is_forced: bool) -> Result<(), MemberError> {
        let voters = core.log.members().voters.len() - 1;
        let quorum = voters / 2 + 1;
        let is_healthy = name == self.cfg.name || self.is_healthy(core, name);
        let healthy = core.healthy(self) - usize::from(is_healthy);
        match () {
            () if voters == 0 => refused(format!("{name} is the last voter")),
            () if healthy < quorum => refused(format!(
                "without {name} only {healthy} of {voters} voters answer, and {quorum} are needed"
            )),
            () if healthy == quorum && !is_forced => refused(format!(
                "without {name} one more failure loses the quorum ({healthy} of {voters} voters \
                 answer, {quorum} are needed); add and promote another first, or say that this \
                 is meant"
            )),
            () => Ok(()),
        }
    }

    fn is_healthy(&self, core: &Core, name: &str) -> bool {
        let limit = self.cfg.timing.election_max;
        core.progress.get(name).is_some_and(|p| {
            let counts = p
                .identity
                .is_some_and(|identity| core.counts(name, identity));
            counts && p.answered.is_some_and(|at| at.elapsed() < limit)
        })
    }

    /// Opens links to members that have none and starts their tasks.
    pub(crate) fn connect_members(self: &Arc<Self>) {
        let members = self.core().log.members().clone();
        for member in members.all().filter(|m| m.name != self.cfg.name) {
            let address = member.link_address();
            let is_known = match self.core().peers.get(&member.name) {
                Some(known) => member.address.is_empty() || known.address == address,
                None => address.is_empty(),
            };
            if is_known {
                continue;
            }
            match (self.connect)(&member.name, address) {
                Ok(link) => self.add_peer(link, address.to_owned()),
                Err(reason) => spdlog::error!(
                    "no link to a member",
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
            .insert(name.clone(), Known { link, address });
        if before.is_none() {
            self.spawn(replicate::run(Arc::clone(self), name));
        }
    }

    /// Hands leadership to the voter that has most, if this replica leads.
    pub(crate) async fn hand_over(self: &Arc<Self>) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let Some((heir, term)) = self.heir() else {
                return;
            };
            if let Some(heir) = heir {
                let limit = self.cfg.timing.election_max;
                let answer = self.ask(&heir, term, Ask::TakeOver, limit).await;
                if answer.is_some_and(|a| a.tell == Tell::TakingOver) {
                    self.await_successor(term).await;
                    return;
                }
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    async fn await_successor(&self, term: u64) {
        let mut changed = self.changed.subscribe();
        let leads = || {
            let core = self.core();
            core.role == Role::Leader && core.term == term
        };
        let limit = self.cfg.timing.election_max;
        let gone = async { while leads() && changed.changed().await.is_ok() {} };
        // An election that fails leaves this replica in its place.
        let _ = tokio::time::timeout(limit, gone).await;
    }

    /// A voter that has everything, with the term; `None` where this replica leads no others.
    fn heir(&self) -> Option<(Option<String>, u64)> {
        let core = self.core();
        let others = core.log.members().voters.iter();
        let others: Vec<_> = others.filter(|m| m.name != self.cfg.name).collect();
        if core.role != Role::Leader || others.is_empty() {
            return None;
        }
        let mut ready = others.iter().filter(|m| self.is_healthy(&core, &m.name));
        let last = core.log.last();
        let has_all = |name: &str| core.progress.get(name).is_some_and(|p| p.matched == last);
        let heir = ready.find(|m| has_all(&m.name)).map(|m| m.name.clone());
        Some((heir, core.term))
    }
}

impl Core {
    fn may_change(&self) -> Result<(), MemberError> {
        match () {
            () if self.is_ended() => Err(MemberError::Stopped),
            () if self.role != Role::Leader => Err(MemberError::NotLeader {
                leader: self.leader.clone(),
            }),
            () if self.commit < self.own_first => {
                refused("the new leader has not committed an entry yet; ask again")
            }
            () if self.log.members_index() > self.commit => {
                refused("another change of the members is under way; ask again")
            }
            () => Ok(()),
        }
    }

    /// The members with identities that became known, if there are any.
    fn bound(&self) -> Option<Members> {
        let mut members = self.log.members().clone();
        let mut is_news = false;
        for member in members.all_mut().filter(|m| m.identity.is_none()) {
            member.identity = self.progress.get(&member.name).and_then(|p| p.identity);
            is_news |= member.identity.is_some();
        }
        is_news.then_some(members)
    }
}

fn add_learner(
    mut members: Members,
    name: &str,
    address: &str,
) -> Result<Option<Members>, MemberError> {
    match members.get(name) {
        Some(member) if member.address == address => return Ok(None),
        Some(_) => return refused(format!("{name} is a member already; remove it first")),
        None => {}
    }
    members.learners.push(Member {
        name: name.to_owned(),
        address: address.to_owned(),
        identity: None,
    });
    Ok(Some(members))
}

/// Records the identities of members that answered for the first time.
pub(crate) async fn bind(shared: &Arc<Shared>) {
    let has_news = |core: &Core| core.may_change().is_ok() && core.bound().is_some();
    if !has_news(&shared.core()) {
        return;
    }
    let store = Arc::clone(&shared.store).lock_owned().await;
    let members = {
        let core = shared.core();
        core.may_change().ok().and_then(|()| core.bound())
    };
    if let Some(members) = members {
        shared.append_members(store, members, None).await;
    }
}
