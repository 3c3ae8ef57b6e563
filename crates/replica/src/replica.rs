//! Public handle of a replica.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::{self, Debug, Formatter},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{Instant, timeout},
};
use uuid::Uuid;

use crate::{
    Connect, Disk, MemberChange, MemberError, PeerLink, ProposeError, ReplicaConfig, ReplicaError,
    StateMachine, Status, append, apply,
    core::{Core, Proposal, Shared},
    election,
    entry::Payload,
    peer,
    status::Role,
    store::{Loaded, Store},
};

/// Maximum number of proposals queued for the log writer.
const MAX_QUEUED_PROPOSALS: usize = 4_096;
/// Maximum number of proposals in the log that are not applied yet.
const MAX_PENDING: usize = 16_384;
/// Multiple of `election_max` after which read barriers and the steps of a stop time out.
const STOP_TIMEOUT_FACTOR: u32 = 2;

/// Result of a committed and applied proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Index of the entry.
    pub index: u64,
    /// Reply of the state machine.
    pub reply: Vec<u8>,
}

/// Handle of a running replica; clones refer to the same replica.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
}

impl Debug for Replica {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Replica")
            .field(&self.shared.cfg.name)
            .finish()
    }
}

impl Replica {
    /// Opens the data folder, restores `machine` from the last snapshot and starts the replica.
    pub async fn start(
        cfg: ReplicaConfig,
        peers: Vec<link::Peer>,
        machine: StateMachine,
    ) -> Result<Self, ReplicaError> {
        let folder = cfg.folder.clone();
        let disk = tokio::task::spawn_blocking(move || Disk::open(&folder))
            .await
            .expect("opening a folder does not panic")?;
        let connect = peer::connect_over_links(cfg.link.clone());
        let peers = peers.into_iter().map(PeerLink::from).collect();
        Self::start_with(cfg, disk, peers, connect, machine).await
    }

    /// Like [`Self::start`] with a given disk and links, for tests.
    pub async fn start_with(
        cfg: ReplicaConfig,
        disk: Disk,
        peers: Vec<PeerLink>,
        connect: Connect,
        mut machine: StateMachine,
    ) -> Result<Self, ReplicaError> {
        let loaded = load(&cfg, &disk).await?;
        if let Some(snapshot) = &loaded.snapshot {
            let index = snapshot.meta.index;
            let restored = (machine.restore)(index, &snapshot.state);
            restored.map_err(|reason| ReplicaError::Restore { index, reason })?;
        }
        let (proposals, proposals_rx) = mpsc::channel(MAX_QUEUED_PROPOSALS);
        let (take_over, take_over_rx) = mpsc::channel(1);
        let shared = Arc::new(build_shared(
            cfg, disk, connect, loaded, proposals, take_over,
        ));
        for peer in peers {
            shared.add_peer(peer, String::new());
        }
        shared.connect_members();
        let changed = shared.changed.subscribe();
        shared.spawn(append::run(Arc::clone(&shared), proposals_rx));
        shared.spawn(apply::run(Arc::clone(&shared), machine, changed));
        shared.spawn(election::run(Arc::clone(&shared), take_over_rx));
        Ok(Self { shared })
    }

