//! One task per peer: while this replica leads, it sends the peer entries, heartbeats, snapshots.

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
    message::{Append, Ask, Chunk, Fill, Response, Tell},
    snapshot::{self, Snapshot},
    status::Role,
};

/// Most requests with entries under way to one peer.
const WINDOW: usize = 8;
/// Most requests under way to one peer, heartbeats included.
const MAX_FLYING: usize = 24;
/// Bytes of entries after which a request is full.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// Bytes of one part of a snapshot.
const CHUNK_BYTES: usize = 512 << 10;
/// Times of `election_max` that a request with entries may take, their sync included.
const ENTRIES_PATIENCE: u32 = 2;

/// What came of one request.
struct Landed {
    epoch: u64,
    has_entries: bool,
    sent_at: Instant,
    round: u64,
    response: Option<Response>,
}

type Flying = FuturesUnordered<Pin<Box<dyn Future<Output = Landed> + Send>>>;

/// One leadership's exchange with one peer.
struct Exchange {
    shared: Arc<Shared>,
    peer: String,
    term: u64,
    flying: Flying,
    /// Rises when what is under way was sent under a wrong idea of the peer's log.
    epoch: u64,
    sent_commit: u64,
    sent_round: u64,
    beat_at: Instant,
}

/// What to do next for a peer.
enum Step {
    Send(Append, Duration),
    SendSnapshot,
    Wait,
}

/// Serves one peer until the replica stops.
pub(crate) async fn run(shared: Arc<Shared>, peer: String) {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.borrow_and_update();
        let term = shared.core().leads(&peer);
        match term {
            Some(term) => lead(&shared, &peer, term, &mut changed).await,
            None if changed.changed().await.is_err() => return,
            None => {}
        }
    }
}

async fn lead(shared: &Arc<Shared>, peer: &str, term: u64, changed: &mut watch::Receiver<u64>) {
    let mut exchange = Exchange {
        shared: Arc::clone(shared),
        peer: peer.to_owned(),
        term,
        flying: FuturesUnordered::new(),
        epoch: 0,
        sent_commit: 0,
        sent_round: 0,
        beat_at: Instant::now(),
    };
    loop {
        changed.borrow_and_update();
        if shared.core().leads(peer) != Some(term) {
            return;
        }
        match exchange.next() {
            Step::Send(append, limit) => {
                exchange.send(append, limit);
                continue;
            }
            Step::SendSnapshot => {
                exchange.send_snapshot().await;
                continue;
            }
            Step::Wait => {}
        }
        let beat_at = exchange.beat_at;
        tokio::select! {
            biased;
            () = sleep_until(beat_at) => exchange.beat(),
            Some(landed) = exchange.flying.next() => exchange.take(landed).await,
            _ = changed.changed() => {}
        }
    }
}

impl Core {
    /// The term, if this replica leads and `peer` is one of its members.
    fn leads(&self, peer: &str) -> Option<u64> {
        let is_tracked = self.progress.contains_key(peer);
        (self.role == Role::Leader && is_tracked && self.failed.is_none()).then_some(self.term)
    }

    /// A request with `entries` after `prev`, if the term of `prev` is still known.
    fn request(&self, prev: u64, entries: &[Arc<Entry>]) -> Option<Append> {
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
            fill: None,
        })
    }
}

impl Exchange {
    fn next(&mut self) -> Step {
        let shared = Arc::clone(&self.shared);
        let mut core = shared.core();
        let last = core.log.last();
        let Some(progress) = core.progress.get(&self.peer).cloned() else {
            return Step::Wait;
        };
        let is_free = !progress.is_probing && self.flying.len() < WINDOW;
        if is_free && progress.next <= last {
            return self.next_entries(&mut core, &progress);
        }
        let has_news = core.commit > self.sent_commit && self.flying.is_empty()
            || core.round > self.sent_round;
        match core.request(progress.matched, &[]) {
            Some(append) if is_free && has_news => Step::Send(append, self.beat_limit()),
            _ => Step::Wait,
        }
    }

    fn next_entries(&mut self, core: &mut Core, progress: &Progress) -> Step {
        let entries = core.log.from(progress.next, MAX_APPEND_BYTES);
        let Some(mut append) = core.request(progress.next - 1, &entries) else {
            return Step::SendSnapshot;
        };
        append.is_pipelined = !self.flying.is_empty();
        if let Some(progress) = core.progress.get_mut(&self.peer) {
            progress.next += entries.len() as u64;
        }
        let limit = self.shared.cfg.timing.election_max * ENTRIES_PATIENCE;
        Step::Send(append, limit)
    }

    fn beat_limit(&self) -> Duration {
        self.shared.cfg.timing.election_max
    }

    /// Sends a heartbeat, which also finds out where the logs part.
    fn beat(&mut self) {
        self.beat_at = Instant::now() + self.shared.cfg.timing.heartbeat;
        if self.flying.len() >= MAX_FLYING {
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
            // Behind the log's base there is only the snapshot, whose index serves as well.
            let prev = prev.max(core.log.base());
            let digests = core.digests.iter().copied().collect();
            let fill = progress.fill;
            let append = core.request(prev, &[]);
            append.map(|append| Append {
                digests,
                fill,
                ..append
            })
        };
        if let Some(append) = append {
            self.send(append, self.beat_limit());
        }
    }

