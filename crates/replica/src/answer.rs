//! Answers to other replicas; whatever an answer says is synced before it is given.

use std::sync::Arc;

use serde_bytes::ByteBuf;
use tokio::time::{Instant, timeout};

use crate::{
    core::{Core, Shared, StoreGuard},
    entry::{Entry, Payload},
    log::Log,
    message::{Append, Ask, Chunk, Fill, Request, Response, Standing, Tell},
    snapshot::Snapshot,
    status::Role,
    store::Store,
    vote::Vote,
};

/// Most terms told to a leader whose log differs.
const MAX_RUNS: usize = 64;

impl Shared {
    /// Answers the encoded request of the replica on `vm`.
    pub(crate) async fn answer(self: &Arc<Self>, vm: &str, body: &[u8]) -> Response {
        let is_ended = *self.stopped.borrow();
        let tell = match link::decode::<Request>(body) {
            _ if is_ended => Tell::Stopped,
            Ok(req) if req.from == vm => self.tell(req).await,
            _ => Tell::Refused,
        };
        let core = self.core();
        let tell = match core.failed.is_some() {
            true => Tell::Stopped,
            false => tell,
        };
        Response {
            identity: self.identity,
            term: core.term,
            doubt: core.doubt,
            tell,
        }
    }

    async fn tell(self: &Arc<Self>, req: Request) -> Tell {
        let Request {
            from,
            identity,
            term,
            ask,
        } = req;
        match ask {
            Ask::PreVote(standing) => self.pre_vote(&from, identity, term, &standing),
            Ask::Vote(standing) => self.vote(from, identity, term, &standing).await,
            Ask::Append(append) => self.take_entries(&from, term, append).await,
            Ask::Snapshot(chunk) => self.take_chunk(&from, term, chunk).await,
            Ask::ReadIndex => self
                .read_index()
                .await
                .map_or(Tell::Refused, Tell::ReadIndex),
            Ask::TakeOver if self.is_led_by(&from, term) => {
                // Full where one is under way already.
                let _ = self.take_over.try_send(());
                Tell::TakingOver
            }
            Ask::TakeOver => Tell::Refused,
        }
    }

    fn is_led_by(&self, name: &str, term: u64) -> bool {
        let core = self.core();
        core.term == term && core.leader.as_deref() == Some(name)
    }

    fn pre_vote(&self, from: &str, identity: uuid::Uuid, term: u64, standing: &Standing) -> Tell {
        let core = self.core();
        match () {
            () if !core.knows(from, identity, standing) => Tell::WrongIdentity,
            () if term <= core.term || self.has_leader(&core) => Tell::Denied,
            () if !core.agrees(&self.cfg.name, self.identity, standing) => Tell::Denied,
            () if core.is_behind(standing) && core.doubt.is_some() => Tell::Doubtful,
            () if core.is_behind(standing) => Tell::Granted,
            () => Tell::Denied,
        }
    }

    /// Whether a leader was heard so lately that no other is needed.
    fn has_leader(&self, core: &Core) -> bool {
        let limit = self.cfg.timing.election_min;
        let is_recent = core.led.is_some_and(|at| at.elapsed() < limit);
        core.role == Role::Leader || core.leader.is_some() && is_recent
    }

    async fn vote(
        &self,
        from: String,
        identity: uuid::Uuid,
        term: u64,
        standing: &Standing,
    ) -> Tell {
        let store = Arc::clone(&self.store).lock_owned().await;
        let (vote, is_granted) = {
            let core = self.core();
            if !core.knows(&from, identity, standing) {
                return Tell::WrongIdentity;
            }
            let is_disturbing = !standing.is_transfer && self.has_leader(&core);
            if term < core.term || is_disturbing || core.is_ended() && core.role != Role::Leader {
                return Tell::Denied;
            }
            let voted = core.voted.clone().filter(|_| term == core.term);
            let is_free = voted.as_ref().is_none_or(|voted| *voted == from);
            let agrees = core.agrees(&self.cfg.name, self.identity, standing);
            let is_sure = core.doubt.is_none() || standing.has_heard_all;
            let is_granted = is_free && agrees && is_sure && core.is_behind(standing);
            let voted = match is_granted {
                true => Some(from),
                false => voted,
            };
            (Vote { term, voted }, is_granted)
        };
        let founders = standing.founders.clone().filter(|_| is_granted);
        let Some(store) = self.keep_founders(store, founders).await else {
            return Tell::Stopped;
        };
        if self.keep_vote(store, vote, is_granted).await && is_granted {
            return Tell::Granted;
        }
        Tell::Denied
    }

