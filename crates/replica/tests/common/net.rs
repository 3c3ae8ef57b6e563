//! In-memory links that drop, delay, reorder and duplicate messages in one or both directions.

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
    checks::{Checks, request_kind},
    disk::FakeDisk,
};

/// Returns true if a request (sender, receiver, body) is to be dropped.
pub type DropFilter = Box<dyn Fn(&str, &str, &[u8]) -> bool + Send>;

struct State {
    filter: Option<DropFilter>,
    /// Disks that lose power as soon as their replica grants a vote.
    power_off_on_vote: BTreeMap<String, FakeDisk>,
    replicas: BTreeMap<String, Replica>,
    /// Routes that drop all messages, by sender and receiver.
    cut: BTreeSet<(String, String)>,
    /// Probability that a message is lost.
    loss: f64,
    /// Probability that a request is delivered twice.
    duplication: f64,
    max_delay_ms: u64,
    rng: StdRng,
    request_counts: BTreeMap<String, usize>,
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
            power_off_on_vote: BTreeMap::new(),
            replicas: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            max_delay_ms: 3,
            rng: StdRng::seed_from_u64(seed),
            request_counts: BTreeMap::new(),
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

    pub fn set_filter(&self, filter: Option<DropFilter>) {
        self.state().filter = filter;
    }

    pub fn power_off_on_vote(&self, name: &str, disk: &FakeDisk) {
        self.state()
            .power_off_on_vote
            .insert(name.to_owned(), disk.clone());
    }

    pub fn heal(&self) {
        let mut state = self.state();
        state.cut.clear();
        (state.loss, state.duplication, state.max_delay_ms) = (0.0, 0.0, 3);
    }

    pub fn set_faults(&self, loss: f64, duplication: f64, max_delay_ms: u64) {
        let mut state = self.state();
        (state.loss, state.duplication, state.max_delay_ms) = (loss, duplication, max_delay_ms);
    }

    /// Number of requests of this kind sent so far.
    pub fn request_count(&self, kind: &str) -> usize {
        self.state().request_counts.get(kind).copied().unwrap_or(0)
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
                    let response = timeout(limit, net.call(&from, &to, body)).await;
                    response.map_err(|_| LinkError::TimedOut {
                        peer: to,
                        waited: limit,
                    })
                })
            }),
        }
    }

    async fn call(&self, from: &str, to: &str, body: Vec<u8>) -> Vec<u8> {
        let duplication = self.state().duplication;
        if self.state().rng.random_bool(duplication) {
            let (net, from, to) = (self.clone(), from.to_owned(), to.to_owned());
            let body = body.clone();
            tokio::spawn(async move { net.deliver(&from, &to, body).await });
        }
        let response = self.deliver(from, to, body).await;
        self.transit(to, from).await;
        response
    }

    async fn deliver(&self, from: &str, to: &str, body: Vec<u8>) -> Vec<u8> {
        let kind = request_kind(&body);
        *self.state().request_counts.entry(kind).or_default() += 1;
        self.transit(from, to).await;
        let is_dropped = {
            let state = self.state();
            state.filter.as_ref().is_some_and(|f| f(from, to, &body))
        };
        if is_dropped {
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
        let response = replica.handle_request(&identity, body.clone()).await;
        if self.checks.record_response(to, &body, &response)
            && let Some(disk) = self.state().power_off_on_vote.remove(to)
        {
            disk.power_off();
        }
        response
    }

    /// Returns once a message has arrived; never returns if it is lost.
    async fn transit(&self, from: &str, to: &str) {
        let (delay, is_dropped) = {
            let mut state = self.state();
            let max = state.max_delay_ms;
            let delay = state.rng.random_range(1..=max);
            let loss = state.loss;
            (delay, state.rng.random_bool(loss))
        };
        sleep(Duration::from_millis(delay)).await;
        let route = (from.to_owned(), to.to_owned());
        let is_cut = self.state().cut.contains(&route);
        if is_dropped || is_cut {
            std::future::pending::<()>().await;
        }
    }
}
