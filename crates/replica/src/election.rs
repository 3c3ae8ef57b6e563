//! The task that watches for a leader: elections, and the leader's check that it still has a quorum.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout},
};
use uuid::Uuid;

use crate::{
    append,
    core::{Core, Progress, Shared, StoreGuard},
    entry::{Entry, Payload},
    founding,
    message::{Ask, Request, Response, Standing, Tell},
    status::Role,
    vote::Vote,
};

/// Times of `election_max` that one write of a leader may take.
const DISK_PATIENCE: u32 = 2;

/// Runs until the replica stops; `take_over` brings the leader's wishes that this one follows it.
pub(crate) async fn run(shared: Arc<Shared>, mut take_over: mpsc::Receiver<()>) {
    let mut rng = match shared.cfg.seed {
        Some(seed) => StdRng::seed_from_u64(seed),
        None => StdRng::from_rng(&mut rand::rng()),
    };
    let mut patience = first_patience(&shared, &mut rng);
    loop {
        let pause = next_look(&shared, patience);
        let is_transfer = tokio::select! {
            biased;
            () = sleep(pause) => false,
            Some(()) = take_over.recv() => true,
        };
        match is_transfer || is_leader_missing(&shared, patience) {
            true => {
                campaign(&shared, is_transfer).await;
                patience = draw(&shared, &mut rng);
                // The next try waits its time, whoever was heard.
                shared.core().heard_or(Instant::now());
            }
            false => check_leadership(&shared),
        }
    }
}

impl Core {
    fn heard_or(&mut self, now: Instant) {
        if self.role != Role::Leader {
            self.heard = self.heard.max(now);
        }
    }
}

/// Nothing to wait for where there is no other voter.
fn first_patience(shared: &Shared, rng: &mut StdRng) -> Duration {
    match shared.core().log.members().voters.len() {
        1 => Duration::ZERO,
        _ => draw(shared, rng),
    }
}

fn draw(shared: &Shared, rng: &mut StdRng) -> Duration {
    let timing = shared.cfg.timing;
    rng.random_range(timing.election_min..=timing.election_max)
}

fn next_look(shared: &Shared, patience: Duration) -> Duration {
    let core = shared.core();
    match core.role {
        Role::Leader => shared.cfg.timing.heartbeat,
        _ => patience
            .saturating_sub(core.heard.elapsed())
            .max(Duration::from_millis(1)),
    }
}

fn is_leader_missing(shared: &Shared, patience: Duration) -> bool {
    let core = shared.core();
    core.role != Role::Leader && core.heard.elapsed() >= patience
}

/// A leader that no quorum answers any more, or whose disk hangs, steps down and says so.
fn check_leadership(shared: &Shared) {
    let mut core = shared.core();
    let limit = shared.cfg.timing.election_max * DISK_PATIENCE;
    let hangs = core.writing.is_some_and(|since| since.elapsed() >= limit);
    let why = match core.role {
        Role::Leader if hangs => "the disk hangs",
        Role::Leader if !core.has_quorum(shared) => "no quorum answers",
        _ => return,
    };
    let term = core.term;
    core.follow(None);
    core.heard = Instant::now();
    drop(core);
    shared.wake();
    spdlog::warn!(
        "stepped down: {why}",
        kv: { replica = shared.cfg.name.as_str(), term = term }
    );
}

async fn campaign(shared: &Arc<Shared>, is_transfer: bool) {
    let Some(standing) = stand(shared, is_transfer) else {
        return;
    };
    let next_term = shared.core().term + 1;
    let Some(mut standing) = founding::agree(shared, next_term, standing).await else {
        return;
    };
    if !is_transfer {
        let wish = Ask::PreVote(standing.clone());
        let votes = poll(shared, next_term, wish, Need::Quorum).await;
        if !votes.is_won {
            return;
        }
        standing.has_heard_all = votes.has_heard_all;
    }
    let Some(term) = begin_term(shared, next_term).await else {
        return;
    };
    let votes = poll(shared, term, Ask::Vote(standing), Need::Quorum).await;
    if !votes.is_won {
        return;
    }
    let store = Arc::clone(&shared.store).lock_owned().await;
    lead(shared, store, term).await;
}

