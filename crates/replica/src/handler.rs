//! Handles requests of other replicas; everything a response reports is synced first.

use std::sync::Arc;

use serde_bytes::ByteBuf;
use tokio::time::{Instant, timeout};

use crate::{
    core::{Core, Shared, StoreGuard},
    entry::{Entry, Payload},
    log::Log,
    message::{
        Append, Candidate, CatchUpTarget, Request, RequestBody, Response, ResponseBody,
        SnapshotChunk,
    },
    snapshot::Snapshot,
    state_file::Vote,
    status::Role,
    store::Store,
};

/// Maximum number of terms reported to a leader whose log differs.
const MAX_TERM_RUNS: usize = 64;

impl Shared {
    /// Handles an encoded request of the replica on `vm`.
    pub(crate) async fn handle_request(self: &Arc<Self>, vm: &str, encoded: &[u8]) -> Response {
        let is_shut_down = *self.stopped.borrow();
        let body = match link::decode::<Request>(encoded) {
            _ if is_shut_down => ResponseBody::Stopped,
            Ok(req) if req.from == vm => self.dispatch(req).await,
            _ => ResponseBody::Refused,
        };
        let core = self.core();
        let body = match core.failed.is_some() {
            true => ResponseBody::Stopped,
            false => body,
        };
        Response {
            identity: self.identity,
            term: core.term,
            suspect_tail: core.suspect_tail,
            body,
        }
    }

    async fn dispatch(self: &Arc<Self>, req: Request) -> ResponseBody {
        let Request {
            from,
            identity,
            term,
            body,
        } = req;
        match body {
            RequestBody::PreVote(candidate) => self.pre_vote(&from, identity, term, &candidate),
            RequestBody::Vote(candidate) => self.vote(from, identity, term, &candidate).await,
            RequestBody::Append(append) => self.append_entries(&from, term, append).await,
            RequestBody::Snapshot(chunk) => self.receive_chunk(&from, term, chunk).await,
            RequestBody::ReadIndex => self
                .read_index()
                .await
                .map_or(ResponseBody::Refused, ResponseBody::ReadIndex),
            RequestBody::TakeOver if self.is_led_by(&from, term) => {
                // The channel is full if a request is already queued.
                let _ = self.take_over.try_send(());
                ResponseBody::TakingOver
            }
            RequestBody::TakeOver => ResponseBody::Refused,
        }
    }

    fn is_led_by(&self, name: &str, term: u64) -> bool {
        let core = self.core();
        core.term == term && core.leader.as_deref() == Some(name)
    }

    fn pre_vote(
        &self,
        from: &str,
        identity: uuid::Uuid,
        term: u64,
        candidate: &Candidate,
    ) -> ResponseBody {
        let core = self.core();
        match () {
            () if !core.accepts_identity(from, identity, candidate) => ResponseBody::WrongIdentity,
            () if term <= core.term.max(core.pending_vote_term) || self.has_leader(&core) => {
                ResponseBody::Denied
            }
            () if !core.accepts_founders(&self.cfg.name, self.identity, candidate) => {
                ResponseBody::Denied
            }
            () if core.accepts_log(candidate) && core.suspect_tail.is_some() => {
                ResponseBody::SuspectTail
            }
            () if core.accepts_log(candidate) => ResponseBody::Granted,
            () => ResponseBody::Denied,
        }
    }

    /// Returns true if this replica leads or a leader was in contact within `election_min`.
    fn has_leader(&self, core: &Core) -> bool {
        let limit = self.cfg.timing.election_min;
        let is_recent = core
            .last_leader_contact
            .is_some_and(|at| at.elapsed() < limit);
        core.role == Role::Leader || core.leader.is_some() && is_recent
    }

