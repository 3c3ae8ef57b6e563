//! In-memory state shared by the tasks of one replica.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::Instant,
};
use uuid::Uuid;

use crate::{
    Applied, Connect, Disk, PeerLink, ProposeError, ReplicaConfig, ReplicaError,
    log::Log,
    message::{CatchUpTarget, Digest},
    snapshot::Snapshot,
    status::Role,
    store::Store,
};

/// Sends the result of a proposal to its caller.
pub(crate) type ReplyTx = oneshot::Sender<Result<Applied, ProposeError>>;

/// A proposal not yet appended to the log.
pub(crate) struct Proposal {
    pub entry: Vec<u8>,
    pub tx: ReplyTx,
    /// Set once the entry is in the log, while the lock on [`Core`] is held.
    pub is_appended: Arc<AtomicBool>,
}

/// A proposal in the log whose entry is not applied yet.
pub(crate) struct PendingProposal {
    pub term: u64,
    pub tx: ReplyTx,
}

/// Replication progress of a peer, as seen by the leader.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be synced on the peer.
    pub matched: u64,
    /// Index of the next entry to send.
    pub next: u64,
    /// Whether the last index shared by the two logs is still unknown.
    pub is_probing: bool,
    /// Highest confirmation round acknowledged by the peer.
    pub round: u64,
    /// When the latest request that the peer answered was sent.
    pub answered: Option<Instant>,
    /// Folder identity in the peer's last response.
    pub identity: Option<Uuid>,
    /// Index that the peer must reach to clear its suspect tail, if it has one.
    pub catch_up: Option<CatchUpTarget>,
}

/// Connection to another replica.
pub(crate) struct PeerConnection {
    pub link: PeerLink,
    /// Address in the member list; empty if the link comes from the configuration.
    pub address: String,
}

/// Mutable shared state. The lock is held briefly and never across an `await`.
pub(crate) struct Core {
    pub role: Role,
    /// Whether this replica is the leader; watched by proposals not yet in the log.
    pub is_leading: watch::Sender<bool>,
    pub term: u64,
    pub voted_for: Option<String>,
    /// Term of the latest vote whose write has begun; it may not be stored yet.
    pub pending_vote_term: u64,
    pub leader: Option<String>,
    /// When the election timer was last reset: by a leader's request or a granted vote.
    pub last_contact: Instant,
    /// When a leader last sent a request in its current term.
    pub last_leader_contact: Option<Instant>,
    pub log: Log,
    /// Last index synced to the local disk.
    pub durable: u64,
    pub commit: u64,
    pub applied: u64,
    /// Index of the leader's first entry in its own term.
    pub term_first_index: u64,
    pub leading_since: Instant,
    pub progress: BTreeMap<String, Progress>,
    pub pending: BTreeMap<u64, PendingProposal>,
    /// Confirmation round sent with the next request to each peer.
    pub round: u64,
    pub digests: VecDeque<Digest>,
    /// The leader's state digests at indexes not yet applied here.
    pub expected_digests: BTreeMap<u64, u64>,
    /// Snapshot from the leader that the state machine has yet to restore.
    pub pending_restore: Option<Arc<Snapshot>>,
    pub partial_snapshot: Option<Snapshot>,
    pub peers: BTreeMap<String, PeerConnection>,
    /// Start time of the disk write in progress.
    pub write_started: Option<Instant>,
    /// Random id of this start, set while acknowledged entries may be missing because the log's
    /// tail was truncated and no leader has replaced it yet.
    pub suspect_tail: Option<Uuid>,
    pub failed: Option<String>,
    pub is_stopping: bool,
    /// Initial voters that had not agreed to form the group in the last attempt.
    pub missing_founders: Vec<String>,
}

