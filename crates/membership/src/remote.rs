//! A bounded part of other availability zones' endpoints, for work that the own one can't take.

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
    message::{Reply, Request, merge_all, sample_digest},
    state::{Entry, Origin},
    vitals,
};

const SAMPLE_EVERY: Duration = Duration::from_secs(1);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// A seed of the gate's own: gates in step would all ask the same one.
fn seed_of(table: &Table) -> u64 {
    let cfg = table.config();
    xxh3_64_with_seed(cfg.gate.as_bytes(), cfg.seed)
}

/// The part of another availability zone's endpoints that was taken last, by hash of name.
type Sample = Vec<u64>;

/// Asks one connected gate of each other availability zone for its sample, again and again.
pub(crate) async fn sample_others(table: Table, gates: Vec<Peer>) {
    if table.config().spans_zones {
        return;
    }
    let mut rng = SmallRng::seed_from_u64(seed_of(&table));
    let mut samples: BTreeMap<String, Sample> = BTreeMap::new();
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
            let sample = samples.remove(&az).unwrap_or_default();
            tokio::spawn(async move {
                let call = |req| ask_owned(peer.clone(), req);
                let taken = table.sample_from(&az, sample, call).await;
                (az, taken)
            })
        });
        for task in asked.collect::<Vec<_>>() {
            // An availability zone that does not answer keeps what is known until it falls silent.
            if let Ok((az, Ok(sample))) = task.await {
                samples.insert(az, sample);
            }
        }
    }
}

async fn ask_owned(peer: Peer, req: Request) -> Result<Reply, LinkError> {
    peer.call(Channel::Membership, &req, CALL_LIMIT).await
}

impl Table {
    /// Takes the sample of availability zone `az` from the gate that `call` reaches; `sample` is
    /// the one taken last. Returns the new one.
    pub async fn sample_from<Fut>(
        &self,
        az: &str,
        sample: Sample,
        call: impl Fn(Request) -> Fut,
    ) -> Result<Sample, LinkError>
    where
        Fut: Future<Output = Result<Reply, LinkError>>,
    {
        let (digest, held, endpoints) = self.sample_held(az, &sample);
        match call(Request::Sample(digest)).await? {
            Reply::Sampled(vitals) => {
                let now = Instant::now();
                let heard = endpoints.iter().zip(&vitals);
                heard.for_each(|(endpoint, byte)| vitals::apply(&endpoint.live, *byte, now));
                Ok(sample)
            }
            Reply::SampleDiffers => match call(Request::RefreshSample(held)).await? {
                Reply::SampleRefreshed {
                    names,
                    vitals,
                    deltas,
                } => {
                    let of_it = deltas.into_iter().filter(|d| d.announced.az == az);
                    let of_it: Vec<Delta> = of_it.collect();
                    self.hear_unchanged(az, names.iter().zip(&vitals), &of_it);
                    merge_all(self, of_it, &Origin::COMPARISON);
                    Ok(names)
                }
                _ => Ok(sample),
            },
            _ => Ok(sample),
        }
    }

    /// Takes the vitals of endpoints that no delta replaces.
    fn hear_unchanged<'a>(
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
        for entry in state.entries_of(az).filter(|e| !is_replaced(e)) {
            if let Some(byte) = vitals.get(&entry.name_hash) {
                vitals::apply(&entry.endpoint.live, **byte, now);
            }
        }
    }

    /// What is held of `sample`: its digest, and its endpoints in order of the names' hashes.
    fn sample_held(&self, az: &str, sample: &[u64]) -> (u64, Vec<EntryDigest>, Vec<Arc<Endpoint>>) {
        let state = self.lock();
        let is_in_it = |e: &&Entry| sample.contains(&e.name_hash);
        let mut entries: Vec<&Entry> = state.entries_of(az).filter(is_in_it).collect();
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
