//! Follower: keeps the local declaration up to date with the keepers.
//!
//! One task long-polls one source and periodically probes another, so that a source that stopped
//! receiving changes is detected. The revision in force never decreases.

use std::{
    cmp::{Ordering, Reverse},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use logs::Event;
use rand::RngExt;
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet, spawn_blocking},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

pub use crate::feed::{ActiveDeclaration, Feed, FeedError};
use crate::{
    Channel, LinkError, Peer, Role,
    follow::{FollowReply, FollowRequest},
};

/// Delay after a source failed, to avoid a tight loop of requests to failed sources.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay while no source replies.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// No revision follows it, so that a request for later changes returns the revision only.
const REVISION_ONLY: u64 = u64::MAX;

/// Timing of a [`Follower`].
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// Maximum time for which a source may delay its reply.
    pub poll_wait: Duration,
    /// Timeout of a request for a source's revision.
    pub revision_timeout: Duration,
    /// Maximum time for the transfer of a reply; a whole document can have megabytes and the link
    /// 10 Mbit/s.
    pub transfer_timeout: Duration,
    /// Time between probes of other sources.
    pub probe_interval: Duration,
    /// Time to wait for the replies of more sources after the first one, at the start.
    pub gather_window: Duration,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            poll_wait: Duration::from_secs(10),
            revision_timeout: Duration::from_secs(1),
            transfer_timeout: Duration::from_secs(8),
            probe_interval: Duration::from_secs(2),
            gather_window: Duration::from_millis(200),
        }
    }
}

/// Handle of a follower; clones share one task, which ends when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Follower {
    feed: Arc<Feed>,
    source: watch::Receiver<Option<String>>,
    newer: watch::Sender<Option<NewerSource>>,
    _task: Arc<AbortOnDrop>,
}

/// A source that is known to have a revision.
#[derive(Clone, Copy, Debug)]
struct NewerSource {
    address: SocketAddr,
    revision: u64,
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Follower {
    /// Starts to follow `sources`, given in order of preference: keepers of the own availability
    /// zone, gates of the own availability zone, other keepers.
    pub fn start(sources: Vec<Peer>, cfg: FollowerConfig) -> Self {
        let (_, sources) = watch::channel(sources);
        Self::start_with_updates(sources, cfg)
    }

    /// Like [`Self::start`], for sources that change; the declaration in force is kept on a change.
    pub fn start_with_updates(sources: watch::Receiver<Vec<Peer>>, cfg: FollowerConfig) -> Self {
        let feed = Arc::new(Feed::new());
        let (tx, source) = watch::channel(None);
        let newer = watch::Sender::new(None);
        let follower_task = FollowerTask {
            feed: Arc::clone(&feed),
            sources: Vec::new(),
            cfg,
            source: tx,
            newer: newer.clone(),
        };
        let task = tokio::spawn(follower_task.run(sources));
        Self {
            feed,
            source,
            newer,
            _task: Arc::new(AbortOnDrop(task.abort_handle())),
        }
    }

    /// Subscribes to the declaration in force here; `None` until a source has replied.
    pub fn in_force(&self) -> watch::Receiver<Option<Arc<ActiveDeclaration>>> {
        self.feed.in_force()
    }

    /// Subscribes to the name of the source in use; `None` while no source replies.
    pub fn source(&self) -> watch::Receiver<Option<String>> {
        self.source.clone()
    }

    /// Notes that the source at `address` has `revision`. It is followed instead of the current one
    /// if that does not provide the revision shortly, as when it is cut off from the others.
    pub fn note_revision(&self, address: SocketAddr, revision: u64) {
        if self.feed.revision().unwrap_or(0) < revision {
            let newer = NewerSource { address, revision };
            self.newer.send_replace(Some(newer));
        }
    }

    /// Handles another follower's request on [`Channel::Follow`] with the declaration in force here.
    pub fn answer(&self, body: &[u8]) -> impl Future<Output = Vec<u8>> + Send + use<> {
        let (feed, body) = (Arc::clone(&self.feed), body.to_vec());
        async move { feed.answer(&body).await }
    }
}

/// Outcome of polling a source.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollOutcome {
    /// The source is at the local revision, or provided a later one.
    UpToDate,
    /// The source failed, is behind, has nothing, or sent an invalid reply.
    Unusable,
}

