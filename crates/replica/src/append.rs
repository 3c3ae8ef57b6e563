//! The leader's task that puts proposals into the log, many with one sync.

use std::sync::{Arc, atomic::Ordering};

use tokio::sync::mpsc;

use crate::{
    ProposeError,
    core::{Core, Proposal, Shared, StoreGuard, Waiter},
    entry::{Entry, Payload},
    status::Role,
};

/// Most proposals in one frame.
const MAX_BATCH: usize = 1_024;
/// Bytes of proposals after which a frame is full.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// Takes proposals until the replica stops.
pub(crate) async fn run(shared: Arc<Shared>, mut rx: mpsc::Receiver<Proposal>) {
    while let Some(first) = rx.recv().await {
        let store = Arc::clone(&shared.store).lock_owned().await;
        let batch = match shared.cfg.group_commit {
            true => gather(first, &mut rx),
            false => vec![first],
        };
        write(&shared, store, batch).await;
    }
}

fn gather(first: Proposal, rx: &mut mpsc::Receiver<Proposal>) -> Vec<Proposal> {
    let mut bytes = first.entry.len();
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH && bytes < MAX_BATCH_BYTES {
        let Ok(next) = rx.try_recv() else {
            break;
        };
        bytes += next.entry.len();
        batch.push(next);
    }
    batch
}

async fn write(shared: &Arc<Shared>, store: StoreGuard, batch: Vec<Proposal>) {
    let entries = {
        let mut core = shared.core();
        if core.role != Role::Leader || core.is_ended() {
            refuse(&core, batch);
            return;
        }
        take_in(&mut core, batch)
    };
    if !entries.is_empty() {
        shared.wake();
        persist(shared, store, entries).await;
    }
}

fn refuse(core: &Core, batch: Vec<Proposal>) {
    let error = match core.is_ended() {
        true => ProposeError::Stopped,
        false => ProposeError::NotLeader {
            leader: core.leader.clone(),
        },
    };
    for proposal in batch {
        // A proposer that gave up has dropped its end.
        let _ = proposal.tx.send(Err(error.clone()));
    }
}

fn take_in(core: &mut Core, batch: Vec<Proposal>) -> Vec<Arc<Entry>> {
    let term = core.term;
    let mut entries = Vec::new();
    // One whose proposer was told "not the leader" meanwhile is not appended any more.
    let wanted = batch.into_iter().filter(|p| !p.tx.is_closed());
    for Proposal {
        entry,
        tx,
        is_taken,
    } in wanted
    {
        is_taken.store(true, Ordering::SeqCst);
        let index = core.log.last() + 1;
        let entry = Arc::new(Entry {
            index,
            term,
            payload: Payload::Data(entry),
        });
        core.log.append([Arc::clone(&entry)]);
        core.waiting.insert(index, Waiter { term, tx });
        entries.push(entry);
    }
    entries
}

/// Writes entries that are in the log in memory already, and counts them once they are synced.
pub(crate) async fn persist(
    shared: &Arc<Shared>,
    store: StoreGuard,
    entries: Vec<Arc<Entry>>,
) -> StoreGuard {
    let last = entries.last().map_or(0, |e| e.index);
    let (store, result) = shared.work(store, move |s| s.append(&entries)).await;
    if result.is_ok() {
        let mut core = shared.core();
        core.durable = core.durable.max(last);
        core.advance(shared);
        drop(core);
        shared.wake();
    }
    store
}
