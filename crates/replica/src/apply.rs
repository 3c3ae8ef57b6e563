//! The task that feeds committed entries to the state machine, and takes snapshots of it.

use std::sync::Arc;

use serde_bytes::ByteBuf;
use tokio::sync::{OwnedMutexGuard, watch};

use crate::{
    Applied, SnapshotEncoder, StateMachine,
    core::{Core, Shared},
    entry::{Entry, Payload},
    message::{Digest, SnapshotMeta},
    snapshot::{self, Snapshot},
};

/// Most entries applied between two looks at other work.
const MAX_BATCH: u64 = 256;
/// Digests kept for comparison.
const MAX_DIGESTS: usize = 8;
/// The share of `snapshot_after` that stays in the log behind a snapshot, for slow peers.
const KEPT_DIVISOR: u64 = 2;

/// Applies until the replica stops; the state machine is as of the last snapshot.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut machine: StateMachine,
    mut changed: watch::Receiver<u64>,
) {
    let mut snapshot_index = shared.core().applied;
    let mut bytes = 0;
    loop {
        // Seen before looking, so that a change after the look is not missed.
        changed.borrow_and_update();
        if let Some(restored) = restore(&shared, &mut machine) {
            snapshot_index = restored;
        }
        let batch = committed(&shared.core());
        if batch.is_empty() {
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        }
        for entry in &batch {
            apply(&shared, &mut machine, entry);
            bytes += entry.approximate_bytes() as u64;
        }
        let applied = shared.core().applied;
        let is_due = applied - snapshot_index >= shared.cfg.snapshot_after;
        let is_due = is_due || bytes >= shared.cfg.snapshot_bytes;
        if is_due && start_snapshot(&shared, &mut machine, applied) {
            snapshot_index = applied;
            bytes = 0;
        }
        tokio::task::yield_now().await;
    }
}

fn committed(core: &Core) -> Vec<Arc<Entry>> {
    if core.failed.is_some() || core.pending_restore.is_some() {
        return Vec::new();
    }
    let end = core.commit.min(core.applied + MAX_BATCH);
    let indexes = core.applied + 1..=end;
    indexes.map_while(|i| core.log.get(i).cloned()).collect()
}

fn apply(shared: &Shared, machine: &mut StateMachine, entry: &Entry) {
    if shared.core().pending_restore.is_some() {
        return;
    }
    let reply = match &entry.payload {
        Payload::Data(data) => (machine.apply)(entry.index, data),
        Payload::Empty | Payload::Members(_) => Vec::new(),
    };
    let is_digest_due = entry.index.is_multiple_of(shared.cfg.digest_interval);
    let digest = is_digest_due.then(|| (machine.digest)());
    let proposal = {
        let mut core = shared.core();
        core.applied = entry.index;
        core.pending.remove(&entry.index)
    };
    shared.applied.send_replace(entry.index);
    if let Some(proposal) = proposal.filter(|w| w.term == entry.term) {
        let index = entry.index;
        // A proposer that gave up has dropped its end.
        let _ = proposal.tx.send(Ok(Applied { index, reply }));
    }
    if let Some(digest) = digest {
        record_digest(shared, entry.index, digest);
    }
}

fn record_digest(shared: &Shared, index: u64, digest: u64) {
    let expected = {
        let mut core = shared.core();
        core.digests.push_back(Digest { index, digest });
        if core.digests.len() > MAX_DIGESTS {
            core.digests.pop_front();
        }
        let expected = core.expected_digests.remove(&index);
        core.expected_digests = core.expected_digests.split_off(&index);
        expected
    };
    if expected.is_some_and(|expected| expected != digest) {
        shared.fail_diverged(index);
    }
}

impl Shared {
    /// Compares the leader's digests with the own ones, now or once they are reached.
    pub(crate) fn compare_digests(&self, digests: &[Digest]) {
        let mut differs = None;
        {
            let mut core = self.core();
            for leader_digest in digests {
                let own = core
                    .digests
                    .iter()
                    .find(|own| own.index == leader_digest.index);
                match own {
                    Some(own) if own.digest != leader_digest.digest => {
                        differs = Some(leader_digest.index)
                    }
                    None if leader_digest.index > core.applied => {
                        core.expected_digests
                            .insert(leader_digest.index, leader_digest.digest);
                    }
                    _ => {}
                }
            }
        }
        if let Some(index) = differs {
            self.fail_diverged(index);
        }
    }

    fn fail_diverged(&self, index: u64) {
        let reason =
            format!("the state at index {index} differs from the leader's; replace this replica");
        self.fail(&reason);
    }
}

/// Takes in a snapshot from the leader, if one waits, and returns its index.
fn restore(shared: &Shared, machine: &mut StateMachine) -> Option<u64> {
    let snapshot = shared.core().pending_restore.clone()?;
    let index = snapshot.meta.index;
    if let Err(reason) = (machine.restore)(index, &snapshot.state) {
        shared.fail(&format!("restore the snapshot of index {index}: {reason}"));
        return None;
    }
    let mut core = shared.core();
    core.pending_restore = None;
    core.applied = core.applied.max(index);
    core.commit = core.commit.max(index);
    drop(core);
    shared.applied.send_replace(index);
    shared.notify_changed();
    Some(index)
}

/// Begins to write a snapshot of the state at `index`; `false` while another one is being written.
fn start_snapshot(shared: &Arc<Shared>, machine: &mut StateMachine, index: u64) -> bool {
    let Ok(writing) = Arc::clone(&shared.snapshot_lock).try_lock_owned() else {
        return false;
    };
    let meta = {
        let core = shared.core();
        SnapshotMeta {
            index,
            term: core.log.term(index).unwrap_or(0),
            members: core.log.members_at(index).clone(),
        }
    };
    let encode = (machine.snapshot)();
    shared.spawn(write_snapshot(Arc::clone(shared), writing, meta, encode));
    true
}

/// Writes a snapshot while entries go on being applied and appended.
async fn write_snapshot(
    shared: Arc<Shared>,
    writing: OwnedMutexGuard<()>,
    meta: SnapshotMeta,
    encode: SnapshotEncoder,
) {
    let (index, disk) = (meta.index, shared.disk.clone());
    let write = move || {
        let state = ByteBuf::from(encode());
        let written = snapshot::write_temp(&disk, &Snapshot { meta, state });
        (writing, written)
    };
    let outcome = match shared.disk.is_blocking {
        true => tokio::task::spawn_blocking(write).await,
        false => Ok(write()),
    };
    // The runtime is shutting down and ends this task as well.
    let Ok((_writing, written)) = outcome else {
        return;
    };
    if let Err(e) = written {
        shared.fail(&e.to_string());
        return;
    }
    let compact_to = index.saturating_sub(shared.cfg.snapshot_after / KEPT_DIVISOR);
    // Under the store's lock, since a snapshot from the leader may have come meanwhile.
    let published = shared.with_store(move |store| store.publish_snapshot(index, compact_to));
    if published.await.is_ok() {
        shared.core().log.compact(compact_to, index);
    }
}