/// How far the own log goes, if this replica may stand at all.
fn stand(shared: &Shared, is_transfer: bool) -> Option<Standing> {
    let mut core = shared.core();
    if !shared.may_vote(&core) || core.is_ended() || core.role == Role::Leader {
        return None;
    }
    core.leader = None;
    let has_entries = core.log.last() > 0;
    Some(Standing {
        last: core.log.last(),
        last_term: core.log.last_term(),
        members_index: core.log.members_index(),
        is_transfer,
        founders: (!has_entries).then(|| core.log.members().clone()),
        has_heard_all: false,
    })
}

/// Begins the term with a vote for itself, unless another term began meanwhile.
async fn begin_term(shared: &Arc<Shared>, term: u64) -> Option<u64> {
    let store = Arc::clone(&shared.store).lock_owned().await;
    let is_overtaken = {
        let core = shared.core();
        core.term + 1 != term || core.is_ended()
    };
    if is_overtaken {
        return None;
    }
    let vote = Vote {
        term,
        voted: Some(shared.cfg.name.clone()),
    };
    let written = vote.clone();
    let (_store, result) = shared.work(store, move |s| s.write_vote(&written)).await;
    result.ok()?;
    let mut core = shared.core();
    core.term = vote.term;
    core.voted = vote.voted;
    core.role = Role::Candidate;
    core.leader = None;
    Some(term)
}

/// How many voters must say yes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Need {
    /// A quorum, by folders of known identity.
    Quorum,
    /// All of them, whatever their identity: there is no group yet.
    All,
}

/// What came of asking the voters.
pub(crate) struct Votes {
    pub is_won: bool,
    /// Whether each voter said that it is not ahead.
    pub has_heard_all: bool,
    /// Who said yes, with the identity that answered.
    pub identities: BTreeMap<String, Uuid>,
}

/// Asks all other voters at once and counts until the matter is clear.
pub(crate) async fn poll(shared: &Arc<Shared>, term: u64, ask: Ask, need: Need) -> Votes {
    let mut votes = Votes {
        is_won: false,
        has_heard_all: false,
        identities: BTreeMap::new(),
    };
    let (all, quorum, is_doubtful) = {
        let core = shared.core();
        let members = core.log.members();
        (members.voters.len(), members.quorum(), core.doubt.is_some())
    };
    let needed = match need {
        Need::Quorum => quorum,
        Need::All => all,
    };
    let has_heard_all = matches!(&ask, Ask::Vote(standing) if standing.has_heard_all);
    // In doubt, the own log proves nothing; the quorum is made of others then.
    if !is_doubtful || has_heard_all {
        let own = (shared.cfg.name.clone(), shared.identity);
        votes.identities.extend([own]);
    }
    let mut not_ahead = 1;
    let mut asked = ask_all(shared, term, &ask);
    let counting = async {
        while let Some((name, response)) = asked.next().await {
            let Some(response) = response else { continue };
            // A pre-vote asks for a term that isn't begun; whoever is in it already is ahead.
            if response.term > shared.core().term {
                shared.adopt(response.term).await;
                return;
            }
            let counts = need == Need::All || shared.core().counts(&name, response.identity);
            match response.tell {
                Tell::Granted if counts => {
                    not_ahead += 1;
                    votes.identities.insert(name, response.identity);
                }
                Tell::Doubtful if counts => not_ahead += 1,
                _ => {}
            }
            if votes.identities.len() >= needed {
                return;
            }
        }
    };
    // Those that don't answer in time gave no vote.
    let _ = timeout(shared.cfg.timing.election_min, counting).await;
    let is_wish = matches!(ask, Ask::PreVote(_));
    votes.has_heard_all = is_wish && not_ahead == all;
    votes.is_won = votes.identities.len() >= needed || need == Need::Quorum && votes.has_heard_all;
    votes
}

