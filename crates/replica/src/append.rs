//! The leader's task that appends proposals to the log, in batches with one sync each.

use std::sync::{Arc, atomic::Ordering};

use tokio::sync::mpsc;

use crate::{
    ProposeError,
    core::{Core, PendingProposal, Proposal, Shared, StoreGuard},
    entry::{Entry, Payload},
    status::Role,
};

/// Maximum number of proposals in a frame.
const MAX_BATCH: usize = 1_024;
/// Size of proposals in bytes at which a frame is full.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// Appends proposals until the replica stops.
pub(crate) async fn run(shared: Arc<Shared>, mut rx: mpsc::Receiver<Proposal>) {
    while let Some(first) = rx.recv().await {
        let store = Arc::clone(&shared.store).lock_owned().await;
        let batch = match shared.cfg.group_commit {
            true => collect_batch(first, &mut rx),
            false => vec![first],
        };
        write_batch(&shared, store, batch).await;
    }
}

fn collect_batch(first: Proposal, rx: &mut mpsc::Receiver<Proposal>) -> Vec<Proposal> {
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

async fn write_batch(shared: &Arc<Shared>, store: StoreGuard, batch: Vec<Proposal>) {
    let entries = {
        let mut core = shared.core();
        if core.role != Role::Leader || core.is_shut_down() {
            reject(&core, batch);
            return;
        }
        append_batch(&mut core, batch)
    };
    if !entries.is_empty() {
        shared.notify_changed();
        persist(shared, store, entries).await;
    }
}

fn reject(core: &Core, batch: Vec<Proposal>) {
    let error = match core.is_shut_down() {
        true => ProposeError::Stopped,
        false => ProposeError::NotLeader {
            leader: core.leader.clone(),
        },
    };
    for proposal in batch {
        // Fails if the proposer dropped its receiver.
        let _ = proposal.tx.send(Err(error.clone()));
    }
}

fn append_batch(core: &mut Core, batch: Vec<Proposal>) -> Vec<Arc<Entry>> {
    let term = core.term;
    let mut entries = Vec::new();
    // Skip proposals already rejected with `NotLeader`; the proposer closed the channel.
    let live = batch.into_iter().filter(|p| !p.tx.is_closed());
    for Proposal {
        entry,
        tx,
        is_appended,
    } in live
    {
        is_appended.store(true, Ordering::SeqCst);
        let index = core.log.last() + 1;
        let entry = Arc::new(Entry {
            index,
            term,
            payload: Payload::Data(entry),
        });
        core.log.append([Arc::clone(&entry)]);
        core.pending.insert(index, PendingProposal { term, tx });
        entries.push(entry);
    }
    entries
}

/// Stores entries that are already in the in-memory log and counts them once they are synced.
pub(crate) async fn persist(
    shared: &Arc<Shared>,
    store: StoreGuard,
    entries: Vec<Arc<Entry>>,
) -> StoreGuard {
    let last = entries.last().map_or(0, |e| e.index);
    let (store, result) = shared
        .run_on_store(store, move |s| s.append(&entries))
        .await;
    if result.is_ok() {
        let mut core = shared.core();
        core.durable = core.durable.max(last);
        core.advance_commit(shared);
        drop(core);
        shared.notify_changed();
    }
    store
}