    async fn vote(
        &self,
        from: String,
        identity: uuid::Uuid,
        term: u64,
        candidate: &Candidate,
    ) -> ResponseBody {
        let store = Arc::clone(&self.store).lock_owned().await;
        let (vote, is_granted) = {
            let core = self.core();
            if !core.accepts_identity(&from, identity, candidate) {
                return ResponseBody::WrongIdentity;
            }
            let is_disruptive = !candidate.is_transfer && self.has_leader(&core);
            if term < core.term || is_disruptive || core.is_shut_down() && core.role != Role::Leader
            {
                return ResponseBody::Denied;
            }
            let voted_for = core.voted_for.clone().filter(|_| term == core.term);
            let has_no_other_vote = voted_for
                .as_ref()
                .is_none_or(|voted_for| *voted_for == from);
            let accepts_founders = core.accepts_founders(&self.cfg.name, self.identity, candidate);
            let can_vote = core.suspect_tail.is_none() || candidate.is_up_to_date;
            let is_granted =
                has_no_other_vote && accepts_founders && can_vote && core.accepts_log(candidate);
            let voted_for = match is_granted {
                true => Some(from),
                false => voted_for,
            };
            (Vote { term, voted_for }, is_granted)
        };
        let founders = candidate.founders.clone().filter(|_| is_granted);
        let Some(store) = self.persist_founders(store, founders).await else {
            return ResponseBody::Stopped;
        };
        if self.persist_vote(store, vote, is_granted).await && is_granted {
            return ResponseBody::Granted;
        }
        ResponseBody::Denied
    }

    /// Stores the vote if it changed, then updates the in-memory state.
    async fn persist_vote(&self, store: StoreGuard, vote: Vote, is_granted: bool) -> bool {
        let is_changed = {
            let core = self.core();
            core.term != vote.term || core.voted_for != vote.voted_for
        };
        // Hold the lock until the vote is updated in memory as well.
        let store_guard = match is_changed {
            true => {
                let written = vote.clone();
                if is_granted {
                    self.core().pending_vote_term = vote.term;
                }
                let (store, result) = self
                    .run_on_store(store, move |s| s.write_vote(&written))
                    .await;
                if result.is_err() {
                    return false;
                }
                store
            }
            false => store,
        };
        let mut core = self.core();
        if core.term != vote.term {
            core.become_follower(None);
        }
        core.term = vote.term;
        core.voted_for = vote.voted_for;
        if is_granted {
            core.last_contact = Instant::now();
        }
        drop(core);
        drop(store_guard);
        self.notify_changed();
        true
    }

    /// Follows `from` as the leader of `term`, unless that term is stale.
    async fn follow_leader(&self, from: &str, term: u64) -> Option<StoreGuard> {
        // Record this before waiting for the store, which can take long on a slow disk.
        self.core().record_leader_contact(from, term);
        let store = Arc::clone(&self.store).lock_owned().await;
        let store = self.adopt_term_locked(store, term).await;
        self.core()
            .record_leader_contact(from, term)
            .then_some(store)
    }

    async fn append_entries(
        self: &Arc<Self>,
        from: &str,
        term: u64,
        append: Append,
    ) -> ResponseBody {
        if append.is_pipelined {
            self.wait_for_entry(append.prev).await;
        }
        let is_heartbeat = append.entries.is_empty();
        let heartbeat = is_heartbeat.then(|| self.core().handle_heartbeat(from, term, &append));
        if let Some(body) = heartbeat.flatten() {
            self.compare_digests(&append.digests);
            self.notify_changed();
            return body;
        }
        let Some(store) = self.follow_leader(from, term).await else {
            return ResponseBody::Refused;
        };
        let Some(entries) = Entry::read_all(&append.entries) else {
            return ResponseBody::Refused;
        };
        let end = append.prev + entries.len() as u64;
        let log_match = self.core().match_entries(&append, entries);
        let new_entries = match log_match {
            LogMatch::New(new_entries) => new_entries,
            LogMatch::Differs(body) => return body,
            LogMatch::Conflict(index) => {
                self.fail(&format!(
                    "{from} sent another entry at index {index}, which is committed here"
                ));
                return ResponseBody::Stopped;
            }
        };
        if !self.store_entries(store, new_entries).await {
            return ResponseBody::Stopped;
        }
        self.core().commit_to(append.commit.min(end));
        let is_caught_up = self.core().is_caught_up(&append);
        if is_caught_up {
            let store = Arc::clone(&self.store).lock_owned().await;
            self.clear_suspect_tail(store).await;
        }
        self.compare_digests(&append.digests);
        self.notify_changed();
        ResponseBody::Appended { matched: end }
    }

