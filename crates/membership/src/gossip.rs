//! Gossip between the gates of an availability zone. Changes are pushed at once to a few neighbours,
//! which forward them. Periodic exchanges with one neighbour at a time carry heartbeats and repair
//! differences that lost pushes leave.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use link::{Channel, LinkError, Peer};
use tokio::{
    sync::broadcast::error::RecvError,
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Delta, Endpoint, EntryDigest, Table,
    delta::{CompactDelta, with_cold_times},
    message::{Reply, Request, merge_all},
    remote::sample_other_zones,
    state::{Entry, Origin},
    vitals::{self, bucket_of},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Changes within this time are sent in one message.
const PUSH_DELAY: Duration = Duration::from_millis(20);
/// Up to this many neighbours, a gate gossips with all of them.
const MAX_FULL_MESH: usize = 8;
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of reports of request rates in one message.
const MAX_RATES: usize = 64;
/// Maximum wait of a restarted gate for a neighbour's table.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns the members of `gates` that `own` keeps links to: those one, two, four, … positions
/// further in the sorted ring. Every gate has a logarithmic number of neighbours, and a change
/// reaches all gates in a logarithmic number of hops.
pub fn neighbours(own: &str, gates: &[String]) -> Vec<String> {
    let ring: BTreeSet<&str> = gates.iter().map(String::as_str).chain([own]).collect();
    let ring: Vec<&str> = ring.into_iter().collect();
    let Some(position) = ring.iter().position(|gate| *gate == own) else {
        return Vec::new();
    };
    let steps = std::iter::successors(Some(1), |step| Some(step * 2));
    let mut chosen: Vec<String> = Vec::new();
    for step in steps.take_while(|step| *step < ring.len()) {
        let gate = ring[(position + step) % ring.len()].to_owned();
        if !chosen.contains(&gate) {
            chosen.push(gate);
        }
    }
    chosen
}

impl Table {
    /// Starts the tasks that replicate this table to and from `gates`. Required even without gates,
    /// since they also remove expired endpoints. The first gate that replies provides the initial
    /// content.
    pub fn start_gossip(&self, gates: Vec<Peer>) {
        self.gossip(gates).detach_all();
    }

    /// Like [`Self::start_gossip`], with tasks that end when the returned set is dropped, so that
    /// neighbours can change.
    pub fn gossip(&self, gates: Vec<Peer>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let own = self.config().gate.as_str();
        let mut ring = gates.clone();
        // Clockwise from this gate: greater names first.
        ring.sort_by_key(|peer| (peer.name() < own, peer.name().to_owned()));
        let ring: Arc<[Peer]> = ring.into();
        for peer in ring.iter() {
            tasks.spawn(push(self.clone(), peer.clone(), Arc::clone(&ring)));
            tasks.spawn(push_rates(self.clone(), peer.clone()));
        }
        tasks.spawn(sweep(self.clone()));
        let (bootstrapping, sources) = (self.clone(), gates.clone());
        tasks.spawn(async move {
            // If no neighbour replies, the endpoints' announcements fill the table.
            let _ = bootstrapping.bootstrap(&sources).await;
        });
        tasks.spawn(sample_other_zones(self.clone(), gates.clone()));
        tasks.spawn(exchange_periodically(self.clone(), ring));
        tasks
    }

    /// Fills the table from the first of `gates` that replies. Returns true if one did.
    pub async fn bootstrap(&self, gates: &[Peer]) -> bool {
        let pulls = gates.iter().map(|peer| {
            let (table, peer) = (self.clone(), peer.clone());
            tokio::spawn(async move {
                peer.connected().await;
                table.is_in_zone(&peer) && table.pull(&peer).await.is_ok()
            })
        });
        let mut pulls: Vec<_> = pulls.collect();
        let first_success = async {
            while !pulls.is_empty() {
                let (is_done, position) = first_done(&mut pulls).await;
                pulls.swap_remove(position);
                if is_done {
                    return true;
                }
            }
            false
        };
        let is_filled = timeout(BOOTSTRAP_TIMEOUT, first_success)
            .await
            .unwrap_or(false);
        pulls.iter().for_each(tokio::task::JoinHandle::abort);
        is_filled
    }

    /// Returns true if `peer` is connected and shares this table's availability zone.
    fn is_in_zone(&self, peer: &Peer) -> bool {
        let cfg = self.config();
        peer.identity()
            .is_some_and(|identity| cfg.spans_zones || identity.az == cfg.az)
    }

    /// Returns connected gates of this availability zone in ring order: all of them up to
    /// `MAX_FULL_MESH`, else those one, two, four, … positions further.
    fn active_neighbours<'a>(&self, ring: &'a [Peer]) -> Vec<&'a Peer> {
        let active: Vec<&Peer> = ring.iter().filter(|peer| self.is_in_zone(peer)).collect();
        if active.len() <= MAX_FULL_MESH {
            return active;
        }
        let steps = std::iter::successors(Some(1), |step| Some(step * 2));
        let steps = steps.take_while(|step| *step <= active.len());
        steps.map(|step| active[step - 1]).collect()
    }

    async fn pull(&self, peer: &Peer) -> Result<(), LinkError> {
        let reply = call_peer(peer, &Request::whole_table()).await?;
        if let Reply::Repaired { deltas, cold, .. } = reply {
            let deltas = with_cold_times(deltas, &cold);
            merge_all(self, deltas, &Origin::COMPARISON);
        }
        Ok(())
    }

    /// Exchanges vitals through `call` with another gate, and repairs differing buckets.
    pub async fn exchange<Fut>(&self, call: impl Fn(Request) -> Fut) -> Result<(), LinkError>
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let (ours, sent_endpoints) = vitals::buckets(&self.lock(), Instant::now());
        let Reply::Exchanged(reply) = call(Request::Exchange(ours)).await? else {
            return Ok(());
        };
        vitals::apply_exchange_reply(&sent_endpoints, &reply, Instant::now());
        if reply.differing.is_empty() {
            return Ok(());
        }
        self.repair(reply.differing, call).await
    }

    /// Merges a neighbour's differing entries of `buckets`, and sends those that it requests.
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
            cold,
            vitals,
            wanted,
        } = reply
        else {
            return Ok(());
        };
        let now = Instant::now();
        let pairs = endpoints.iter().zip(&vitals);
        pairs.for_each(|(endpoint, byte)| vitals::apply(&endpoint.live, *byte, now));
        let deltas = with_cold_times(deltas, &cold);
        merge_all(self, deltas, &Origin::COMPARISON);
        match self.deltas_by_name_hash(&wanted) {
            Request::Deltas { deltas, .. } if deltas.is_empty() => Ok(()),
            req => call(req).await.map(drop),
        }
    }

    fn deltas_by_name_hash(&self, name_hashes: &[u32]) -> Request {
        let now = Instant::now();
        let state = self.lock();
        let wanted = state
            .shared_entries()
            .filter(|entry| name_hashes.contains(&EntryDigest::of(entry).name_hash));
        let deltas = wanted.map(|e| Delta::of(&e.endpoint, now)).collect();
        Request::push(self.config().gate.clone(), 0, deltas)
    }

    /// Returns the table's version, and the changes after `version` not yet pushed to `neighbour`,
    /// which is at `position` among the active neighbours.
    pub fn unsent(&self, version: u64, neighbour: &str, position: usize) -> (u64, Vec<Delta>) {
        let now = Instant::now();
        let state = self.lock();
        let deltas = state.unsent(version, neighbour, position);
        let deltas = deltas
            .map(|entry| Delta::of(&entry.endpoint, now))
            .collect();
        (state.version(), deltas)
    }

    /// Pushes the changes after `version` to `neighbour`, which is at `position` among the active
    /// neighbours: compact deltas for endpoints that it should know, full ones for the others.
    /// Returns the version that was pushed. A failed push is not retried; the next exchange
    /// repairs it.
    pub async fn push_unsent<Fut>(
        &self,
        version: u64,
        neighbour: &str,
        position: usize,
        call: impl Fn(Request) -> Fut,
    ) -> u64
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let (pushed_version, compact_deltas, mut full) =
            self.pending_pushes(version, neighbour, position);
        let from = self.config().gate.clone();
        if !compact_deltas.is_empty() {
            let req = Request::CompactDeltas(from.clone(), position, compact_deltas);
            if let Ok(Reply::Merged(unknown)) = call(req).await {
                full.extend(self.deltas_by_identity(&unknown));
            }
        }
        if !full.is_empty() {
            // The next exchange repairs a lost push.
            let _ = call(Request::push(from, position, full)).await;
        }
        pushed_version
    }

    /// Returns the table's version, and the compact and full deltas to push.
    fn pending_pushes(
        &self,
        version: u64,
        neighbour: &str,
        position: usize,
    ) -> (u64, Vec<CompactDelta>, Vec<Delta>) {
        let now = Instant::now();
        let state = self.lock();
        let unsent = state.unsent(version, neighbour, position);
        let (known, new): (Vec<&Entry>, Vec<&Entry>) = unsent.partition(|e| e.keeps_identity());
        let compact_deltas = known
            .into_iter()
            .map(|e| CompactDelta::of(e, now))
            .collect();
        let full = new.into_iter().map(|e| Delta::of(&e.endpoint, now));
        (state.version(), compact_deltas, full.collect())
    }

    fn deltas_by_identity(&self, identities: &[u64]) -> Vec<Delta> {
        let now = Instant::now();
        let state = self.lock();
        let entries = identities
            .iter()
            .filter_map(|i| state.entry_by_identity(*i));
        entries.map(|e| Delta::of(&e.endpoint, now)).collect()
    }
}

