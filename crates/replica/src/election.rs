//! The election task: starts elections, and as leader checks that a quorum still responds.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use crate::{
    append, bootstrap,
    core::{Core, Progress, Shared, StoreGuard},
    entry::{Entry, Payload},
    message::{Candidate, Request, RequestBody, Response},
    state_file::Vote,
    status::Role,
    votes::{Threshold, request_votes},
};

/// Multiple of `election_max` after which a leader with an unfinished disk write steps down.
const DISK_TIMEOUT_FACTOR: u32 = 2;

/// Runs until the replica stops; `take_over` receives the leader's requests to take over.
pub(crate) async fn run(shared: Arc<Shared>, mut take_over: mpsc::Receiver<()>) {
    let mut rng = match shared.cfg.seed {
        Some(seed) => StdRng::seed_from_u64(seed),
        None => StdRng::from_rng(&mut rand::rng()),
    };
    let mut election_timeout = initial_timeout(&shared, &mut rng);
    loop {
        let delay = next_check(&shared, election_timeout);
        let is_transfer = tokio::select! {
            biased;
            () = sleep(delay) => false,
            Some(()) = take_over.recv() => true,
        };
        match is_transfer || is_leader_missing(&shared, election_timeout) {
            true => {
                let attempt_ended = campaign(&shared, is_transfer).await;
                election_timeout = random_timeout(&shared, &mut rng);
                // Wait a full timeout before the next attempt, whatever happened in this one.
                shared.core().extend_last_contact(attempt_ended);
            }
            false => check_leadership(&shared),
        }
    }
}

impl Core {
    fn extend_last_contact(&mut self, now: Instant) {
        if self.role != Role::Leader {
            self.last_contact = self.last_contact.max(now);
        }
    }
}

/// Zero for a single voter, which has nobody to wait for.
fn initial_timeout(shared: &Shared, rng: &mut StdRng) -> Duration {
    match shared.core().log.members().voters.len() {
        1 => Duration::ZERO,
        _ => random_timeout(shared, rng),
    }
}

fn random_timeout(shared: &Shared, rng: &mut StdRng) -> Duration {
    let timing = shared.cfg.timing;
    rng.random_range(timing.election_min..=timing.election_max)
}

fn next_check(shared: &Shared, election_timeout: Duration) -> Duration {
    let core = shared.core();
    match core.role {
        Role::Leader => shared.cfg.timing.heartbeat,
        _ => election_timeout
            .saturating_sub(core.last_contact.elapsed())
            .max(Duration::from_millis(1)),
    }
}

fn is_leader_missing(shared: &Shared, election_timeout: Duration) -> bool {
    let core = shared.core();
    core.role != Role::Leader && core.last_contact.elapsed() >= election_timeout
}

/// Makes a leader step down if no quorum responds to it or its disk hangs.
fn check_leadership(shared: &Shared) {
    let mut core = shared.core();
    let limit = shared.cfg.timing.election_max * DISK_TIMEOUT_FACTOR;
    let is_disk_stalled = core
        .write_started
        .is_some_and(|since| since.elapsed() >= limit);
    let reason = match core.role {
        Role::Leader if is_disk_stalled => "the disk hangs",
        Role::Leader if !core.has_quorum(shared) => "no quorum answers",
        _ => return,
    };
    let term = core.term;
    core.become_follower(None);
    core.last_contact = Instant::now();
    drop(core);
    shared.notify_changed();
    spdlog::warn!(
        "stepped down: {reason}",
        kv: { replica = shared.cfg.name.as_str(), term = term }
    );
}

/// Stands for election. Returns the time from which the timeout before the next attempt counts.
async fn campaign(shared: &Arc<Shared>, is_transfer: bool) -> Instant {
    let Some((term, candidate)) = prepare(shared, is_transfer).await else {
        return Instant::now();
    };
    let asked_at = Instant::now();
    let votes = request_votes(
        shared,
        term,
        RequestBody::Vote(candidate),
        Threshold::Quorum,
    )
    .await;
    if votes.is_won {
        let store = Arc::clone(&shared.store).lock_owned().await;
        become_leader(shared, store, term).await;
        return Instant::now();
    }
    // Votes that are slow to be stored are waited for longer, within the same time to the next attempt.
    Instant::now().min(asked_at + shared.cfg.timing.election_min)
}

