//! Replication task of a peer: sends entries, heartbeats and snapshots while this replica leads.

use std::{pin::Pin, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::{
    core::{Core, Progress, Shared},
    entry::Entry,
    member,
    message::{Append, CatchUpTarget, RequestBody, Response, ResponseBody, SnapshotChunk},
    snapshot::{self, Snapshot},
    status::Role,
};

/// Maximum number of requests in flight to a peer while entries are sent.
const MAX_ENTRY_REQUESTS: usize = 8;
/// Maximum number of requests in flight to a peer, including heartbeats.
const MAX_IN_FLIGHT: usize = 24;
/// Maximum bytes of entries in a request, unless a single entry is larger.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// Size of a snapshot chunk in bytes.
const CHUNK_BYTES: usize = 512 << 10;
/// Multiple of `election_max` after which a request with entries, including their sync, times out.
const APPEND_TIMEOUT_FACTOR: u32 = 2;

/// Outcome of a request.
struct CompletedCall {
    epoch: u64,
    has_entries: bool,
    sent_at: Instant,
    round: u64,
    response: Option<Response>,
}

type InFlight = FuturesUnordered<Pin<Box<dyn Future<Output = CompletedCall> + Send>>>;

/// Replication to one peer during one term as leader.
struct PeerReplication {
    shared: Arc<Shared>,
    peer: String,
    term: u64,
    in_flight: InFlight,
    /// Incremented when requests in flight turn out to be based on a wrong view of the peer's log.
    epoch: u64,
    sent_commit: u64,
    sent_round: u64,
    heartbeat_at: Instant,
}

/// Next action for a peer.
enum Step {
    Send(Append, Duration),
    SendSnapshot,
    Wait,
}

/// Replicates to one peer until the replica stops.
pub(crate) async fn run(shared: Arc<Shared>, peer: String) {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.borrow_and_update();
        let term = shared.core().leads(&peer);
        match term {
            Some(term) => replicate_as_leader(&shared, &peer, term, &mut changed).await,
            None if changed.changed().await.is_err() => return,
            None => {}
        }
    }
}

async fn replicate_as_leader(
    shared: &Arc<Shared>,
    peer: &str,
    term: u64,
    changed: &mut watch::Receiver<u64>,
) {
    let mut replication = PeerReplication {
        shared: Arc::clone(shared),
        peer: peer.to_owned(),
        term,
        in_flight: FuturesUnordered::new(),
        epoch: 0,
        sent_commit: 0,
        sent_round: 0,
        heartbeat_at: Instant::now(),
    };
    loop {
        changed.borrow_and_update();
        if shared.core().leads(peer) != Some(term) {
            return;
        }
        match replication.next_step() {
            Step::Send(append, limit) => {
                replication.send(append, limit);
                continue;
            }
            Step::SendSnapshot => {
                replication.send_snapshot().await;
                continue;
            }
            Step::Wait => {}
        }
        let heartbeat_at = replication.heartbeat_at;
        tokio::select! {
            biased;
            () = sleep_until(heartbeat_at) => replication.send_heartbeat(),
            Some(completed) = replication.in_flight.next() => replication.handle_completed(completed).await,
            _ = changed.changed() => {}
        }
    }
}

impl Core {
    /// Returns the term if this replica leads and `peer` is a member.
    fn leads(&self, peer: &str) -> Option<u64> {
        let is_tracked = self.progress.contains_key(peer);
        (self.role == Role::Leader && is_tracked && self.failed.is_none()).then_some(self.term)
    }

    /// Creates a request with `entries` after `prev`, if the term of `prev` is still known.
    fn append_request(&self, prev: u64, entries: &[Arc<Entry>]) -> Option<Append> {
        let mut bytes = Vec::new();
        for entry in entries {
            entry.write(&mut bytes);
        }
        Some(Append {
            prev,
            prev_term: self.log.term(prev)?,
            entries: bytes,
            commit: self.commit,
            round: self.round,
            is_pipelined: false,
            digests: Vec::new(),
            catch_up: None,
        })
    }
}