async fn call_peer(peer: &Peer, req: &Request) -> Result<Reply, LinkError> {
    peer.call(Channel::Membership, req, CALL_TIMEOUT).await
}

async fn call_peer_owned(peer: Peer, req: Request) -> Result<Reply, LinkError> {
    call_peer(&peer, &req).await
}

async fn first_done(pulls: &mut [tokio::task::JoinHandle<bool>]) -> (bool, usize) {
    std::future::poll_fn(|cx| {
        for (position, pull) in pulls.iter_mut().enumerate() {
            if let std::task::Poll::Ready(is_done) = Future::poll(std::pin::Pin::new(pull), cx) {
                return std::task::Poll::Ready((is_done.unwrap_or(false), position));
            }
        }
        std::task::Poll::Pending
    })
    .await
}

/// Sends the request rates that responses to this gate named to `peer`.
async fn push_rates(table: Table, peer: Peer) {
    let mut reports = table.rate_reports();
    loop {
        let mut rates = Vec::new();
        match reports.recv().await {
            Ok(report) => rates.push(report),
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        }
        while let (true, Ok(report)) = (rates.len() < MAX_RATES, reports.try_recv()) {
            rates.push(report);
        }
        if table.is_in_zone(&peer) {
            // A gate that misses this learns of it from the endpoint.
            let _ = call_peer(&peer, &Request::Rates(rates)).await;
        }
    }
}