/// Starts a term if a quorum would vote for this replica. Returns the term and the candidate.
async fn prepare(shared: &Arc<Shared>, is_transfer: bool) -> Option<(u64, Candidate)> {
    let candidate = as_candidate(shared, is_transfer)?;
    let next_term = shared.core().term + 1;
    let mut candidate = bootstrap::agree_on_founders(shared, next_term, candidate).await?;
    if !is_transfer {
        let pre_vote = RequestBody::PreVote(candidate.clone());
        let votes = request_votes(shared, next_term, pre_vote, Threshold::Quorum).await;
        if !votes.is_won {
            return None;
        }
        candidate.is_up_to_date = votes.is_up_to_date;
    }
    let term = start_term(shared, next_term).await?;
    Some((term, candidate))
}

/// Returns this replica's state as a candidate, or `None` if it must not be one.
fn as_candidate(shared: &Shared, is_transfer: bool) -> Option<Candidate> {
    let mut core = shared.core();
    if !shared.may_vote(&core) || core.is_shut_down() || core.role == Role::Leader {
        return None;
    }
    core.leader = None;
    let has_entries = core.log.last() > 0;
    Some(Candidate {
        last: core.log.last(),
        last_term: core.log.last_term(),
        members_index: core.log.members_index(),
        is_transfer,
        founders: (!has_entries).then(|| core.log.members().clone()),
        is_up_to_date: false,
    })
}

/// Starts `term` with a vote for itself, unless the term has changed meanwhile.
async fn start_term(shared: &Arc<Shared>, term: u64) -> Option<u64> {
    let store = Arc::clone(&shared.store).lock_owned().await;
    let is_superseded = {
        let core = shared.core();
        core.term + 1 != term || core.is_shut_down()
    };
    if is_superseded {
        return None;
    }
    shared.core().pending_vote_term = term;
    let vote = Vote {
        term,
        voted_for: Some(shared.cfg.name.clone()),
    };
    let written = vote.clone();
    let (_store, result) = shared
        .run_on_store(store, move |s| s.write_vote(&written))
        .await;
    result.ok()?;
    let mut core = shared.core();
    core.term = vote.term;
    core.voted_for = vote.voted_for;
    core.role = Role::Candidate;
    core.leader = None;
    Some(term)
}

impl Shared {
    /// Sends a request; `None` if there is no valid response in time.
    pub(crate) async fn call(
        &self,
        peer: &str,
        term: u64,
        body: RequestBody,
        limit: Duration,
    ) -> Option<Response> {
        let link = self.core().peers.get(peer)?.link.clone();
        let request = Request {
            from: self.cfg.name.clone(),
            identity: self.identity,
            term,
            body,
        };
        let sent = (link.send)(link::encode(&request), limit);
        // Unresponsive peers are expected here; status and quorum checks report them.
        let bytes = timeout(limit, sent).await.ok()?.ok()?;
        link::decode(&bytes).ok()
    }

    /// Adopts a higher term, stored before anything is done in it.
    pub(crate) async fn adopt_term(&self, term: u64) {
        let store = Arc::clone(&self.store).lock_owned().await;
        self.adopt_term_locked(store, term).await;
    }

    pub(crate) async fn adopt_term_locked(&self, store: StoreGuard, term: u64) -> StoreGuard {
        if self.core().term >= term {
            return store;
        }
        let vote = Vote {
            term,
            voted_for: None,
        };
        let (store, result) = self.run_on_store(store, move |s| s.write_vote(&vote)).await;
        if result.is_ok() {
            let mut core = self.core();
            core.term = term;
            core.voted_for = None;
            core.become_follower(None);
            drop(core);
            self.notify_changed();
        }
        store
    }
}

/// Becomes leader and appends an entry of the own term; the first entry of a log sets the members.
async fn become_leader(shared: &Arc<Shared>, store: StoreGuard, term: u64) {
    let entry = {
        let mut core = shared.core();
        if core.role != Role::Candidate || core.term != term || core.is_shut_down() {
            return;
        }
        let index = core.log.last() + 1;
        core.role = Role::Leader;
        core.is_leading.send_replace(true);
        core.leader = Some(shared.cfg.name.clone());
        core.term_first_index = index;
        core.leading_since = Instant::now();
        core.progress.clear();
        core.track_progress(&shared.cfg.name);
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
    shared.notify_changed();
    let store = append::persist(shared, store, vec![entry]).await;
    // The election made this log authoritative.
    shared.clear_suspect_tail(store).await;
}

impl Core {
    /// Tracks the progress of exactly the members other than `own`.
    pub(crate) fn track_progress(&mut self, own: &str) {
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
            catch_up: None,
        }
    }
}