    fn send(&mut self, append: Append, limit: Duration) {
        let shared = Arc::clone(&self.shared);
        let (peer, term, epoch) = (self.peer.clone(), self.term, self.epoch);
        let (sent_at, round) = (Instant::now(), append.round);
        let has_entries = !append.entries.is_empty();
        self.sent_commit = append.commit;
        self.sent_round = round;
        self.flying.push(Box::pin(async move {
            let response = shared.ask(&peer, term, Ask::Append(append), limit).await;
            Landed {
                epoch,
                has_entries,
                sent_at,
                round,
                response,
            }
        }));
    }

    async fn take(&mut self, landed: Landed) {
        let is_current = landed.epoch == self.epoch;
        let Some(response) = landed.response else {
            // A lost heartbeat took nothing with it.
            self.start_over(is_current && landed.has_entries);
            return;
        };
        if response.term > self.term {
            self.shared.adopt(response.term).await;
            return;
        }
        match &response.tell {
            Tell::Appended { matched } => {
                let matched = *matched;
                self.note(&response, landed.sent_at, landed.round, |progress, _| {
                    progress.matched = progress.matched.max(matched);
                    // While probing, what was sent behind `matched` may be lost.
                    let next = match progress.is_probing {
                        true => 0,
                        false => progress.next,
                    };
                    progress.next = next.max(progress.matched + 1);
                    progress.is_probing = false;
                });
            }
            Tell::Differs { last, runs } => {
                let (last, runs) = (*last, runs.clone());
                self.epoch += u64::from(is_current);
                self.note(&response, landed.sent_at, landed.round, |progress, core| {
                    // While probing nothing else is under way that this could upset.
                    if is_current || progress.is_probing {
                        let shared = core.log.shared_with(last, &runs).unwrap_or(0);
                        // A disk may lose what it had synced: the log there is what counts.
                        progress.matched = progress.matched.min(shared);
                        progress.next = shared + 1;
                        progress.is_probing = false;
                    }
                });
            }
            _ => self.start_over(is_current),
        }
        member::bind(&self.shared).await;
    }

    /// Goes back to what is known to be there, and asks first.
    fn start_over(&mut self, is_current: bool) {
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

    /// Notes an answer of a peer that follows, with `update` for what it said of its log.
    fn note(
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
            // Another folder: what the one before had says nothing.
            let is_first = progress.identity.is_none();
            progress = match is_first {
                true => progress,
                false => Progress::new(next),
            };
            progress.identity = Some(response.identity);
            self.warn_of_stranger(&core, response);
        }
        if progress.fill.map(|fill| fill.doubt) != response.doubt {
            let last = core.log.last();
            progress.fill = response.doubt.map(|doubt| Fill { doubt, last });
        }
        progress.round = progress.round.max(round);
        progress.answered = progress.answered.max(Some(sent_at));
        update(&mut progress, &core);
        core.progress.insert(self.peer.clone(), progress);
        core.advance(&self.shared);
        drop(core);
        self.shared.wake();
    }

    /// Says once that a member's folder is not the one that it was added with.
    fn warn_of_stranger(&self, core: &Core, response: &Response) {
        let known = core.log.members().get(&self.peer).and_then(|m| m.identity);
        if known.is_some_and(|known| known != response.identity) {
            spdlog::warn!(
                "a member's folder was replaced, it doesn't count: remove it and add it again",
                kv: { replica = self.shared.cfg.name.as_str(), peer = self.peer.as_str() }
            );
        }
    }

    /// Sends the last snapshot part by part, then entries go on behind it.
    async fn send_snapshot(&mut self) {
        let disk = self.shared.disk.clone();
        let read = self.shared.with_store(move |_| snapshot::read(&disk)).await;
        let Ok(Some(snapshot)) = read else {
            self.start_over(true);
            return;
        };
        let mut offset = 0;
        while offset < snapshot.state.len() as u64 || offset == 0 {
            let Some(wanted) = self.send_chunk(&snapshot, offset).await else {
                self.start_over(true);
                // The next try comes with the next answered heartbeat.
                return;
            };
            if wanted == snapshot.state.len() as u64 {
                break;
            }
            offset = wanted;
        }
    }

    async fn send_chunk(&mut self, snapshot: &Snapshot, offset: u64) -> Option<u64> {
        let rest = snapshot.state.get(offset as usize..).unwrap_or_default();
        let part = rest[..rest.len().min(CHUNK_BYTES)].to_vec();
        let size = snapshot.state.len() as u64;
        let chunk = Chunk {
            meta: snapshot.meta.clone(),
            size,
            offset,
            part,
        };
        let (sent_at, round) = (Instant::now(), self.shared.core().round);
        let limit = self.shared.cfg.timing.election_max * ENTRIES_PATIENCE;
        let asked = self
            .shared
            .ask(&self.peer, self.term, Ask::Snapshot(chunk), limit);
        let response = asked.await?;
        if response.term > self.term {
            self.shared.adopt(response.term).await;
            return None;
        }
        let Tell::Want { offset: wanted } = response.tell else {
            return None;
        };
        let index = snapshot.meta.index;
        self.note(&response, sent_at, round, |progress, _| {
            if wanted == size {
                progress.matched = progress.matched.max(index);
                progress.next = progress.matched + 1;
            }
        });
        Some(wanted)
    }
}