    /// Appends an entry to the log and returns the state machine's reply once it is applied.
    pub async fn propose(&self, entry: Vec<u8>) -> Result<Applied, ProposeError> {
        if entry.len() > self.shared.cfg.max_entry_bytes {
            return Err(ProposeError::TooLarge);
        }
        self.check_leader()?;
        if self.shared.core().pending.len() >= MAX_PENDING {
            return Err(ProposeError::Busy);
        }
        let (tx, rx) = oneshot::channel();
        let is_appended = Arc::new(AtomicBool::new(false));
        let proposal = Proposal {
            entry,
            tx,
            is_appended: Arc::clone(&is_appended),
        };
        let enqueued = self.shared.proposals.try_send(proposal);
        enqueued.map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => ProposeError::Busy,
            mpsc::error::TrySendError::Closed(_) => ProposeError::Stopped,
        })?;
        self.await_reply(rx, &is_appended).await
    }

    /// Waits for the reply; fails immediately if leadership is lost before the entry is appended.
    async fn await_reply(
        &self,
        mut rx: oneshot::Receiver<Result<Applied, ProposeError>>,
        is_appended: &AtomicBool,
    ) -> Result<Applied, ProposeError> {
        let mut is_leading = self.shared.core().is_leading.subscribe();
        tokio::select! {
            biased;
            // The writer drops the sender only if the entry was not appended.
            reply = &mut rx => return reply.unwrap_or(Err(ProposeError::Stopped)),
            // An error means that the replica is gone, which the reply reports.
            _ = is_leading.wait_for(|leads| !*leads) => {}
        }
        {
            // The writer appends proposals under this lock, so the flag can't change meanwhile.
            let core = self.shared.core();
            if !is_appended.load(Ordering::SeqCst) {
                rx.close();
                return Err(match core.is_shut_down() {
                    true => ProposeError::Stopped,
                    false => ProposeError::NotLeader {
                        leader: core.leader.clone(),
                    },
                });
            }
        }
        rx.await.unwrap_or(Err(ProposeError::Lost))
    }

    fn check_leader(&self) -> Result<(), ProposeError> {
        let core = self.shared.core();
        match core.role {
            _ if core.is_shut_down() => Err(ProposeError::Stopped),
            Role::Leader => Ok(()),
            _ => Err(ProposeError::NotLeader {
                leader: core.leader.clone(),
            }),
        }
    }

    /// Waits until every entry committed before the call is applied here and returns its index.
    ///
    /// The leader has a quorum confirm its leadership first; a follower queries the leader.
    pub async fn read_barrier(&self) -> Result<u64, ProposeError> {
        let shared = &self.shared;
        let index = match self.check_leader() {
            Ok(()) => shared.read_index().await,
            Err(ProposeError::NotLeader {
                leader: Some(leader),
            }) => shared.request_read_index(leader).await,
            Err(e) => Err(e),
        }?;
        let mut applied = shared.applied.subscribe();
        let mut stopped = shared.stopped.subscribe();
        let limit = shared.cfg.timing.election_max * STOP_TIMEOUT_FACTOR;
        let waited = tokio::select! {
            biased;
            waited = timeout(limit, applied.wait_for(|a| *a >= index)) => waited.is_ok(),
            _ = stopped.wait_for(|stopped| *stopped) => return Err(ProposeError::Stopped),
        };
        match waited {
            true => Ok(index),
            false => Err(shared.not_leader()),
        }
    }

    /// Handles a request of another replica; responds only once the reported state is synced.
    pub async fn handle_request(&self, from: &link::Identity, body: Vec<u8>) -> Vec<u8> {
        let shared = Arc::clone(&self.shared);
        let vm = from.vm.clone();
        // Runs in its own task, since a lost connection drops this future, possibly mid-write.
        let task = tokio::spawn(async move { shared.handle_request(&vm, &body).await });
        let response = task.await;
        response.map_or_else(|_| Vec::new(), |response| link::encode(&response))
    }

    /// Makes one membership change and returns once it is applied.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), MemberError> {
        self.shared.change_members(change).await
    }

    /// Returns the current state of the replica.
    pub fn status(&self) -> Status {
        self.shared.status()
    }

    /// Returns the entries in the log that are not applied yet, of which some may never be committed.
    pub fn unapplied(&self) -> Vec<Vec<u8>> {
        let core = self.shared.core();
        let entries = (core.applied + 1..=core.log.last()).filter_map(|i| core.log.get(i));
        let data = entries.filter_map(|entry| match &entry.payload {
            Payload::Data(data) => Some(data.clone()),
            Payload::Empty | Payload::Members(_) => None,
        });
        data.collect()
    }

    /// Returns a receiver of the last applied index, which never decreases.
    pub fn watch_applied(&self) -> watch::Receiver<u64> {
        self.shared.applied.subscribe()
    }

    /// Rejects new proposals, waits for pending ones, transfers leadership and stops.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.core().is_stopping = true;
        let limit = shared.cfg.timing.election_max * STOP_TIMEOUT_FACTOR;
        let mut applied = shared.applied.subscribe();
        let drained =
            async { while !shared.core().pending.is_empty() && applied.changed().await.is_ok() {} };
        // Proposals still pending after the timeout fail with `Lost`.
        let _ = timeout(limit, drained).await;
        let _ = timeout(limit, shared.transfer_leadership()).await;
        self.end().await;
    }

    /// Stops immediately, as a crash would, but releases the folder's lock.
    pub async fn abort(&self) {
        self.shared.core().is_stopping = true;
        self.end().await;
    }

    async fn end(&self) {
        let shared = &self.shared;
        shared.stopped.send_replace(true);
        {
            let mut core = shared.core();
            core.shut_down();
        }
        let tasks = &shared.tasks;
        let mut tasks = std::mem::take(&mut *tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.shutdown().await;
        shared.core().peers.clear();
        // A write in progress finishes on its own thread, and no other starts.
        let _written = shared.snapshot_lock.lock().await;
        let _flushed = shared.store.lock().await;
        (shared.disk.release)();
    }
}