type Asked = std::pin::Pin<Box<dyn Future<Output = (String, Option<Response>)> + Send>>;

fn ask_all(shared: &Arc<Shared>, term: u64, ask: &Ask) -> FuturesUnordered<Asked> {
    let voters = shared.core().log.members().voters.clone();
    let others = voters.into_iter().filter(|m| m.name != shared.cfg.name);
    others
        .map(|member| {
            let (shared, ask) = (Arc::clone(shared), ask.clone());
            let asking = async move {
                let limit = shared.cfg.timing.election_min;
                let response = shared.ask(&member.name, term, ask, limit).await;
                (member.name, response)
            };
            Box::pin(asking) as Asked
        })
        .collect()
}

impl Shared {
    /// Sends one request; `None` where no proper answer came.
    pub(crate) async fn ask(
        &self,
        peer: &str,
        term: u64,
        ask: Ask,
        limit: Duration,
    ) -> Option<Response> {
        let link = self.core().peers.get(peer)?.link.clone();
        let request = Request {
            from: self.cfg.name.clone(),
            identity: self.identity,
            term,
            ask,
        };
        let sent = (link.send)(link::encode(&request), limit);
        // A peer that doesn't answer is a matter of course here; status and quorum show it.
        let bytes = timeout(limit, sent).await.ok()?.ok()?;
        link::decode(&bytes).ok()
    }

    /// Takes over a higher term that was heard of, lasting before anything is done in it.
    pub(crate) async fn adopt(&self, term: u64) {
        let store = Arc::clone(&self.store).lock_owned().await;
        self.adopt_locked(store, term).await;
    }

    pub(crate) async fn adopt_locked(&self, store: StoreGuard, term: u64) -> StoreGuard {
        if self.core().term >= term {
            return store;
        }
        let vote = Vote { term, voted: None };
        let (store, result) = self.work(store, move |s| s.write_vote(&vote)).await;
        if result.is_ok() {
            let mut core = self.core();
            core.term = term;
            core.voted = None;
            core.follow(None);
            drop(core);
            self.wake();
        }
        store
    }
}

/// Begins to lead with an entry of the own term; the log's first one names the members.
async fn lead(shared: &Arc<Shared>, store: StoreGuard, term: u64) {
    let entry = {
        let mut core = shared.core();
        if core.role != Role::Candidate || core.term != term || core.is_ended() {
            return;
        }
        let index = core.log.last() + 1;
        core.role = Role::Leader;
        core.leading.send_replace(true);
        core.leader = Some(shared.cfg.name.clone());
        core.own_first = index;
        core.led_since = Instant::now();
        core.progress.clear();
        core.track_members(&shared.cfg.name);
        let entry = Arc::new(Entry {
            index,
            term,
            payload: match index {
                1 => Payload::Members(core.log.members().clone()),
                _ => Payload::Empty,
            },
        });
        core.log.append([Arc::clone(&entry)]);
        entry
    };
    spdlog::info!("leads", kv: { replica = shared.cfg.name.as_str(), term = term });
    shared.wake();
    let store = append::persist(shared, store, vec![entry]).await;
    // The voters chose this log as the group's.
    shared.end_doubt(store).await;
}

impl Core {
    /// Has a progress for each member but `own`, and for no one else.
    pub(crate) fn track_members(&mut self, own: &str) {
        let members = self.log.members().clone();
        let next = self.log.last() + 1;
        self.progress.retain(|name, _| members.get(name).is_some());
        for member in members.all().filter(|m| m.name != own) {
            let fresh = || Progress::new(next);
            self.progress
                .entry(member.name.clone())
                .or_insert_with(fresh);
        }
    }
}

impl Progress {
    pub(crate) fn new(next: u64) -> Self {
        Self {
            matched: 0,
            next,
            is_probing: true,
            round: 0,
            answered: None,
            identity: None,
            fill: None,
        }
    }
}
