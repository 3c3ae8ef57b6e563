//! Spread of the table between the gates of an availability zone: changes are pushed at once to
//! a few neighbours that pass them on; exchanges with a neighbour at a time carry signs of life
//! and repair what pushes missed.

use std::{collections::BTreeSet, time::Duration};

use link::{Channel, LinkError, Peer};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::{
    Table,
    message::{Reply, Request, Stamp, merge_all},
    remote::sample_others,
    vitals::{self, bucket_of},
};

const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Changes that come within this time travel in one message.
const PUSH_PAUSE: Duration = Duration::from_millis(20);
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// A restarted gate waits at most this long for a neighbour's table.
const WARM_LIMIT: Duration = Duration::from_millis(1_500);

/// The gates of `gates` that `own` keeps links to: those one, two, four, … places further in the
/// sorted ring, so that every gate has a logarithmic number of neighbours and a change reaches
/// all gates in a logarithmic number of steps.
pub fn neighbours(own: &str, gates: &[String]) -> Vec<String> {
    let ring: BTreeSet<&str> = gates.iter().map(String::as_str).chain([own]).collect();
    let ring: Vec<&str> = ring.into_iter().collect();
    let Some(at) = ring.iter().position(|gate| *gate == own) else {
        return Vec::new();
    };
    let steps = std::iter::successors(Some(1), |step| Some(step * 2));
    let mut chosen: Vec<String> = Vec::new();
    for step in steps.take_while(|step| *step < ring.len()) {
        let gate = ring[(at + step) % ring.len()].to_owned();
        if !chosen.contains(&gate) {
            chosen.push(gate);
        }
    }
    chosen
}

impl Table {
    /// Starts the tasks that keep this table equal to those of the gates behind `gates`; needed
    /// without any gates too, since it also removes endpoints that are gone.
    pub fn start_spread(&self, gates: Vec<Peer>) {
        let tasks = gates
            .iter()
            .map(|peer| tokio::spawn(push(self.clone(), peer.clone())));
        drop(tasks.collect::<Vec<_>>());
        tokio::spawn(sweep(self.clone()));
        tokio::spawn(sample_others(self.clone(), gates.clone()));
        tokio::spawn(exchange(self.clone(), gates));
    }

    /// Fills the table from the first of `gates` that answers; returns whether one did.
    pub async fn warm(&self, gates: &[Peer]) -> bool {
        let pulls = gates.iter().map(|peer| {
            let (table, peer) = (self.clone(), peer.clone());
            tokio::spawn(async move {
                peer.connected().await;
                table.is_near(&peer) && table.pull(&peer).await.is_ok()
            })
        });
        let mut pulls: Vec<_> = pulls.collect();
        let any = async {
            while !pulls.is_empty() {
                let (done, at) = first_done(&mut pulls).await;
                pulls.swap_remove(at);
                if done {
                    return true;
                }
            }
            false
        };
        let warmed = timeout(WARM_LIMIT, any).await.unwrap_or(false);
        pulls.iter().for_each(tokio::task::JoinHandle::abort);
        warmed
    }

    /// Whether `peer` is a connected gate of this availability zone.
    fn is_near(&self, peer: &Peer) -> bool {
        peer.identity()
            .is_some_and(|identity| identity.az == self.config().az)
    }

    async fn pull(&self, peer: &Peer) -> Result<(), LinkError> {
        let reply = ask(peer, &Request::Pull).await?;
        if let Reply::Pulled(deltas) = reply {
            merge_all(self, deltas, Some(peer.name()));
        }
        Ok(())
    }

    /// One exchange with `peer`, and a repair where tables differ.
    pub async fn exchange_with(&self, peer: &Peer) -> Result<(), LinkError> {
        let ours = vitals::buckets(&self.lock(), Instant::now());
        let Reply::Exchanged(theirs) = ask(peer, &Request::Exchange(ours)).await? else {
            return Ok(());
        };
        let differing = vitals::take(&self.lock(), &theirs, Instant::now());
        if differing.is_empty() {
            return Ok(());
        }
        let held = self.held(|name| differing.contains(&(bucket_of(name) as u8)));
        let req = Request::Repair {
            buckets: differing,
            held,
        };
        let Reply::Repaired { deltas, wanted } = ask(peer, &req).await? else {
            return Ok(());
        };
        merge_all(self, deltas, Some(peer.name()));
        self.send_wanted(peer, &wanted).await
    }

    async fn send_wanted(&self, peer: &Peer, wanted: &[u64]) -> Result<(), LinkError> {
        let now = Instant::now();
        let deltas: Vec<_> = self
            .lock()
            .shared_entries()
            .filter(|entry| wanted.contains(&entry.name_hash))
            .map(|entry| crate::Delta::of(&entry.endpoint, now))
            .collect();
        if deltas.is_empty() {
            return Ok(());
        }
        let from = self.config().gate.clone();
        ask(peer, &Request::Deltas { from, deltas }).await.map(drop)
    }

    fn held(&self, is_asked: impl Fn(u64) -> bool) -> Vec<Stamp> {
        let state = self.lock();
        let entries = state.shared_entries().filter(|e| is_asked(e.name_hash));
        entries
            .map(|e| Stamp {
                name: e.name_hash,
                content: e.stamp,
            })
            .collect()
    }
}

async fn ask(peer: &Peer, req: &Request) -> Result<Reply, LinkError> {
    peer.call(Channel::Membership, req, CALL_LIMIT).await
}

async fn first_done(pulls: &mut [tokio::task::JoinHandle<bool>]) -> (bool, usize) {
    std::future::poll_fn(|cx| {
        for (at, pull) in pulls.iter_mut().enumerate() {
            if let std::task::Poll::Ready(done) = Future::poll(std::pin::Pin::new(pull), cx) {
                return std::task::Poll::Ready((done.unwrap_or(false), at));
            }
        }
        std::task::Poll::Pending
    })
    .await
}

/// Pushes changes to one neighbour. A push that fails is not repeated; the exchange repairs it.
async fn push(table: Table, peer: Peer) {
    let mut changes = table.changes();
    let mut sent = *changes.borrow_and_update();
    while changes.changed().await.is_ok() {
        sleep(PUSH_PAUSE).await;
        let version = *changes.borrow_and_update();
        let deltas = table.lock().unsent(sent, peer.name(), Instant::now());
        sent = version;
        if deltas.is_empty() || !table.is_near(&peer) {
            continue;
        }
        let from = table.config().gate.clone();
        // The next exchange repairs what is lost here.
        let _ = ask(&peer, &Request::Deltas { from, deltas }).await;
    }
}

async fn exchange(table: Table, gates: Vec<Peer>) {
    let mut rng = SmallRng::seed_from_u64(table.config().seed);
    let mut tick = interval(table.config().exchange_every);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let near: Vec<&Peer> = gates.iter().filter(|peer| table.is_near(peer)).collect();
        if let Some(peer) = pick(&near, &mut rng) {
            // A neighbour that does not answer is one of several.
            let _ = table.exchange_with(peer).await;
        }
    }
}

fn pick<'a>(peers: &[&'a Peer], rng: &mut SmallRng) -> Option<&'a Peer> {
    match peers.is_empty() {
        true => None,
        false => Some(peers[rng.random_range(0..peers.len())]),
    }
}

async fn sweep(table: Table) {
    let mut tick = interval(SWEEP_EVERY);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let mut state = table.lock();
        state.sweep(Instant::now());
        table.publish(state);
    }
}
