//! The task that applies committed entries to the state machine and takes snapshots of it.

use std::sync::Arc;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_bytes::ByteBuf;
use tokio::sync::{OwnedMutexGuard, watch};

use crate::{
    Applied, ReplicaConfig, SnapshotEncoder, StateMachine,
    core::{Core, Shared},
    entry::{Entry, Payload},
    message::{Digest, SnapshotMeta},
    snapshot::{self, Snapshot},
};

/// Maximum number of entries applied before yielding.
const MAX_BATCH: u64 = 256;
/// Number of digests kept for comparison.
const MAX_DIGESTS: usize = 8;
/// `snapshot_after` divided by this many entries stay in the log before a snapshot, for slow peers, with at
/// most `snapshot_bytes` divided by it.
const KEPT_DIVISOR: u64 = 2;
/// Share of `snapshot_after` and `snapshot_bytes` from which on a snapshot may be due.
const LEAST_SNAPSHOT_SHARE: f64 = 2.0 / 3.0;

/// Runs until the replica stops; `machine` must be in the state of the last snapshot.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut machine: StateMachine,
    mut changed: watch::Receiver<u64>,
) {
    let mut snapshot_index = shared.core().applied;
    let mut bytes = 0;
    let mut schedule = SnapshotSchedule::new(&shared.cfg);
    loop {
        // Mark as seen before checking, so that a change after the check is not missed.
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
        let is_due = schedule.is_due(applied - snapshot_index, bytes);
        if is_due && start_snapshot(&shared, &mut machine, applied) {
            snapshot_index = applied;
            bytes = 0;
            schedule.next();
        }
        tokio::task::yield_now().await;
    }
}

/// When the next snapshot is due: at random in the last third of what the configuration allows, so that the
/// replicas of a group don't all take one at the same entry.
struct SnapshotSchedule {
    after: u64,
    bytes: u64,
    share: f64,
    rng: StdRng,
}

impl SnapshotSchedule {
    fn new(cfg: &ReplicaConfig) -> Self {
        let rng = match cfg.seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => StdRng::from_rng(&mut rand::rng()),
        };
        let mut schedule = Self {
            after: cfg.snapshot_after,
            bytes: cfg.snapshot_bytes,
            share: 1.0,
            rng,
        };
        schedule.next();
        schedule
    }

    fn next(&mut self) {
        self.share = self.rng.random_range(LEAST_SNAPSHOT_SHARE..=1.0);
    }

    fn is_due(&self, entries: u64, bytes: u64) -> bool {
        let reaches = |n: u64, most: u64| n as f64 >= most as f64 * self.share;
        reaches(entries, self.after) || reaches(bytes, self.bytes)
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
        // Fails if the proposer dropped its receiver.
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
    /// Compares the leader's digests with local ones, now or once their index is applied.
    pub(crate) fn compare_digests(&self, digests: &[Digest]) {
        let mut diverged_at = None;
        {
            let mut core = self.core();
            for remote in digests {
                let own = core.digests.iter().find(|own| own.index == remote.index);
                match own {
                    Some(own) if own.digest != remote.digest => diverged_at = Some(remote.index),
                    None if remote.index > core.applied => {
                        core.expected_digests.insert(remote.index, remote.digest);
                    }
                    _ => {}
                }
            }
        }
        if let Some(index) = diverged_at {
            self.fail_diverged(index);
        }
    }

    fn fail_diverged(&self, index: u64) {
        let reason =
            format!("the state at index {index} differs from the leader's; replace this replica");
        self.fail(&reason);
    }
}

/// Restores the snapshot received from the leader, if there is one, and returns its index.
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

/// Starts a snapshot of the state at `index`; returns false if one is already being written.
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

/// Writes a snapshot while entries continue to be applied and appended.
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
    // The runtime is shutting down and will drop this task as well.
    let Ok((_writing, written)) = outcome else {
        return;
    };
    if let Err(e) = written {
        shared.fail(&e.to_string());
        return;
    }
    let cfg = &shared.cfg;
    let (entries, bytes) = (cfg.snapshot_after, cfg.snapshot_bytes);
    let compact_to =
        shared
            .core()
            .log
            .compaction_index(index, entries / KEPT_DIVISOR, bytes / KEPT_DIVISOR);
    // Needs the store's lock, since a snapshot from the leader may have arrived meanwhile.
    let published = shared.with_store(move |store| store.publish_snapshot(index, compact_to));
    if published.await.is_ok() {
        shared.core().log.compact(compact_to, index);
    }
}