    /// Makes the vote lasting if it is news, then known.
    async fn keep_vote(&self, store: StoreGuard, vote: Vote, is_granted: bool) -> bool {
        let is_news = {
            let core = self.core();
            core.term != vote.term || core.voted != vote.voted
        };
        // Held until the vote is known in memory as well.
        let held = match is_news {
            true => {
                let written = vote.clone();
                let (store, result) = self.work(store, move |s| s.write_vote(&written)).await;
                if result.is_err() {
                    return false;
                }
                store
            }
            false => store,
        };
        let mut core = self.core();
        if core.term != vote.term {
            core.follow(None);
        }
        core.term = vote.term;
        core.voted = vote.voted;
        if is_granted {
            core.heard = Instant::now();
        }
        drop(core);
        drop(held);
        self.wake();
        true
    }

    /// Follows `from` as the leader of `term`, if it is one.
    async fn follow_leader(&self, from: &str, term: u64) -> Option<StoreGuard> {
        // Before the wait for the store, which may be long on a slow disk.
        self.core().hear(from, term);
        let store = Arc::clone(&self.store).lock_owned().await;
        let store = self.adopt_locked(store, term).await;
        self.core().hear(from, term).then_some(store)
    }

    async fn take_entries(self: &Arc<Self>, from: &str, term: u64, append: Append) -> Tell {
        if append.is_pipelined {
            self.wait_for_entry(append.prev).await;
        }
        let is_beat = append.entries.is_empty();
        let beat = is_beat.then(|| self.core().beat(from, term, &append));
        if let Some(tell) = beat.flatten() {
            self.compare(&append.digests);
            self.wake();
            return tell;
        }
        let Some(store) = self.follow_leader(from, term).await else {
            return Tell::Refused;
        };
        let Some(entries) = Entry::read_all(&append.entries) else {
            return Tell::Refused;
        };
        let end = append.prev + entries.len() as u64;
        let fit = self.core().fit(&append, entries);
        let news = match fit {
            Fit::News(news) => news,
            Fit::Differs(tell) => return tell,
            Fit::Impossible(index) => {
                self.fail(&format!(
                    "{from} sent another entry at index {index}, which is committed here"
                ));
                return Tell::Stopped;
            }
        };
        if !self.store_entries(store, news).await {
            return Tell::Stopped;
        }
        self.core().commit_to(append.commit.min(end));
        let is_filled = self.core().is_filled(&append);
        if is_filled {
            let store = Arc::clone(&self.store).lock_owned().await;
            self.end_doubt(store).await;
        }
        self.compare(&append.digests);
        self.wake();
        Tell::Appended { matched: end }
    }

    /// Makes it lasting that nothing is missing at the log's end, where that was in doubt.
    pub(crate) async fn end_doubt(&self, store: StoreGuard) {
        if self.core().doubt.is_none() {
            return;
        }
        let (_store, result) = self.work(store, Store::end_doubt).await;
        if result.is_ok() {
            self.core().doubt = None;
            spdlog::info!("has everything again", kv: { replica = self.cfg.name.as_str() });
        }
    }

    /// Entries sent one after the other may overtake each other here; the ones before come soon.
    async fn wait_for_entry(&self, index: u64) {
        let mut changed = self.changed.subscribe();
        let has_it =
            async { while self.core().log.last() < index && changed.changed().await.is_ok() {} };
        // If they don't come, the leader is told that the logs differ.
        let _ = timeout(self.cfg.timing.heartbeat, has_it).await;
    }

    async fn store_entries(self: &Arc<Self>, store: StoreGuard, news: Vec<Arc<Entry>>) -> bool {
        if news.is_empty() {
            return true;
        }
        let has_members = news
            .iter()
            .any(|e| matches!(e.payload, Payload::Members(_)));
        let written = news.clone();
        let (_store, result) = self.work(store, move |s| s.append(&written)).await;
        if result.is_err() {
            return false;
        }
        {
            let mut core = self.core();
            core.log.append(news);
            core.durable = core.log.last();
        }
        if has_members {
            self.connect_members();
        }
        true
    }

    async fn take_chunk(self: &Arc<Self>, from: &str, term: u64, chunk: Chunk) -> Tell {
        let Some(store) = self.follow_leader(from, term).await else {
            return Tell::Refused;
        };
        let collected = self.core().collect(chunk);
        let snapshot = match collected {
            Collected::Whole(snapshot) => snapshot,
            Collected::Wants(offset) => return Tell::Want { offset },
        };
        let size = snapshot.state.len() as u64;
        let written = snapshot.clone();
        let (_store, result) = self.work(store, move |s| s.install(&written)).await;
        if result.is_err() {
            return Tell::Stopped;
        }
        self.core().install(snapshot);
        self.connect_members();
        self.wake();
        Tell::Want { offset: size }
    }
}

