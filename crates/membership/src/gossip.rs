//! Spread of the table between the gates of an availability zone: changes are pushed at once to
//! a few neighbours that pass them on; exchanges with a neighbour at a time carry signs of life
//! and repair what pushes missed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use link::{Channel, LinkError, Peer};
use tokio::{
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Delta, Endpoint, EntryDigest, Table,
    delta::CompactDelta,
    message::{Reply, Request, merge_all},
    remote::sample_others,
    state::{Entry, Origin},
    vitals::{self, bucket_of},
};

const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Changes that come within this time travel in one message.
const PUSH_PAUSE: Duration = Duration::from_millis(20);
/// Up to so many gates are all neighbours of one another.
const MAX_MESH: usize = 8;
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// A restarted gate waits at most this long for a neighbour's table.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1_500);

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
    /// without any gates too, since it also removes endpoints that are gone. The first gate that
    /// answers fills the table.
    pub fn start_gossip(&self, gates: Vec<Peer>) {
        self.gossip(gates).detach_all();
    }

    /// The same, with tasks that end when the set is dropped, so that neighbours can change.
    pub fn gossip(&self, gates: Vec<Peer>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let own = self.config().gate.as_str();
        let mut ring = gates.clone();
        // Clockwise from here: greater names first.
        ring.sort_by_key(|peer| (peer.name() < own, peer.name().to_owned()));
        let ring: Arc<[Peer]> = ring.into();
        for peer in ring.iter() {
            tasks.spawn(push(self.clone(), peer.clone(), Arc::clone(&ring)));
        }
        tasks.spawn(sweep(self.clone()));
        let (bootstrapping, first) = (self.clone(), gates.clone());
        tasks.spawn(async move {
            // Without a neighbour that answers, the table fills by what endpoints announce.
            let _ = bootstrapping.bootstrap(&first).await;
        });
        tasks.spawn(sample_others(self.clone(), gates.clone()));
        tasks.spawn(exchange_often(self.clone(), ring));
        tasks
    }

    /// Fills the table from the first of `gates` that answers; returns whether one did.
    pub async fn bootstrap(&self, gates: &[Peer]) -> bool {
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
        let is_filled = timeout(BOOTSTRAP_TIMEOUT, any).await.unwrap_or(false);
        pulls.iter().for_each(tokio::task::JoinHandle::abort);
        is_filled
    }

    /// Whether `peer` is a connected gate of this availability zone.
    fn is_near(&self, peer: &Peer) -> bool {
        let cfg = self.config();
        peer.identity()
            .is_some_and(|identity| cfg.spans_zones || identity.az == cfg.az)
    }

    /// Connected gates of this availability zone, in order along the ring: all where they are few,
    /// else those one, two, four, … places further.
    fn near_neighbours<'a>(&self, ring: &'a [Peer]) -> Vec<&'a Peer> {
        let near: Vec<&Peer> = ring.iter().filter(|peer| self.is_near(peer)).collect();
        if near.len() <= MAX_MESH {
            return near;
        }
        let steps = std::iter::successors(Some(1), |step| Some(step * 2));
        let steps = steps.take_while(|step| *step <= near.len());
        steps.map(|step| near[step - 1]).collect()
    }

    async fn pull(&self, peer: &Peer) -> Result<(), LinkError> {
        let reply = ask(peer, &Request::Pull).await?;
        if let Reply::Pulled(deltas) = reply {
            merge_all(self, deltas, &Origin::COMPARISON);
        }
        Ok(())
    }

    /// One exchange with the gate that `call` reaches, and a repair where tables differ.
    pub async fn exchange<Fut>(&self, call: impl Fn(Request) -> Fut) -> Result<(), LinkError>
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let (ours, told) = vitals::buckets(&self.lock(), Instant::now());
        let Reply::Exchanged(reply) = call(Request::Exchange(ours)).await? else {
            return Ok(());
        };
        vitals::apply_exchange_reply(&told, &reply, Instant::now());
        if reply.differing.is_empty() {
            return Ok(());
        }
        self.repair(reply.differing, call).await
    }

    /// Gets what a neighbour holds differently in `buckets`, and tells what it lacks.
    async fn repair<Fut>(
        &self,
        buckets: Vec<u8>,
        call: impl Fn(Request) -> Fut,
    ) -> Result<(), LinkError>
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let is_differing = |e: &&Entry| buckets.contains(&(bucket_of(e.name_hash) as u8));
        let (digests, endpoints): (Vec<EntryDigest>, _) = {
            let state = self.lock();
            let entries: Vec<&Entry> = state.shared_entries().filter(is_differing).collect();
            let endpoints = entries.iter().map(|e| Arc::clone(&e.endpoint));
            let endpoints: Vec<Arc<Endpoint>> = endpoints.collect();
            (
                entries.iter().map(|e| EntryDigest::of(e)).collect(),
                endpoints,
            )
        };
        let reply = call(Request::Repair { buckets, digests }).await?;
        let Reply::Repaired {
            deltas,
            vitals,
            wanted,
        } = reply
        else {
            return Ok(());
        };
        let now = Instant::now();
        let heard = endpoints.iter().zip(&vitals);
        heard.for_each(|(endpoint, byte)| vitals::apply(&endpoint.live, *byte, now));
        merge_all(self, deltas, &Origin::COMPARISON);
        match self.wanted(&wanted) {
            Request::Deltas { deltas, .. } if deltas.is_empty() => Ok(()),
            req => call(req).await.map(drop),
        }
    }

    fn wanted(&self, names: &[u32]) -> Request {
        let now = Instant::now();
        let state = self.lock();
        let wanted = state
            .shared_entries()
            .filter(|entry| names.contains(&EntryDigest::of(entry).name_hash));
        Request::Deltas {
            from: self.config().gate.clone(),
            reach: 0,
            deltas: wanted.map(|e| Delta::of(&e.endpoint, now)).collect(),
        }
    }

    /// What `neighbour`, the one at place `at` along the ring, has not been pushed since `version`,
    /// and the version up to which it leads.
    pub fn unsent(&self, version: u64, neighbour: &str, at: usize) -> (u64, Vec<Delta>) {
        let now = Instant::now();
        let state = self.lock();
        let deltas = state.unsent(version, neighbour, at);
        let deltas = deltas
            .map(|entry| Delta::of(&entry.endpoint, now))
            .collect();
        (state.version(), deltas)
    }

    /// Pushes what `neighbour`, the one at place `at` along the ring, has not been pushed since
    /// `version`; endpoints that it should hold in brief, and in full those that it then lacks.
    /// Returns the version up to which this leads. A push that fails is not repeated; the next
    /// exchange repairs it.
    pub async fn push_unsent<Fut>(
        &self,
        version: u64,
        neighbour: &str,
        at: usize,
        call: impl Fn(Request) -> Fut,
    ) -> u64
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let (reached, compact_deltas, mut full) = self.pushes(version, neighbour, at);
        let from = self.config().gate.clone();
        if !compact_deltas.is_empty() {
            let req = Request::CompactDeltas(from.clone(), at, compact_deltas);
            if let Ok(Reply::Merged(lacking)) = call(req).await {
                full.extend(self.deltas_of(&lacking));
            }
        }
        if !full.is_empty() {
            let req = Request::Deltas {
                from,
                reach: at,
                deltas: full,
            };
            // The next exchange repairs what is lost here.
            let _ = call(req).await;
        }
        reached
    }

    /// What to push in brief, and what in full.
    fn pushes(
        &self,
        version: u64,
        neighbour: &str,
        at: usize,
    ) -> (u64, Vec<CompactDelta>, Vec<Delta>) {
        let now = Instant::now();
        let state = self.lock();
        let unsent = state.unsent(version, neighbour, at);
        let (renewed, new): (Vec<&Entry>, Vec<&Entry>) = unsent.partition(|e| e.is_renewal());
        let compact_deltas = renewed
            .into_iter()
            .map(|e| CompactDelta::of(e, now))
            .collect();
        let full = new.into_iter().map(|e| Delta::of(&e.endpoint, now));
        (state.version(), compact_deltas, full.collect())
    }

    fn deltas_of(&self, identities: &[u64]) -> Vec<Delta> {
        let now = Instant::now();
        let state = self.lock();
        let entries = identities.iter().filter_map(|i| state.of_identity(*i));
        entries.map(|e| Delta::of(&e.endpoint, now)).collect()
    }
}