    /// Clears the suspect tail, if any, and removes its marker file.
    pub(crate) async fn clear_suspect_tail(&self, store: StoreGuard) {
        if self.core().suspect_tail.is_none() {
            return;
        }
        let (_store, result) = self.run_on_store(store, Store::clear_suspect_tail).await;
        if result.is_ok() {
            self.core().suspect_tail = None;
            spdlog::info!("has everything again", kv: { replica = self.cfg.name.as_str() });
        }
    }

    /// Waits briefly for the entry at `index`, since pipelined requests may arrive out of order.
    async fn wait_for_entry(&self, index: u64) {
        let mut changed = self.changed.subscribe();
        let has_entry =
            async { while self.core().log.last() < index && changed.changed().await.is_ok() {} };
        // On timeout, the response reports that the logs differ.
        let _ = timeout(self.cfg.timing.heartbeat, has_entry).await;
    }

    async fn store_entries(
        self: &Arc<Self>,
        store: StoreGuard,
        new_entries: Vec<Arc<Entry>>,
    ) -> bool {
        if new_entries.is_empty() {
            return true;
        }
        let has_members = new_entries
            .iter()
            .any(|e| matches!(e.payload, Payload::Members(_)));
        let written = new_entries.clone();
        let (_store, result) = self.run_on_store(store, move |s| s.append(&written)).await;
        if result.is_err() {
            return false;
        }
        {
            let mut core = self.core();
            core.log.append(new_entries);
            core.durable = core.log.last();
        }
        if has_members {
            self.connect_members();
        }
        true
    }

    async fn receive_chunk(
        self: &Arc<Self>,
        from: &str,
        term: u64,
        chunk: SnapshotChunk,
    ) -> ResponseBody {
        let Some(store) = self.follow_leader(from, term).await else {
            return ResponseBody::Refused;
        };
        let progress = self.core().add_chunk(chunk);
        let snapshot = match progress {
            ChunkProgress::Complete(snapshot) => snapshot,
            ChunkProgress::Incomplete(offset) => return ResponseBody::Want { offset },
        };
        let size = snapshot.state.len() as u64;
        let snapshot = Arc::new(snapshot);
        let written = Arc::clone(&snapshot);
        let (_store, result) = self
            .run_on_store(store, move |s| s.install_snapshot(&written))
            .await;
        if result.is_err() {
            return ResponseBody::Stopped;
        }
        self.core().reset_to(snapshot);
        self.connect_members();
        self.notify_changed();
        ResponseBody::Want { offset: size }
    }
}

/// Result of matching a leader's entries against the local log.
enum LogMatch {
    /// The entries match; contains those that are missing here.
    New(Vec<Arc<Entry>>),
    /// The entry before them differs or is missing.
    Differs(ResponseBody),
    /// An entry conflicts with a committed entry at this index.
    Conflict(u64),
}

/// Result of adding a snapshot chunk.
enum ChunkProgress {
    Complete(Snapshot),
    /// Offset of the next chunk; the snapshot's size if no more is needed.
    Incomplete(u64),
}

impl Core {
    /// Returns true if the candidate has its recorded identity, or has a log as up to date as this
    /// one and a later member list, which may record another identity.
    fn accepts_identity(&self, name: &str, identity: uuid::Uuid, candidate: &Candidate) -> bool {
        let known = self.log.members().get(name).and_then(|m| m.identity);
        let is_later = candidate.members_index > self.log.members_index();
        known.is_none_or(|known| known == identity) || is_later && self.accepts_log(candidate)
    }

    /// Returns true if the candidate's log is at least as up to date as this one.
    fn accepts_log(&self, candidate: &Candidate) -> bool {
        (candidate.last_term, candidate.last) >= (self.log.last_term(), self.log.last())
    }

