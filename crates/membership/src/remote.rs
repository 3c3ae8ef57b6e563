//! A bounded part of other availability zones' endpoints, for work that the own one can't take.

use std::{collections::BTreeMap, time::Duration};

use link::{Channel, LinkError, Peer};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, MissedTickBehavior, interval};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Table,
    message::{Reply, Request, hear_held, merge_all},
    state::{Entry, Origin, State},
};

const SAMPLE_EVERY: Duration = Duration::from_secs(1);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// A seed of the gate's own: gates in step would all ask the same one.
fn seed_of(table: &Table) -> u64 {
    let cfg = table.config();
    xxh3_64_with_seed(cfg.gate.as_bytes(), cfg.seed)
}

/// Asks one connected gate of each other availability zone for its sample, again and again.
pub(crate) async fn sample_others(table: Table, gates: Vec<Peer>) {
    let mut rng = SmallRng::seed_from_u64(seed_of(&table));
    let mut tick = interval(SAMPLE_EVERY);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let mut by_az: BTreeMap<String, Vec<&Peer>> = BTreeMap::new();
        for peer in &gates {
            if let Some(identity) = peer.identity()
                && identity.az != table.config().az
            {
                table.note_foreign(peer.name());
                by_az.entry(identity.az).or_default().push(peer);
            }
        }
        let asked = by_az.into_iter().map(|(az, peers)| {
            let peer = peers[rng.random_range(0..peers.len())].clone();
            let table = table.clone();
            tokio::spawn(async move { table.sample_from(&peer, &az).await })
        });
        for task in asked.collect::<Vec<_>>() {
            // An availability zone that does not answer keeps what is known until it falls silent.
            let _ = task.await;
        }
    }
}

impl Table {
    async fn sample_from(&self, peer: &Peer, az: &str) -> Result<(), LinkError> {
        let held = State::held(self.lock().entries_of(az), Instant::now());
        let req = Request::Sample { held };
        let reply = peer.call(Channel::Membership, &req, CALL_LIMIT).await?;
        if let Reply::Sample { deltas, unchanged } = reply {
            let of_it = deltas.into_iter().filter(|d| d.announced.az == az);
            merge_all(self, of_it.collect(), &Origin::COMPARISON);
            let state = self.lock();
            let entries: Vec<&Entry> = state.entries_of(az).collect();
            hear_held(&entries, &unchanged, Instant::now());
        }
        Ok(())
    }
}