struct FollowerTask {
    feed: Arc<Feed>,
    sources: Vec<Peer>,
    cfg: FollowerConfig,
    source: watch::Sender<Option<String>>,
    newer: watch::Sender<Option<NewerSource>>,
}

impl FollowerTask {
    async fn run(mut self, mut known: watch::Receiver<Vec<Peer>>) {
        loop {
            self.sources.clone_from(&known.borrow_and_update());
            let changed = tokio::select! {
                changed = known.changed() => changed,
                () = self.follow() => return,
            };
            if changed.is_err() {
                // The sender is gone: the sources won't change any more.
                return self.follow().await;
            }
        }
    }

    async fn follow(&self) {
        if self.sources.is_empty() {
            return std::future::pending().await;
        }
        let mut index = self.choose_initial_source().await;
        let mut failures = 0;
        let mut probe = index;
        loop {
            let (outcome, better_source) = self.poll_and_probe(index, &mut probe).await;
            match (outcome, better_source) {
                (_, Some(better)) => {
                    index = better;
                    failures = 0;
                }
                (PollOutcome::UpToDate, None) => failures = 0,
                (PollOutcome::Unusable, None) => {
                    index = (index + 1) % self.sources.len();
                    failures += 1;
                    if failures >= self.sources.len() {
                        self.set_source(None);
                    }
                    sleep(self.retry_delay(failures)).await;
                }
            }
        }
    }

    /// Returns a random delay that grows with each round in which all sources failed.
    fn retry_delay(&self, failures: usize) -> Duration {
        let rounds = (failures / self.sources.len()) as u32;
        let max_delay = (RETRY_DELAY * (1 + rounds)).min(MAX_RETRY_DELAY);
        rand::rng().random_range(max_delay / 2..=max_delay)
    }