    /// Records contact by the leader of `term`; returns false if it can't be followed.
    fn record_leader_contact(&mut self, from: &str, term: u64) -> bool {
        if term != self.term || self.role == Role::Leader || self.failed.is_some() {
            return false;
        }
        self.last_contact = Instant::now();
        self.last_leader_contact = Some(self.last_contact);
        if self.role != Role::Follower || self.leader.as_deref() != Some(from) {
            self.become_follower(Some(from.to_owned()));
        }
        true
    }

    /// Handles a heartbeat; returns `None` if the store is needed.
    fn handle_heartbeat(&mut self, from: &str, term: u64, append: &Append) -> Option<ResponseBody> {
        let prev = append.prev;
        let fits = prev <= self.durable && self.log.term(prev) == Some(append.prev_term);
        if !fits || self.is_caught_up(append) || !self.record_leader_contact(from, term) {
            return None;
        }
        self.commit_to(append.commit.min(prev));
        Some(ResponseBody::Appended { matched: prev })
    }

    /// Returns true if a matching request proves that the log has everything the leader had when
    /// it learned of the suspect tail, and so everything acknowledged here before.
    fn is_caught_up(&self, append: &Append) -> bool {
        let is_reached = |catch_up: CatchUpTarget| {
            Some(catch_up.suspect_tail) == self.suspect_tail && append.prev >= catch_up.last
        };
        append.catch_up.is_some_and(is_reached)
    }

    fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index);
    }

    fn match_entries(&self, append: &Append, entries: Vec<Entry>) -> LogMatch {
        let is_covered = append.prev < self.log.base();
        if !is_covered && self.log.term(append.prev) != Some(append.prev_term) {
            return LogMatch::Differs(ResponseBody::Differs {
                last: self.log.last(),
                runs: self.log.term_runs(MAX_TERM_RUNS),
            });
        }
        let base = self.log.base();
        let is_there = |e: &Entry| e.index <= base || self.log.term(e.index) == Some(e.term);
        let new_entries = entries.into_iter().skip_while(is_there).map(Arc::new);
        let new_entries: Vec<_> = new_entries.collect();
        match new_entries.first() {
            Some(first) if first.index <= self.commit => LogMatch::Conflict(first.index),
            _ => LogMatch::New(new_entries),
        }
    }

    fn add_chunk(&mut self, chunk: SnapshotChunk) -> ChunkProgress {
        let meta = &chunk.meta;
        let has_entry = self.log.term(meta.index) == Some(meta.term);
        if meta.index <= self.commit || has_entry {
            // Keep the log: entries after the snapshot may have been acknowledged.
            self.commit_to(meta.index);
            return ChunkProgress::Incomplete(chunk.size);
        }
        if self
            .partial_snapshot
            .as_ref()
            .is_none_or(|s| s.meta != *meta)
        {
            let state = ByteBuf::new();
            let meta = meta.clone();
            self.partial_snapshot = Some(Snapshot { meta, state });
        }
        let Some(partial_snapshot) = &mut self.partial_snapshot else {
            return ChunkProgress::Incomplete(0);
        };
        let received = partial_snapshot.state.len() as u64;
        if chunk.offset != received {
            return ChunkProgress::Incomplete(received);
        }
        partial_snapshot.state.extend_from_slice(&chunk.part);
        let received = partial_snapshot.state.len() as u64;
        match self.partial_snapshot.take() {
            Some(snapshot) if received == chunk.size => ChunkProgress::Complete(snapshot),
            part => {
                self.partial_snapshot = part;
                ChunkProgress::Incomplete(received)
            }
        }
    }

    fn reset_to(&mut self, snapshot: Arc<Snapshot>) {
        let meta = &snapshot.meta;
        self.log = Log::new(meta.index, meta.term, meta.members.clone());
        self.durable = meta.index;
        self.commit_to(meta.index);
        self.pending_restore = Some(snapshot);
    }
}
