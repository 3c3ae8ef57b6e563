//! The following side: keeps the declaration in force here in step with the keepers.
//!
//! One task long-polls one source and checks another one from time to time, so that a source which
//! stands still unnoticed is found out. What is in force never goes backwards.

use std::{
    cmp::{Ordering, Reverse},
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

/// Pause after a source failed, so that dead sources are not asked in a tight loop.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause while no source answers.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Nothing comes after it: a question for what came after it is answered by the revision alone.
const REVISION_ONLY: u64 = u64::MAX;

/// Timing of a [`Follower`].
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// How long a source may hold an answer back.
    pub poll_wait: Duration,
    /// Time after which a source that was asked for its revision counts as silent.
    pub revision_timeout: Duration,
    /// Longest time that changes or a whole document may take to arrive: megabytes over a link of
    /// 10 Mbit/s.
    pub transfer_timeout: Duration,
    /// Time between checks of another source.
    pub probe_interval: Duration,
    /// At the start: how long to wait for answers of more sources after the first one.
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

/// Follows the declaration; clones share one task, which ends with the last of them.
#[derive(Clone, Debug)]
pub struct Follower {
    feed: Arc<Feed>,
    source: watch::Receiver<Option<String>>,
    _task: Arc<AbortOnDrop>,
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Follower {
    /// Starts to follow `sources`, in order of preference: keepers of the own availability zone,
    /// gates of the own availability zone, other keepers.
    pub fn start(sources: Vec<Peer>, cfg: FollowerConfig) -> Self {
        let (_, sources) = watch::channel(sources);
        Self::start_with_updates(sources, cfg)
    }

    /// The same where the sources change: what is in force stays, whoever told it.
    pub fn start_with_updates(sources: watch::Receiver<Vec<Peer>>, cfg: FollowerConfig) -> Self {
        let feed = Arc::new(Feed::new());
        let (tx, source) = watch::channel(None);
        let following = Following {
            feed: Arc::clone(&feed),
            sources: Vec::new(),
            cfg,
            source: tx,
        };
        let task = tokio::spawn(following.run(sources));
        Self {
            feed,
            source,
            _task: Arc::new(AbortOnDrop(task.abort_handle())),
        }
    }

    /// What is in force here; `None` until a source was heard.
    pub fn in_force(&self) -> watch::Receiver<Option<Arc<ActiveDeclaration>>> {
        self.feed.in_force()
    }

    /// The name of the source that answered last; `None` while no source answers.
    pub fn source(&self) -> watch::Receiver<Option<String>> {
        self.source.clone()
    }

    /// Answers another follower's call on [`Channel::Follow`] from what is in force here.
    pub fn answer(&self, body: &[u8]) -> impl Future<Output = Vec<u8>> + Send + use<> {
        let (feed, body) = (Arc::clone(&self.feed), body.to_vec());
        async move { feed.answer(&body).await }
    }
}

/// How an answer left us.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Heard {
    /// The source is at our revision, or brought us to its own.
    InStep,
    /// The source is behind us, has nothing, or its answer was no use.
    Useless,
}

struct Following {
    feed: Arc<Feed>,
    sources: Vec<Peer>,
    cfg: FollowerConfig,
    source: watch::Sender<Option<String>>,
}

impl Following {
    async fn run(mut self, mut known: watch::Receiver<Vec<Peer>>) {
        loop {
            self.sources.clone_from(&known.borrow_and_update());
            let changed = tokio::select! {
                changed = known.changed() => changed,
                () = self.follow() => return,
            };
            if changed.is_err() {
                // The sources stay as they are from now on.
                return self.follow().await;
            }
        }
    }

    async fn follow(&self) {
        if self.sources.is_empty() {
            return std::future::pending().await;
        }
        let mut at = self.begin().await;
        let mut failures = 0;
        let mut probe = at;
        loop {
            let (heard, found) = self.poll_and_check(at, &mut probe).await;
            match (heard, found) {
                (_, Some(better)) => {
                    at = better;
                    failures = 0;
                }
                (Heard::InStep, None) => failures = 0,
                (Heard::Useless, None) => {
                    at = (at + 1) % self.sources.len();
                    failures += 1;
                    if failures >= self.sources.len() {
                        self.follows(None);
                    }
                    sleep(self.pause(failures)).await;
                }
            }
        }
    }

    /// The pause grows with every round of sources that failed.
    fn pause(&self, failures: usize) -> Duration {
        let rounds = (failures / self.sources.len()) as u32;
        let longest = (RETRY_PAUSE * (1 + rounds)).min(MAX_RETRY_PAUSE);
        rand::rng().random_range(longest / 2..=longest)
    }

    /// Asks every source that answers soon for its revision and starts from the one that is
    /// furthest. Only that one sends its content: a document of thousands of sections from each
    /// source at once would fill a small VM's link for longer than any of them is waited for.
    async fn begin(&self) -> usize {
        loop {
            let mut known = self.gather().await;
            known.sort_by_key(|(at, revision)| (Reverse(*revision), *at));
            for (at, _) in known {
                if self.poll(at, Duration::ZERO).await == Heard::InStep {
                    return at;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Sources that answer soon, with their revisions.
    async fn gather(&self) -> Vec<(usize, u64)> {
        let mut calls = JoinSet::new();
        for (at, peer) in self.sources.iter().cloned().enumerate() {
            let limit = self.cfg.revision_timeout;
            calls.spawn(async move {
                peer.connected().await;
                (at, ask_revision(&peer, limit).await)
            });
        }
        let mut answers = Vec::new();
        let mut deadline = Instant::now() + self.cfg.revision_timeout;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match timeout(left, calls.join_next()).await {
                Ok(Some(Ok((at, Some(revision))))) => {
                    answers.push((at, revision));
                    deadline = deadline.min(Instant::now() + self.cfg.gather_window);
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return answers,
            }
        }
    }

    /// Long-polls source `at` and meanwhile checks others. Returns early with a better source.
    async fn poll_and_check(&self, at: usize, probe: &mut usize) -> (Heard, Option<usize>) {
        let poll = self.poll(at, self.cfg.poll_wait);
        tokio::pin!(poll);
        let mut checks = interval(self.cfg.probe_interval);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        checks.tick().await;
        loop {
            tokio::select! {
                heard = &mut poll => return (heard, None),
                _ = checks.tick() => {}
            }
            let Some(other) = self.next_probe(at, probe) else {
                continue;
            };
            tokio::select! {
                heard = &mut poll => return (heard, None),
                is_better = self.is_better(other, at) => if is_better {
                    return (Heard::InStep, Some(other));
                }
            }
        }
    }

    /// Whether `other` is preferred to `at` and in step, or has been ahead for longer than what is
    /// on its way from `at` should take.
    async fn is_better(&self, other: usize, at: usize) -> bool {
        let Some(revision) = ask_revision(&self.sources[other], self.cfg.revision_timeout).await
        else {
            return false;
        };
        let own = || self.feed.revision().unwrap_or(0);
        match revision.cmp(&own()) {
            Ordering::Less => false,
            Ordering::Equal => other < at,
            Ordering::Greater => {
                sleep(self.cfg.gather_window).await;
                revision > own()
            }
        }
    }

    /// Another source to check: any keeper on every second check, since only keepers know first.
    fn next_probe(&self, at: usize, probe: &mut usize) -> Option<usize> {
        let n = self.sources.len();
        *probe = (*probe + 1) % (2 * n);
        let start = *probe / 2;
        let order = || (0..n).map(|i| (start + i) % n).filter(|i| *i != at);
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

    async fn poll(&self, at: usize, wait: Duration) -> Heard {
        let after = self.feed.revision().unwrap_or(0);
        let limit = wait + self.cfg.transfer_timeout;
        let answer = ask(&self.sources[at], after, wait, limit).await;
        let heard = match answer {
            Err(_) | Ok(FollowReply::Unavailable) => Heard::Useless,
            Ok(FollowReply::Unchanged { revision }) if revision < after => Heard::Useless,
            Ok(answer) => match self.take(answer).await {
                Ok(_) => Heard::InStep,
                Err(_) => Heard::Useless,
            },
        };
        if heard == Heard::InStep {
            self.heard(at);
        }
        heard
    }

    /// Puts an answer in force on a thread of its own: a large document takes a while to check.
    async fn take(&self, answer: FollowReply) -> Result<bool, FeedError> {
        if matches!(&answer, FollowReply::Unchanged { revision } if *revision > 0) {
            return Ok(false);
        }
        let feed = Arc::clone(&self.feed);
        let taken = spawn_blocking(move || feed.apply(answer)).await;
        let taken = taken.expect("checking a document does not panic");
        if let (Ok(true), Some(revision)) = (&taken, self.feed.revision()) {
            logs::write(None, &Event::InForce { revision });
        }
        taken
    }

    fn heard(&self, at: usize) {
        self.follows(Some(self.sources[at].name()));
    }

    /// Notes who answers.
    fn follows(&self, name: Option<&str>) {
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

/// The revision in force at `peer`; `None` where it has none or doesn't say so within `limit`.
async fn ask_revision(peer: &Peer, limit: Duration) -> Option<u64> {
    let answer = ask(peer, REVISION_ONLY, Duration::ZERO, limit).await;
    match answer.ok()? {
        FollowReply::Unchanged { revision } | FollowReply::Snapshot { revision, .. } => {
            Some(revision)
        }
        FollowReply::Changes(changes) => changes.last().map(|change| change.revision),
        FollowReply::Unavailable => None,
    }
}

async fn ask(
    peer: &Peer,
    after: u64,
    wait: Duration,
    limit: Duration,
) -> Result<FollowReply, LinkError> {
    let follow = FollowRequest { after, wait };
    peer.call(Channel::Follow, &follow, limit).await
}
