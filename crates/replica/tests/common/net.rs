//! Links in memory that lose, delay, reorder and repeat, one way or both.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use link::{Identity, LinkError};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use replica::{Connect, PeerLink, Replica};
use tokio::time::{sleep, timeout};

use super::{
    checks::{Checks, ask_of},
    disk::FakeDisk,
};

/// Whether a request from the first to the second is lost.
pub type Filter = Box<dyn Fn(&str, &str, &[u8]) -> bool + Send>;

struct State {
    filter: Option<Filter>,
    /// Disks that stop as soon as their replica gave a vote.
    stop_on_vote: BTreeMap<String, FakeDisk>,
    replicas: BTreeMap<String, Replica>,
    /// Ways that swallow everything, by sender and receiver.
    cut: BTreeSet<(String, String)>,
    /// Share of messages lost.
    loss: f64,
    /// Share of requests delivered twice.
    repeats: f64,
    max_delay: u64,
    rng: StdRng,
    sent: BTreeMap<String, usize>,
}

#[derive(Clone)]
pub struct Net {
    state: Arc<Mutex<State>>,
    checks: Checks,
}

impl Net {
    pub fn new(seed: u64, checks: Checks) -> Self {
        let state = State {
            filter: None,
            stop_on_vote: BTreeMap::new(),
            replicas: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            repeats: 0.0,
            max_delay: 3,
            rng: StdRng::seed_from_u64(seed),
            sent: BTreeMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        Self { state, checks }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn attach(&self, name: &str, replica: Option<Replica>) {
        let mut state = self.state();
        state.replicas.remove(name);
        state
            .replicas
            .extend(replica.map(|replica| (name.to_owned(), replica)));
    }

    pub fn cut(&self, from: &str, to: &str) {
        self.state().cut.insert((from.to_owned(), to.to_owned()));
    }

    pub fn isolate(&self, name: &str, others: &[String]) {
        for other in others {
            self.cut(name, other);
            self.cut(other, name);
        }
    }

    pub fn filter(&self, filter: Option<Filter>) {
        self.state().filter = filter;
    }

    pub fn stop_on_vote(&self, name: &str, disk: &FakeDisk) {
        self.state()
            .stop_on_vote
            .insert(name.to_owned(), disk.clone());
    }

    pub fn heal(&self) {
        let mut state = self.state();
        state.cut.clear();
        (state.loss, state.repeats, state.max_delay) = (0.0, 0.0, 3);
    }

    pub fn disturb(&self, loss: f64, repeats: f64, max_delay: u64) {
        let mut state = self.state();
        (state.loss, state.repeats, state.max_delay) = (loss, repeats, max_delay);
    }

    /// Requests with this word in them that were sent so far.
    pub fn count(&self, ask: &str) -> usize {
        self.state().sent.get(ask).copied().unwrap_or(0)
    }

    pub fn connect(&self, from: &str) -> Connect {
        let (net, from) = (self.clone(), from.to_owned());
        Arc::new(move |to, _| Ok(net.link(&from, to)))
    }

    pub fn link(&self, from: &str, to: &str) -> PeerLink {
        let (net, sender, receiver) = (self.clone(), from.to_owned(), to.to_owned());
        PeerLink {
            name: to.to_owned(),
            send: Arc::new(move |body, limit| {
                let (net, from, to) = (net.clone(), sender.clone(), receiver.clone());
                Box::pin(async move {
                    let answer = timeout(limit, net.exchange(&from, &to, body)).await;
                    answer.map_err(|_| LinkError::TimedOut {
                        peer: to,
                        waited: limit,
                    })
                })
            }),
        }
    }

    async fn exchange(&self, from: &str, to: &str, body: Vec<u8>) -> Vec<u8> {
        let repeats = self.state().repeats;
        if self.state().rng.random_bool(repeats) {
            let (net, from, to) = (self.clone(), from.to_owned(), to.to_owned());
            let body = body.clone();
            tokio::spawn(async move { net.deliver(&from, &to, body).await });
        }
        let answer = self.deliver(from, to, body).await;
        self.pass(to, from).await;
        answer
    }

    async fn deliver(&self, from: &str, to: &str, body: Vec<u8>) -> Vec<u8> {
        let ask = ask_of(&body);
        *self.state().sent.entry(ask).or_default() += 1;
        self.pass(from, to).await;
        let is_lost = {
            let state = self.state();
            state.filter.as_ref().is_some_and(|f| f(from, to, &body))
        };
        if is_lost {
            std::future::pending::<()>().await;
        }
        let replica = self.state().replicas.get(to).cloned();
        let Some(replica) = replica else {
            return std::future::pending().await;
        };
        let identity = Identity {
            vm: from.to_owned(),
            az: String::new(),
            role: link::Role::Keeper,
            incarnation: uuid::Uuid::nil(),
        };
        let answer = replica.handle_request(&identity, body.clone()).await;
        if self.checks.note_answer(to, &body, &answer)
            && let Some(disk) = self.state().stop_on_vote.remove(to)
        {
            disk.turn_off();
        }
        answer
    }

    /// Returns once a message got through; one that is lost never does.
    async fn pass(&self, from: &str, to: &str) {
        let (delay, is_lost) = {
            let mut state = self.state();
            let max = state.max_delay;
            let delay = state.rng.random_range(1..=max);
            let loss = state.loss;
            (delay, state.rng.random_bool(loss))
        };
        sleep(Duration::from_millis(delay)).await;
        let way = (from.to_owned(), to.to_owned());
        let is_cut = self.state().cut.contains(&way);
        if is_lost || is_cut {
            std::future::pending::<()>().await;
        }
    }
}
