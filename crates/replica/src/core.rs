//! What the tasks of one replica share in memory.

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

/// Where a proposal's reply goes.
pub(crate) type ReplyTx = oneshot::Sender<Result<Applied, ProposeError>>;

/// A proposal on its way to the log.
pub(crate) struct Proposal {
    pub entry: Vec<u8>,
    pub tx: ReplyTx,
    /// Set, under the lock of the shared state, once it is in the log.
    pub is_appended: Arc<AtomicBool>,
}

/// A proposal in the log.
pub(crate) struct PendingProposal {
    pub term: u64,
    pub tx: ReplyTx,
}

/// How far a peer is, as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Known to be synced there.
    pub matched: u64,
    /// The next entry to send.
    pub next: u64,
    /// Whether it is still to be found out where the logs part.
    pub is_probing: bool,
    /// The highest round that the peer confirmed.
    pub round: u64,
    /// When the last request that it answered was sent.
    pub answered: Option<Instant>,
    /// The identity that it answered with.
    pub identity: Option<Uuid>,
    /// Where it is in doubt: what ends that.
    pub catch_up: Option<CatchUpTarget>,
}

/// The way to another replica.
pub(crate) struct PeerConnection {
    pub link: PeerLink,
    /// Its address among the members; empty where the link came from the settings.
    pub address: String,
}

/// The shared state; locked for short steps only, never over an await.
pub(crate) struct Core {
    pub role: Role,
    /// Whether this replica leads, for proposals that wait for the log.
    pub is_leading: watch::Sender<bool>,
    pub term: u64,
    pub voted_for: Option<String>,
    pub leader: Option<String>,
    /// When a leader was last heard, or a vote given.
    pub last_contact: Instant,
    /// When a leader of this term was last heard.
    pub last_leader_contact: Option<Instant>,
    pub log: Log,
    /// The last index that is synced here.
    pub durable: u64,
    pub commit: u64,
    pub applied: u64,
    /// Index of the first entry of the own term, while leading.
    pub term_first_index: u64,
    pub leading_since: Instant,
    pub progress: BTreeMap<String, Progress>,
    pub pending: BTreeMap<u64, PendingProposal>,
    /// The round of confirmation that the next request to a peer carries.
    pub round: u64,
    pub digests: VecDeque<Digest>,
    /// The leader's digests that were not yet reached here.
    pub expected_digests: BTreeMap<u64, u64>,
    /// A snapshot from the leader that the state machine has yet to take.
    pub pending_restore: Option<Snapshot>,
    pub partial_snapshot: Option<Snapshot>,
    pub peers: BTreeMap<String, PeerConnection>,
    /// When the write began that the disk has not finished.
    pub write_started: Option<Instant>,
    /// A mark of this start, where the log's tail was cut and no leader has filled it yet.
    pub suspect_tail: Option<Uuid>,
    pub failed: Option<String>,
    pub is_stopping: bool,
    /// The first voters that the group can't begin without, as last seen.
    pub missing_founders: Vec<String>,
}

/// One replica.
pub(crate) struct Shared {
    pub cfg: ReplicaConfig,
    pub identity: Uuid,
    pub connect: Connect,
    pub disk: Disk,
    pub store: Arc<tokio::sync::Mutex<Store>>,
    pub core: Mutex<Core>,
    pub proposals: mpsc::Sender<Proposal>,
    /// Tells the election's task to begin one at once.
    pub take_over: mpsc::Sender<()>,
    /// Rises whenever something changed that a task may wait for.
    pub changed: watch::Sender<u64>,
    pub applied: watch::Sender<u64>,
    pub stopped: watch::Sender<bool>,
    pub tasks: Mutex<JoinSet<()>>,
    /// Held while a snapshot is written.
    pub snapshot_lock: Arc<tokio::sync::Mutex<()>>,
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
        // Those that ended are forgotten.
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            tokio::select! {
                biased;
                _ = stopped.wait_for(|stopped| *stopped) => {}
                () = task => {}
            }
        });
    }

    /// Works on the store, off the runtime's threads where it may block; the store's lock is what
    /// keeps changes of term, vote and log in one order.
    pub(crate) async fn with_store<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut Store) -> Result<T, ReplicaError> + Send + 'static,
    ) -> Result<T, ReplicaError> {
        let store = Arc::clone(&self.store).lock_owned().await;
        let (_store, result) = self.run_on_store(store, work).await;
        result
    }

    /// Like [`Self::with_store`] with the lock held before and after.
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
                // The runtime is shutting down and ends this task as well.
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

    /// Stops the replica for good: it answers nothing from here on.
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

/// The store's lock, held.
pub(crate) type StoreGuard = tokio::sync::OwnedMutexGuard<Store>;

impl Core {
    /// Tells all proposals in the log that their fate is unknown.
    pub(crate) fn fail_pending(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.pending) {
            // A proposer that gave up has dropped its end.
            let _ = proposal.tx.send(Err(ProposeError::Lost));
        }
    }

    /// Ends leading or campaigning; the term stays.
    pub(crate) fn become_follower(&mut self, leader: Option<String>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.fail_pending();
        self.is_leading.send_replace(false);
    }

    /// Ends for good.
    pub(crate) fn shut_down(&mut self) {
        self.become_follower(None);
        self.role = Role::Stopped;
    }

    pub(crate) fn is_shut_down(&self) -> bool {
        self.failed.is_some() || self.is_stopping
    }

    /// Whether `name` with the folder `identity` counts as a voter.
    pub(crate) fn is_voter(&self, name: &str, identity: Uuid) -> bool {
        let voter = self.log.members().voter(name);
        voter.is_some_and(|m| m.identity == Some(identity))
    }
}