    /// Requests the revision of all sources and starts from the most recent one. Only that one sends
    /// its content: a document of thousands of sections from all sources at once would saturate a
    /// small VM's link for longer than the timeouts.
    async fn choose_initial_source(&self) -> usize {
        loop {
            let mut known = self.collect_revisions().await;
            known.sort_by_key(|(index, revision)| (Reverse(*revision), *index));
            for (index, _) in known {
                if self.poll(index, Duration::ZERO).await == PollOutcome::UpToDate {
                    return index;
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the indexes and revisions of the sources that reply in time.
    async fn collect_revisions(&self) -> Vec<(usize, u64)> {
        let mut calls = JoinSet::new();
        for (index, peer) in self.sources.iter().cloned().enumerate() {
            let limit = self.cfg.revision_timeout;
            calls.spawn(async move {
                peer.connected().await;
                (index, request_revision(&peer, limit).await)
            });
        }
        let mut answers = Vec::new();
        let mut deadline = Instant::now() + self.cfg.revision_timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, calls.join_next()).await {
                Ok(Some(Ok((index, Some(revision))))) => {
                    answers.push((index, revision));
                    deadline = deadline.min(Instant::now() + self.cfg.gather_window);
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return answers,
            }
        }
    }

    /// Long-polls source `index` and meanwhile probes others. Returns early with a better source.
    async fn poll_and_probe(
        &self,
        index: usize,
        probe: &mut usize,
    ) -> (PollOutcome, Option<usize>) {
        let poll = self.poll(index, self.cfg.poll_wait);
        tokio::pin!(poll);
        let mut probes = interval(self.cfg.probe_interval);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        probes.tick().await;
        let newer = self.newer_source(index);
        tokio::pin!(newer);
        loop {
            tokio::select! {
                outcome = &mut poll => return (outcome, None),
                better = &mut newer => return (PollOutcome::UpToDate, Some(better)),
                _ = probes.tick() => {}
            }
            let Some(other) = self.next_probe(index, probe) else {
                continue;
            };
            tokio::select! {
                outcome = &mut poll => return (outcome, None),
                is_better = self.is_better(other, index) => if is_better {
                    return (PollOutcome::UpToDate, Some(other));
                }
            }
        }
    }

    /// Waits until another source than `index` is known to stay ahead for longer than changes in
    /// transit should take, and returns it.
    async fn newer_source(&self, index: usize) -> usize {
        let mut newer = self.newer.subscribe();
        // Checks again what was noted before.
        newer.mark_changed();
        loop {
            if newer.changed().await.is_err() {
                return std::future::pending().await;
            }
            let Some(noted) = *newer.borrow_and_update() else {
                continue;
            };
            let mut sources = self.sources.iter();
            let source = sources.position(|peer| peer.address() == noted.address);
            let Some(source) = source.filter(|source| *source != index) else {
                continue;
            };
            sleep(self.cfg.gather_window).await;
            if noted.revision > self.feed.revision().unwrap_or(0) {
                return source;
            }
        }
    }

    /// Returns true if `other` is preferred to `index` and has the local revision, or if it stays
    /// ahead for longer than changes in transit from `index` should take.
    async fn is_better(&self, other: usize, index: usize) -> bool {
        let Some(revision) =
            request_revision(&self.sources[other], self.cfg.revision_timeout).await
        else {
            return false;
        };
        let own = || self.feed.revision().unwrap_or(0);
        match revision.cmp(&own()) {
            Ordering::Less => false,
            Ordering::Equal => other < index,
            Ordering::Greater => {
                sleep(self.cfg.gather_window).await;
                revision > own()
            }
        }
    }

    /// Returns the next source to probe. Every second probe prefers a keeper, since keepers get
    /// changes first.
    fn next_probe(&self, index: usize, probe: &mut usize) -> Option<usize> {
        let n = self.sources.len();
        *probe = (*probe + 1) % (2 * n);
        let start = *probe / 2;
        let order = || (0..n).map(|i| (start + i) % n).filter(|i| *i != index);
        let is_up = |i: &usize| self.sources[*i].is_connected();
        let is_keeper = |i: &usize| {
            let identity = self.sources[*i].identity();
            identity.is_some_and(|id| id.role == Role::Keeper)
        };
        let keeper = order().find(is_keeper);
        match *probe % 2 {
            0 => keeper.or_else(|| order().find(is_up)),
            _ => order().find(is_up),
        }
    }

    async fn poll(&self, index: usize, wait: Duration) -> PollOutcome {
        let after = self.feed.revision().unwrap_or(0);
        let limit = wait + self.cfg.transfer_timeout;
        let answer = request_changes(&self.sources[index], after, wait, limit).await;
        let outcome = match answer {
            Err(_) | Ok(FollowReply::Unavailable) => PollOutcome::Unusable,
            Ok(FollowReply::Unchanged { revision }) if revision < after => PollOutcome::Unusable,
            Ok(answer) => match self.apply_reply(answer).await {
                Ok(_) => PollOutcome::UpToDate,
                Err(_) => PollOutcome::Unusable,
            },
        };
        if outcome == PollOutcome::UpToDate {
            self.record_source(index);
        }
        outcome
    }

    /// Puts a reply in force on a blocking thread, since validating a large document takes long.
    async fn apply_reply(&self, answer: FollowReply) -> Result<bool, FeedError> {
        if matches!(&answer, FollowReply::Unchanged { revision } if *revision > 0) {
            return Ok(false);
        }
        let feed = Arc::clone(&self.feed);
        let result = spawn_blocking(move || feed.apply(answer)).await;
        let result = result.expect("validating a document does not panic");
        if let (Ok(true), Some(revision)) = (&result, self.feed.revision()) {
            logs::write(None, &Event::InForce { revision });
        }
        result
    }

    fn record_source(&self, index: usize) {
        self.set_source(Some(self.sources[index].name()));
    }

    /// Publishes and logs the source in use.
    fn set_source(&self, name: Option<&str>) {
        self.source.send_if_modified(|source| {
            let is_new = source.as_deref() != name;
            if is_new {
                *source = name.map(str::to_owned);
                let source = source.clone();
                logs::write(None, &Event::Follows { source });
            }
            is_new
        });
    }
}

/// Returns the revision in force at `peer`; `None` if it has none or doesn't reply within `limit`.
async fn request_revision(peer: &Peer, limit: Duration) -> Option<u64> {
    let answer = request_changes(peer, REVISION_ONLY, Duration::ZERO, limit).await;
    match answer.ok()? {
        FollowReply::Unchanged { revision } | FollowReply::Snapshot { revision, .. } => {
            Some(revision)
        }
        FollowReply::Changes(changes) => changes.last().map(|change| change.revision),
        FollowReply::Unavailable => None,
    }
}

async fn request_changes(
    peer: &Peer,
    after: u64,
    wait: Duration,
    limit: Duration,
) -> Result<FollowReply, LinkError> {
    let follow = FollowRequest { after, wait };
    peer.call(Channel::Follow, &follow, limit).await
}
