//! Signs of life and coarse load of many endpoints, one byte each: five bits of age, three of load.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::{ByteBuf, Bytes};
use tokio::time::Instant;

use crate::{
    Endpoint, LiveState,
    state::{Entry, State},
};

/// Groups into which endpoints fall by the hash of their name; each is compared on its own.
pub(crate) const BUCKETS: usize = 8;

const AGE_UNIT: Duration = Duration::from_millis(125);
const AGE_BITS: u32 = 5;
/// The age is too high to be told.
const AGE_UNKNOWN: u8 = (1 << AGE_BITS) - 1;
/// Calls that each load class stands for.
const CALLS_BY_CLASS: [u32; 8] = [0, 1, 2, 5, 11, 22, 45, 90];

/// A byte that tells nothing.
pub(crate) const UNKNOWN: u8 = AGE_UNKNOWN;
/// A neighbour's age is told where it is younger by this many units, which is more than rounding
/// makes of one announcement on its way.
const MIN_AGE_DIFFERENCE_UNITS: u8 = 2;

/// One bucket: a digest of what its endpoints announced, and their vitals by hash of name.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Differs where any endpoint or what it announced differs.
    pub digest: u32,
    /// One byte for each endpoint; of use only where both digests agree.
    pub vitals: Vec<u8>,
}

impl Serialize for Bucket {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.digest, Bytes::new(&self.vitals)).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Bucket {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (digest, vitals) = <(u32, ByteBuf)>::deserialize(deserializer)?;
        let vitals = vitals.into_vec();
        Ok(Self { digest, vitals })
    }
}

/// Encodes `age`, rounded up so that silence never seems shorter than it is, and load in classes.
pub(crate) fn encode(age: Duration, calls: u32) -> u8 {
    let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
    let age = u8::try_from(units).unwrap_or(AGE_UNKNOWN).min(AGE_UNKNOWN);
    let class = (u32::BITS - calls.leading_zeros()).min(CALLS_BY_CLASS.len() as u32 - 1);
    (class as u8) << AGE_BITS | age
}

/// The age and the calls of a byte, where it tells an age.
pub(crate) fn decode(byte: u8) -> Option<(Duration, u32)> {
    let age = byte & AGE_UNKNOWN;
    let calls = CALLS_BY_CLASS[usize::from(byte >> AGE_BITS)];
    (age != AGE_UNKNOWN).then(|| (AGE_UNIT * u32::from(age), calls))
}

/// The vitals of one endpoint at `now`.
pub(crate) fn of(entry: &Entry, now: Instant) -> u8 {
    let live = &entry.endpoint.live;
    encode(live.silence(now), live.reported_load(now).calls)
}

/// Takes one endpoint's vitals.
pub(crate) fn apply(live: &LiveState, byte: u8, now: Instant) {
    let Some((age, calls)) = decode(byte) else {
        return;
    };
    let heard = now.checked_sub(age).unwrap_or(now);
    if live.record_heartbeat(heard) {
        live.report(calls, heard);
    }
}

/// The endpoints of this availability zone by bucket, each in order of the hash of its name.
pub(crate) fn by_bucket(state: &State) -> [Vec<&Entry>; BUCKETS] {
    let mut buckets: [Vec<&Entry>; BUCKETS] = Default::default();
    for entry in state.shared_entries() {
        buckets[bucket_of(entry.name_hash)].push(entry);
    }
    for bucket in &mut buckets {
        bucket.sort_unstable_by_key(|entry| entry.name_hash);
    }
    buckets
}

/// The bucket of an endpoint by the hash of its name.
pub(crate) fn bucket_of(name_hash: u64) -> usize {
    (name_hash % BUCKETS as u64) as usize
}

fn digest(bucket: &[&Entry]) -> u32 {
    let sum = bucket.iter().fold(0_u64, |sum, entry| {
        sum.wrapping_add(entry.announcement_hash)
    });
    (sum >> u32::BITS) as u32 ^ sum as u32
}