/// Pushes changes to one neighbour. A failed push is not retried; the next exchange repairs it.
async fn push(table: Table, peer: Peer, ring: Arc<[Peer]>) {
    let mut changes = table.changes();
    let mut sent = *changes.borrow_and_update();
    while changes.changed().await.is_ok() {
        sleep(PUSH_DELAY).await;
        changes.mark_unchanged();
        let neighbours = table.active_neighbours(&ring);
        let position = neighbours
            .iter()
            .position(|active| active.name() == peer.name());
        sent = match position {
            None => table.lock().version(),
            Some(position) => {
                let call = |req| call_peer_owned(peer.clone(), req);
                table.push_unsent(sent, peer.name(), position, call).await
            }
        };
    }
}

/// Exchanges with one neighbour after the other. Gates start at different neighbours: if all used
/// the same turn, each round would propagate changes over only one set of edges.
async fn exchange_periodically(table: Table, ring: Arc<[Peer]>) {
    let mut turn = initial_turn(&table);
    let mut tick = interval(table.config().exchange_interval);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let active = table.active_neighbours(&ring);
        if active.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let peer = active[turn % active.len()].clone();
        // After a failure the next turn goes to another neighbour.
        let _ = table
            .exchange(|req| call_peer_owned(peer.clone(), req))
            .await;
    }
}

fn initial_turn(table: &Table) -> usize {
    let cfg = table.config();
    xxh3_64_with_seed(cfg.gate.as_bytes(), cfg.seed) as usize >> 1
}

async fn sweep(table: Table) {
    let mut tick = interval(SWEEP_INTERVAL);
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
