//! The handle on one replica.

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
    election, peer,
    status::Role,
    store::{Loaded, Store},
};

/// Most proposals that wait for the log's writer.
const MAX_QUEUED_PROPOSALS: usize = 4_096;
/// Most proposals in the log that wait for their commit.
const MAX_PENDING: usize = 16_384;
/// Times of `election_max` that a stopping replica gives to what is under way.
const STOP_TIMEOUT_FACTOR: u32 = 2;

/// The reply to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The entry's index.
    pub index: u64,
    /// The state machine's reply.
    pub reply: Vec<u8>,
}

/// A handle on a replica that runs; clones are the same replica.
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
    /// Reads the folder, brings `machine` to the last snapshot and starts the replica's tasks.
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

    /// Like [`Self::start`] on any disk and any links, as tests need it.
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

    /// Puts an entry into the log and returns the state machine's reply once it is committed.
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

    /// The reply; where leadership goes before the entry is in the log, that is said at once.
    async fn await_reply(
        &self,
        mut rx: oneshot::Receiver<Result<Applied, ProposeError>>,
        is_appended: &AtomicBool,
    ) -> Result<Applied, ProposeError> {
        let mut is_leading = self.shared.core().is_leading.subscribe();
        tokio::select! {
            biased;
            // Dropped by the writer's end only before it was appended.
            reply = &mut rx => return reply.unwrap_or(Err(ProposeError::Stopped)),
            // An error means that the replica is gone; the reply says so.
            _ = is_leading.wait_for(|leads| !*leads) => {}
        }
        {
            // Under this lock the writer takes proposals in, so it can't be in between.
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

    /// Waits until everything committed before the call is applied here, and returns its index.
    ///
    /// A quorum confirms the leader first; a follower asks the leader.
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

    /// Answers a call of another replica; an answer is given only after what it says is synced.
    pub async fn handle_request(&self, from: &link::Identity, body: Vec<u8>) -> Vec<u8> {
        let shared = Arc::clone(&self.shared);
        let vm = from.vm.clone();
        // Its own task, since a lost connection drops this future in the middle of a write.
        let task = tokio::spawn(async move { shared.handle_request(&vm, &body).await });
        let response = task.await;
        response.map_or_else(|_| Vec::new(), |response| link::encode(&response))
    }

    /// Makes one change of the members; returns once it is committed.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), MemberError> {
        self.shared.change_members(change).await
    }

    /// The replica's state now.
    pub fn status(&self) -> Status {
        self.shared.status()
    }

    /// The last index applied; it only rises.
    pub fn watch_applied(&self) -> watch::Receiver<u64> {
        self.shared.applied.subscribe()
    }

    /// Takes no more proposals, finishes those under way, hands leadership over and ends.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.core().is_stopping = true;
        let limit = shared.cfg.timing.election_max * STOP_TIMEOUT_FACTOR;
        let mut applied = shared.applied.subscribe();
        let drained =
            async { while !shared.core().pending.is_empty() && applied.changed().await.is_ok() {} };
        // What isn't settled by then is told that its fate is unknown.
        let _ = timeout(limit, drained).await;
        let _ = timeout(limit, shared.transfer_leadership()).await;
        self.end().await;
    }

    /// Ends at once, as a crash would, though with the folder's lock let go.
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
        // A write under way ends on its own thread, and no other begins.
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
            .expect("loading does not panic"),
        false => load_store(),
    }
}

/// The mark of this start, where the log's tail was cut.
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
    }
}