/// How a leader's entries fit the log here.
enum Fit {
    /// They follow; these are not there yet.
    News(Vec<Arc<Entry>>),
    /// The entry before them is not there.
    Differs(Tell),
    /// One contradicts a committed entry at this index.
    Impossible(u64),
}

/// What came of a part of a snapshot.
enum Collected {
    Whole(Snapshot),
    /// The offset of the part wanted next.
    Wants(u64),
}

impl Core {
    /// Whether the candidate has the identity that its name is known by; a candidate that knows
    /// of later members knows its own place better.
    fn knows(&self, name: &str, identity: uuid::Uuid, standing: &Standing) -> bool {
        let known = self.log.members().get(name).and_then(|m| m.identity);
        let is_later = standing.members_index > self.log.members_index();
        known.is_none_or(|known| known == identity) || is_later && self.is_behind(standing)
    }

    /// Whether the candidate's log holds everything that this one does.
    fn is_behind(&self, standing: &Standing) -> bool {
        (standing.last_term, standing.last) >= (self.log.last_term(), self.log.last())
    }

    /// Notes a sign of life of the leader of the current term.
    fn hear(&mut self, from: &str, term: u64) -> bool {
        if term != self.term || self.role == Role::Leader || self.failed.is_some() {
            return false;
        }
        self.heard = Instant::now();
        self.led = Some(self.heard);
        if self.role != Role::Follower || self.leader.as_deref() != Some(from) {
            self.follow(Some(from.to_owned()));
        }
        true
    }

    /// Answers a heartbeat that needs nothing from the store.
    fn beat(&mut self, from: &str, term: u64, append: &Append) -> Option<Tell> {
        let prev = append.prev;
        let fits = prev <= self.durable && self.log.term(prev) == Some(append.prev_term);
        if !fits || self.is_filled(append) || !self.hear(from, term) {
            return None;
        }
        self.commit_to(append.commit.min(prev));
        Some(Tell::Appended { matched: prev })
    }

    /// Whether a request that fits shows that the log here has all that the leader had when it
    /// heard of the doubt, and so all that was acknowledged here before.
    fn is_filled(&self, append: &Append) -> bool {
        let ends = |fill: Fill| Some(fill.doubt) == self.doubt && append.prev >= fill.last;
        append.fill.is_some_and(ends)
    }

    fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index);
    }

    fn fit(&self, append: &Append, entries: Vec<Entry>) -> Fit {
        let is_covered = append.prev < self.log.base();
        if !is_covered && self.log.term(append.prev) != Some(append.prev_term) {
            return Fit::Differs(Tell::Differs {
                last: self.log.last(),
                runs: self.log.runs(MAX_RUNS),
            });
        }
        let base = self.log.base();
        let is_there = |e: &Entry| e.index <= base || self.log.term(e.index) == Some(e.term);
        let news = entries.into_iter().skip_while(is_there).map(Arc::new);
        let news: Vec<_> = news.collect();
        match news.first() {
            Some(first) if first.index <= self.commit => Fit::Impossible(first.index),
            _ => Fit::News(news),
        }
    }

    fn collect(&mut self, chunk: Chunk) -> Collected {
        let meta = &chunk.meta;
        let has_it = self.log.term(meta.index) == Some(meta.term);
        if meta.index <= self.commit || has_it {
            // What was acknowledged behind it must not be thrown away.
            self.commit_to(meta.index);
            return Collected::Wants(chunk.size);
        }
        if self.incoming.as_ref().is_none_or(|s| s.meta != *meta) {
            let state = ByteBuf::new();
            let meta = meta.clone();
            self.incoming = Some(Snapshot { meta, state });
        }
        let Some(incoming) = &mut self.incoming else {
            return Collected::Wants(0);
        };
        let held = incoming.state.len() as u64;
        if chunk.offset != held {
            return Collected::Wants(held);
        }
        incoming.state.extend_from_slice(&chunk.part);
        let held = incoming.state.len() as u64;
        match self.incoming.take() {
            Some(whole) if held == chunk.size => Collected::Whole(whole),
            part => {
                self.incoming = part;
                Collected::Wants(held)
            }
        }
    }

    fn install(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        self.log = Log::new(meta.index, meta.term, meta.members.clone());
        self.durable = meta.index;
        self.commit_to(meta.index);
        self.restore = Some(snapshot);
    }
}
