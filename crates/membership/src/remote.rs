//! Bounded samples of other zones' endpoints, for work that the own zone has no capacity for.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use link::{Channel, LinkError, Peer};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, MissedTickBehavior, interval};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Delta, Endpoint, EntryDigest, Table,
    delta::with_cold_times,
    message::{Reply, Request, merge_all, sample_digest},
    state::{Entry, Origin},
    vitals,
};

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a seed that differs between gates, so that they do not all query the same gate.
fn gate_seed(table: &Table) -> u64 {
    let cfg = table.config();
    xxh3_64_with_seed(cfg.gate.as_bytes(), cfg.seed)
}

/// Name hashes of the last sample from another availability zone.
type Sample = Vec<u64>;

/// Periodically requests a sample from one connected gate of each other availability zone.
pub(crate) async fn sample_other_zones(table: Table, gates: Vec<Peer>) {
    if table.config().spans_zones {
        return;
    }
    let mut rng = SmallRng::seed_from_u64(gate_seed(&table));
    let mut samples: BTreeMap<String, Sample> = BTreeMap::new();
    let mut tick = interval(SAMPLE_INTERVAL);
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
        let requests = by_az.into_iter().map(|(az, peers)| {
            let peer = peers[rng.random_range(0..peers.len())].clone();
            let table = table.clone();
            let sample = samples.remove(&az).unwrap_or_default();
            tokio::spawn(async move {
                let call = |req| call_peer(peer.clone(), req);
                let result = table.sample_from(&az, sample, call).await;
                (az, result)
            })
        });
        for task in requests.collect::<Vec<_>>() {
            // If a zone does not reply, its known endpoints stay until they become suspect.
            if let Ok((az, Ok(sample))) = task.await {
                samples.insert(az, sample);
            }
        }
    }
}

async fn call_peer(peer: Peer, req: Request) -> Result<Reply, LinkError> {
    peer.call(Channel::Membership, &req, CALL_TIMEOUT).await
}

impl Table {
    /// Updates the sample of availability zone `az` by requests through `call`; `sample` is the
    /// previous one. Returns the new one.
    pub async fn sample_from<Fut>(
        &self,
        az: &str,
        sample: Sample,
        call: impl Fn(Request) -> Fut,
    ) -> Result<Sample, LinkError>
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let (digest, digests, endpoints) = self.local_sample(az, &sample);
        match call(Request::Sample(digest)).await? {
            Reply::Sampled(vitals) => {
                let now = Instant::now();
                let pairs = endpoints.iter().zip(&vitals);
                pairs.for_each(|(endpoint, byte)| vitals::apply(&endpoint.live, *byte, now));
                Ok(sample)
            }
            Reply::SampleDiffers => match call(Request::RefreshSample(digests)).await? {
                Reply::SampleRefreshed {
                    names,
                    vitals,
                    deltas,
                    cold,
                } => {
                    let deltas = with_cold_times(deltas, &cold);
                    let from_zone = deltas.into_iter().filter(|d| d.announced.az == az);
                    let from_zone: Vec<Delta> = from_zone.collect();
                    self.apply_vitals(az, names.iter().zip(&vitals), &from_zone);
                    merge_all(self, from_zone, &Origin::COMPARISON);
                    Ok(names)
                }
                _ => Ok(sample),
            },
            _ => Ok(sample),
        }
    }

    /// Applies the vitals of endpoints that no delta replaces.
    fn apply_vitals<'a>(
        &self,
        az: &str,
        vitals: impl Iterator<Item = (&'a u64, &'a u8)>,
        replaced: &[Delta],
    ) {
        let now = Instant::now();
        let vitals: HashMap<&u64, &u8> = vitals.collect();
        let state = self.lock();
        let is_replaced = |e: &Entry| {
            let name = &e.endpoint.announced.endpoint;
            replaced.iter().any(|d| d.announced.endpoint == *name)
        };
        for entry in state.entries_of_zone(az).filter(|e| !is_replaced(e)) {
            if let Some(byte) = vitals.get(&entry.name_hash) {
                vitals::apply(&entry.endpoint.live, **byte, now);
            }
        }
    }

    /// Returns the digest, entry digests and endpoints of the local copy of `sample`, ordered by
    /// name hash.
    fn local_sample(
        &self,
        az: &str,
        sample: &[u64],
    ) -> (u64, Vec<EntryDigest>, Vec<Arc<Endpoint>>) {
        let state = self.lock();
        let is_in_sample = |e: &&Entry| sample.contains(&e.name_hash);
        let mut entries: Vec<&Entry> = state.entries_of_zone(az).filter(is_in_sample).collect();
        entries.sort_unstable_by_key(|entry| entry.name_hash);
        let digest = sample_digest(&entries);
        let endpoints = entries.iter().map(|e| Arc::clone(&e.endpoint)).collect();
        (
            digest,
            entries.iter().map(|e| EntryDigest::of(e)).collect(),
            endpoints,
        )
    }
}