async fn ask(peer: &Peer, req: &Request) -> Result<Reply, LinkError> {
    peer.call(Channel::Membership, req, CALL_LIMIT).await
}

async fn ask_owned(peer: Peer, req: Request) -> Result<Reply, LinkError> {
    ask(&peer, &req).await
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
async fn push(table: Table, peer: Peer, ring: Arc<[Peer]>) {
    let mut changes = table.changes();
    let mut sent = *changes.borrow_and_update();
    while changes.changed().await.is_ok() {
        sleep(PUSH_PAUSE).await;
        changes.mark_unchanged();
        let neighbours = table.near_neighbours(&ring);
        let at = neighbours
            .iter()
            .position(|near| near.name() == peer.name());
        sent = match at {
            None => table.lock().version(),
            Some(at) => {
                let call = |req| ask_owned(peer.clone(), req);
                table.push_unsent(sent, peer.name(), at, call).await
            }
        };
    }
}

/// Exchanges with one neighbour after the other; each gate starts with another one, since gates
/// in step would pass news along one edge of the ring only.
async fn exchange_often(table: Table, ring: Arc<[Peer]>) {
    let mut turn = first_turn(&table);
    let mut tick = interval(table.config().exchange_interval);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let near = table.near_neighbours(&ring);
        if near.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let peer = near[turn % near.len()].clone();
        // A neighbour that does not answer is one of several.
        let _ = table.exchange(|req| ask_owned(peer.clone(), req)).await;
    }
}

fn first_turn(table: &Table) -> usize {
    let cfg = table.config();
    xxh3_64_with_seed(cfg.gate.as_bytes(), cfg.seed) as usize >> 1
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

#[cfg(test)]
mod tests;