/// What to tell a neighbour of all buckets, and the endpoints whose vitals are told.
pub(crate) fn buckets(state: &State, now: Instant) -> (Vec<Bucket>, Vec<Vec<Arc<Endpoint>>>) {
    let by_bucket = by_bucket(state);
    let buckets = by_bucket.iter().map(|bucket| Bucket {
        digest: digest(bucket),
        vitals: bucket.iter().map(|entry| of(entry, now)).collect(),
    });
    let told = by_bucket.iter().map(|bucket| {
        let endpoints = bucket.iter().map(|entry| Arc::clone(&entry.endpoint));
        endpoints.collect()
    });
    (buckets.collect(), told.collect())
}

/// Takes a neighbour's vitals where digests agree; tells which buckets differ, and in the others
/// what is younger here.
pub(crate) fn apply_exchange(state: &State, theirs: &[Bucket], now: Instant) -> ExchangeReply {
    let mut reply = ExchangeReply::default();
    for (at, (ours, theirs)) in by_bucket(state).iter().zip(theirs).enumerate() {
        match digest(ours) == theirs.digest && ours.len() == theirs.vitals.len() {
            true => {
                let pairs = ours.iter().zip(&theirs.vitals);
                let pairs = pairs.map(|(entry, told)| (of(entry, now), *told));
                reply.vitals.extend(newer_vitals(pairs));
                let pairs = ours.iter().zip(&theirs.vitals);
                pairs.for_each(|(entry, byte)| apply(&entry.endpoint.live, *byte, now));
            }
            false => reply.differing.push(at as u8),
        }
    }
    reply
}

/// What a neighbour answers to vitals.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeReply {
    /// The buckets whose digests differ.
    pub differing: Vec<u8>,
    /// For each other bucket a bit for each endpoint, set where the neighbour heard it later, and
    /// the vitals of those.
    pub vitals: Vec<u8>,
}

impl Serialize for ExchangeReply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (Bytes::new(&self.differing), Bytes::new(&self.vitals)).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ExchangeReply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (differing, vitals) = <(ByteBuf, ByteBuf)>::deserialize(deserializer)?;
        Ok(Self {
            differing: differing.into_vec(),
            vitals: vitals.into_vec(),
        })
    }
}

/// Of pairs of our vitals and a neighbour's, a bit for each and ours where they are younger.
fn newer_vitals(pairs: impl Iterator<Item = (u8, u8)>) -> Vec<u8> {
    let mut bits = Vec::new();
    let mut vitals = Vec::new();
    for (at, (ours, theirs)) in pairs.enumerate() {
        if at.is_multiple_of(8) {
            bits.push(0);
        }
        let is_newer = (ours & AGE_UNKNOWN) + MIN_AGE_DIFFERENCE_UNITS <= theirs & AGE_UNKNOWN;
        if is_newer {
            bits[at / 8] |= 1 << (at % 8);
            vitals.push(ours);
        }
    }
    bits.append(&mut vitals);
    bits
}

/// Takes what a neighbour heard later of the endpoints that were `told` to it, by bucket; stops at
/// an answer that is too short.
pub(crate) fn apply_exchange_reply(
    told: &[Vec<Arc<Endpoint>>],
    reply: &ExchangeReply,
    now: Instant,
) {
    let mut rest = reply.vitals.as_slice();
    let is_equal = |at: &usize| !reply.differing.contains(&(*at as u8));
    for at in (0..told.len()).filter(is_equal) {
        let bucket = &told[at];
        let Some((bits, after)) = rest.split_at_checked(bucket.len().div_ceil(8)) else {
            return;
        };
        rest = after;
        let is_told = |at: usize| bits[at / 8] & 1 << (at % 8) != 0;
        for (_, endpoint) in bucket.iter().enumerate().filter(|(at, _)| is_told(*at)) {
            let Some((byte, after)) = rest.split_first() else {
                return;
            };
            rest = after;
            apply(&endpoint.live, *byte, now);
        }
    }
}