async fn load(cfg: &ReplicaConfig, disk: &Disk) -> Result<Loaded, ReplicaError> {
    let (name, voters) = (cfg.name.clone(), cfg.voters.clone());
    let segment_bytes = cfg.segment_bytes;
    let files = disk.clone();
    let load_store = move || Store::load(files, &name, &voters, segment_bytes);
    match disk.is_blocking {
        true => tokio::task::spawn_blocking(load_store)
            .await
            .expect("loading the store does not panic"),
        false => load_store(),
    }
}

/// Returns a random id of this start if the log's tail is suspect.
fn suspect_tail(cfg: &ReplicaConfig, has_suspect_tail: bool) -> Option<Uuid> {
    #[cfg(any(test, feature = "broken-variants"))]
    let has_suspect_tail =
        has_suspect_tail && cfg.broken_variant != Some(crate::BrokenVariant::SuspectTailVote);
    if has_suspect_tail {
        spdlog::warn!(
            "the last record was damaged or torn and is cut: gives no vote until it is filled",
            kv: { replica = cfg.name.as_str() }
        );
    }
    has_suspect_tail.then(Uuid::new_v4)
}

fn build_shared(
    cfg: ReplicaConfig,
    disk: Disk,
    connect: Connect,
    loaded: Loaded,
    proposals: mpsc::Sender<Proposal>,
    take_over: mpsc::Sender<()>,
) -> Shared {
    let applied = loaded.snapshot.map_or(0, |s| s.meta.index);
    let now = Instant::now();
    #[cfg(any(test, feature = "broken-variants"))]
    let mut loaded = Loaded {
        snapshot: None,
        ..loaded
    };
    #[cfg(any(test, feature = "broken-variants"))]
    {
        loaded.store.skip_vote_sync =
            cfg.broken_variant == Some(crate::BrokenVariant::UnsyncedVote);
    }
    let core = Core {
        role: Role::Follower,
        is_leading: watch::Sender::new(false),
        term: loaded.vote.term,
        voted_for: loaded.vote.voted_for,
        pending_vote_term: 0,
        leader: None,
        last_contact: now,
        last_leader_contact: None,
        durable: loaded.log.last(),
        log: loaded.log,
        commit: applied,
        applied,
        term_first_index: 0,
        leading_since: now,
        progress: BTreeMap::new(),
        pending: BTreeMap::new(),
        round: 0,
        digests: VecDeque::new(),
        expected_digests: BTreeMap::new(),
        pending_restore: None,
        partial_snapshot: None,
        peers: BTreeMap::new(),
        write_started: None,
        suspect_tail: suspect_tail(&cfg, loaded.has_suspect_tail),
        failed: None,
        is_stopping: false,
        missing_founders: Vec::new(),
    };
    Shared {
        cfg,
        identity: loaded.identity,
        connect,
        disk,
        store: Arc::new(tokio::sync::Mutex::new(loaded.store)),
        core: Mutex::new(core),
        proposals,
        take_over,
        changed: watch::Sender::new(0),
        applied: watch::Sender::new(applied),
        stopped: watch::Sender::new(false),
        tasks: Mutex::new(JoinSet::new()),
        snapshot_lock: Arc::default(),
        transfer_lock: tokio::sync::Mutex::default(),
    }
}