/// A replica, shared by all of its tasks.
pub(crate) struct Shared {
    pub cfg: ReplicaConfig,
    pub identity: Uuid,
    pub connect: Connect,
    pub disk: Disk,
    pub store: Arc<tokio::sync::Mutex<Store>>,
    pub core: Mutex<Core>,
    pub proposals: mpsc::Sender<Proposal>,
    /// Makes the election task start an election immediately.
    pub take_over: mpsc::Sender<()>,
    /// Change counter that wakes waiting tasks.
    pub changed: watch::Sender<u64>,
    pub applied: watch::Sender<u64>,
    pub stopped: watch::Sender<bool>,
    pub tasks: Mutex<JoinSet<()>>,
    /// Held while a snapshot is written.
    pub snapshot_lock: Arc<tokio::sync::Mutex<()>>,
    /// Held while a snapshot is sent, so that only one is in memory at a time.
    pub transfer_lock: tokio::sync::Mutex<()>,
}

impl Shared {
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn notify_changed(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Runs `task` until the replica stops.
    pub(crate) fn spawn(self: &Arc<Self>, task: impl Future<Output = ()> + Send + 'static) {
        let mut stopped = self.stopped.subscribe();
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        // Reap finished tasks.
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            tokio::select! {
                biased;
                _ = stopped.wait_for(|stopped| *stopped) => {}
                () = task => {}
            }
        });
    }

    /// Runs `work` on the store, on a blocking thread if the disk may block. The store's lock
    /// serializes changes of term, vote and log.
    pub(crate) async fn with_store<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut Store) -> Result<T, ReplicaError> + Send + 'static,
    ) -> Result<T, ReplicaError> {
        let store = Arc::clone(&self.store).lock_owned().await;
        let (_store, result) = self.run_on_store(store, work).await;
        result
    }

    /// Like [`Self::with_store`], with a lock that the caller holds and gets back.
    pub(crate) async fn run_on_store<T: Send + 'static>(
        &self,
        mut store: StoreGuard,
        work: impl FnOnce(&mut Store) -> Result<T, ReplicaError> + Send + 'static,
    ) -> (StoreGuard, Result<T, ReplicaError>) {
        let work = move || {
            let result = work(&mut store);
            (store, result)
        };
        self.core().write_started = Some(Instant::now());
        let (store, result) = match self.disk.is_blocking {
            true => match tokio::task::spawn_blocking(work).await {
                Ok(done) => done,
                Err(e) if e.is_panic() => std::panic::resume_unwind(e.into_panic()),
                // The runtime is shutting down and will drop this task as well.
                Err(_) => std::future::pending().await,
            },
            false => work(),
        };
        self.core().write_started = None;
        if let Err(e) = &result {
            self.fail(&e.to_string());
        }
        (store, result)
    }

    /// Stops the replica permanently; peers get only `Stopped` from then on.
    pub(crate) fn fail(&self, reason: &str) {
        let mut core = self.core();
        if core.failed.is_some() {
            return;
        }
        spdlog::critical!("replica stopped", kv: { replica = self.cfg.name.as_str(), reason = reason });
        core.failed = Some(reason.to_owned());
        core.shut_down();
        drop(core);
        self.stopped.send_replace(true);
        self.notify_changed();
    }
}

/// Guard of the store's lock.
pub(crate) type StoreGuard = tokio::sync::OwnedMutexGuard<Store>;

impl Core {
    /// Fails all pending proposals with [`ProposeError::Lost`].
    pub(crate) fn fail_pending(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.pending) {
            // Fails if the proposer dropped its receiver.
            let _ = proposal.tx.send(Err(ProposeError::Lost));
        }
    }

    /// Leaves the leader or candidate role without changing the term.
    pub(crate) fn become_follower(&mut self, leader: Option<String>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.fail_pending();
        self.is_leading.send_replace(false);
    }

    /// Moves to the final `Stopped` role.
    pub(crate) fn shut_down(&mut self) {
        self.become_follower(None);
        self.role = Role::Stopped;
    }

    pub(crate) fn is_shut_down(&self) -> bool {
        self.failed.is_some() || self.is_stopping
    }

    /// Returns true if `name` is a voter whose recorded folder identity is `identity`.
    pub(crate) fn is_voter(&self, name: &str, identity: Uuid) -> bool {
        let voter = self.log.members().voter(name);
        voter.is_some_and(|m| m.identity == Some(identity))
    }
}