impl PeerReplication {
    fn next_step(&mut self) -> Step {
        let shared = Arc::clone(&self.shared);
        let mut core = shared.core();
        let last = core.log.last();
        let Some(progress) = core.progress.get(&self.peer).cloned() else {
            return Step::Wait;
        };
        let has_capacity = !progress.is_probing && self.in_flight.len() < MAX_ENTRY_REQUESTS;
        if has_capacity && progress.next <= last {
            return self.next_entries(&mut core, &progress);
        }
        let has_updates = core.commit > self.sent_commit && self.in_flight.is_empty()
            || core.round > self.sent_round;
        match core.append_request(progress.matched, &[]) {
            Some(append) if has_capacity && has_updates => {
                Step::Send(append, self.heartbeat_timeout())
            }
            _ => Step::Wait,
        }
    }

    fn next_entries(&mut self, core: &mut Core, progress: &Progress) -> Step {
        let entries = core.log.entries_from(progress.next, MAX_APPEND_BYTES);
        let Some(mut append) = core.append_request(progress.next - 1, &entries) else {
            return Step::SendSnapshot;
        };
        append.is_pipelined = !self.in_flight.is_empty();
        if let Some(progress) = core.progress.get_mut(&self.peer) {
            progress.next += entries.len() as u64;
        }
        let limit = self.shared.cfg.timing.election_max * APPEND_TIMEOUT_FACTOR;
        Step::Send(append, limit)
    }

    fn heartbeat_timeout(&self) -> Duration {
        self.shared.cfg.timing.election_max
    }

    /// Sends a heartbeat, which also probes for the last shared index.
    fn send_heartbeat(&mut self) {
        self.heartbeat_at = Instant::now() + self.shared.cfg.timing.heartbeat;
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let append = {
            let core = shared.core();
            let Some(progress) = core.progress.get(&self.peer) else {
                return;
            };
            let prev = match progress.is_probing {
                true => progress.next - 1,
                false => progress.matched,
            };
            // Entries before the log's base are only in the snapshot; its index works as well.
            let prev = prev.max(core.log.base());
            let digests = core.digests.iter().copied().collect();
            let catch_up = progress.catch_up;
            let append = core.append_request(prev, &[]);
            append.map(|append| Append {
                digests,
                catch_up,
                ..append
            })
        };
        if let Some(append) = append {
            self.send(append, self.heartbeat_timeout());
        }
    }

    fn send(&mut self, append: Append, limit: Duration) {
        let shared = Arc::clone(&self.shared);
        let (peer, term, epoch) = (self.peer.clone(), self.term, self.epoch);
        let (sent_at, round) = (Instant::now(), append.round);
        let has_entries = !append.entries.is_empty();
        self.sent_commit = append.commit;
        self.sent_round = round;
        self.in_flight.push(Box::pin(async move {
            let response = shared
                .call(&peer, term, RequestBody::Append(append), limit)
                .await;
            CompletedCall {
                epoch,
                has_entries,
                sent_at,
                round,
                response,
            }
        }));
    }

    async fn handle_completed(&mut self, completed: CompletedCall) {
        let is_current = completed.epoch == self.epoch;
        let Some(response) = completed.response else {
            // A lost heartbeat carried no entries.
            self.restart_probing(is_current && completed.has_entries);
            return;
        };
        if response.term > self.term {
            self.shared.adopt_term(response.term).await;
            return;
        }
        match &response.body {
            ResponseBody::Appended { matched } => {
                let matched = *matched;
                self.record_response(
                    &response,
                    completed.sent_at,
                    completed.round,
                    |progress, _| {
                        progress.matched = progress.matched.max(matched);
                        // While probing, entries sent after `matched` may be lost.
                        let next = match progress.is_probing {
                            true => 0,
                            false => progress.next,
                        };
                        progress.next = next.max(progress.matched + 1);
                        progress.is_probing = false;
                    },
                );
            }
            ResponseBody::Differs { last, runs } => {
                let (last, runs) = (*last, runs.clone());
                self.epoch += u64::from(is_current);
                self.record_response(
                    &response,
                    completed.sent_at,
                    completed.round,
                    |progress, core| {
                        // While probing, no other request in flight depends on this state.
                        if is_current || progress.is_probing {
                            let shared = core.log.last_shared_index(last, &runs).unwrap_or(0);
                            // A disk may lose synced data: trust what the peer's log has now.
                            progress.matched = progress.matched.min(shared);
                            progress.next = shared + 1;
                            progress.is_probing = false;
                        }
                    },
                );
            }
            _ => self.restart_probing(is_current),
        }
        member::record_identities(&self.shared).await;
    }

    /// Goes back to the last known shared index and probes before sending entries.
    fn restart_probing(&mut self, is_current: bool) {
        if !is_current {
            return;
        }
        self.epoch += 1;
        let mut core = self.shared.core();
        if let Some(progress) = core.progress.get_mut(&self.peer) {
            progress.is_probing = true;
            if progress.matched > 0 {
                progress.next = progress.matched + 1;
            }
        }
    }

    /// Records the response of a peer; `update` applies what it reported about its log.
    fn record_response(
        &self,
        response: &Response,
        sent_at: Instant,
        round: u64,
        update: impl FnOnce(&mut Progress, &Core),
    ) {
        let mut core = self.shared.core();
        if core.leads(&self.peer) != Some(self.term) {
            return;
        }
        let next = core.log.last() + 1;
        let Some(mut progress) = core.progress.remove(&self.peer) else {
            return;
        };
        if progress.identity != Some(response.identity) {
            // A different folder: discard the progress of the previous one.
            let is_first = progress.identity.is_none();
            progress = match is_first {
                true => progress,
                false => Progress::new(next),
            };
            progress.identity = Some(response.identity);
            self.warn_replaced_folder(&core, response);
        }
        if progress.catch_up.map(|catch_up| catch_up.suspect_tail) != response.suspect_tail {
            let last = core.log.last();
            progress.catch_up = response
                .suspect_tail
                .map(|suspect_tail| CatchUpTarget { suspect_tail, last });
        }
        progress.round = progress.round.max(round);
        progress.answered = progress.answered.max(Some(sent_at));
        update(&mut progress, &core);
        core.progress.insert(self.peer.clone(), progress);
        core.advance_commit(&self.shared);
        drop(core);
        self.shared.notify_changed();
    }

    /// Warns once that a member's folder is not the one it was added with.
    fn warn_replaced_folder(&self, core: &Core, response: &Response) {
        let known = core.log.members().get(&self.peer).and_then(|m| m.identity);
        if known.is_some_and(|known| known != response.identity) {
            spdlog::warn!(
                "a member's folder was replaced, it doesn't count: remove it and add it again",
                kv: { replica = self.shared.cfg.name.as_str(), peer = self.peer.as_str() }
            );
        }
    }

    /// Sends the last snapshot in chunks; entries continue after it.
    async fn send_snapshot(&mut self) {
        let shared = Arc::clone(&self.shared);
        let Ok(_sending) = shared.transfer_lock.try_lock() else {
            // Heartbeats go on meanwhile; the next answered one triggers another attempt.
            self.restart_probing(true);
            return;
        };
        let disk = self.shared.disk.clone();
        let read = self.shared.with_store(move |_| snapshot::read(&disk)).await;
        let Ok(Some(snapshot)) = read else {
            self.restart_probing(true);
            return;
        };
        let mut offset = 0;
        while offset < snapshot.state.len() as u64 || offset == 0 {
            let Some(next_offset) = self.send_chunk(&snapshot, offset).await else {
                self.restart_probing(true);
                // The next answered heartbeat triggers another attempt.
                return;
            };
            if next_offset == snapshot.state.len() as u64 {
                break;
            }
            offset = next_offset;
        }
    }

    async fn send_chunk(&mut self, snapshot: &Snapshot, offset: u64) -> Option<u64> {
        let rest = snapshot.state.get(offset as usize..).unwrap_or_default();
        let part = rest[..rest.len().min(CHUNK_BYTES)].to_vec();
        let size = snapshot.state.len() as u64;
        let chunk = SnapshotChunk {
            meta: snapshot.meta.clone(),
            size,
            offset,
            part,
        };
        let (sent_at, round) = (Instant::now(), self.shared.core().round);
        let limit = self.shared.cfg.timing.election_max * APPEND_TIMEOUT_FACTOR;
        let call = self
            .shared
            .call(&self.peer, self.term, RequestBody::Snapshot(chunk), limit);
        let response = call.await?;
        if response.term > self.term {
            self.shared.adopt_term(response.term).await;
            return None;
        }
        let ResponseBody::Want {
            offset: next_offset,
        } = response.body
        else {
            return None;
        };
        let index = snapshot.meta.index;
        self.record_response(&response, sent_at, round, |progress, _| {
            if next_offset == size {
                progress.matched = progress.matched.max(index);
                progress.next = progress.matched + 1;
            }
        });
        Some(next_offset)
    }
}
