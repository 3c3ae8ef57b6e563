//! Vitals: time since the last heartbeat and load class of an endpoint in one byte, of which five
//! bits are age and three are load.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::{ByteBuf, Bytes};
use tokio::time::Instant;

use crate::{
    Endpoint, LiveState,
    state::{Entry, State},
};

/// Number of groups that endpoints fall into by name hash; each has its own digest.
pub(crate) const BUCKETS: usize = 8;

const AGE_UNIT: Duration = Duration::from_millis(125);
const AGE_BITS: u32 = 5;
/// The age is too high to be encoded.
const AGE_UNKNOWN: u8 = (1 << AGE_BITS) - 1;
/// Number of calls that each load class decodes to.
const CALLS_BY_CLASS: [u32; 8] = [0, 1, 2, 5, 11, 22, 45, 90];

/// Vitals without information.
pub(crate) const UNKNOWN: u8 = AGE_UNKNOWN;
/// Vitals are returned to a neighbour if their age is lower by at least this many units, which
/// exceeds the rounding error of one announcement in transit.
const MIN_AGE_DIFFERENCE_UNITS: u8 = 2;

/// One bucket: a digest of its endpoints' announcements, and their vitals in order of name hash.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Digest of all endpoints of the bucket and their announcements.
    pub digest: u32,
    /// One byte for each endpoint; meaningful only if the digests are equal.
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

/// Encodes `age`, rounded up so that it is never understated, and the load class of `calls`.
pub(crate) fn encode(age: Duration, calls: u32) -> u8 {
    let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
    let age = u8::try_from(units).unwrap_or(AGE_UNKNOWN).min(AGE_UNKNOWN);
    let class = (u32::BITS - calls.leading_zeros()).min(CALLS_BY_CLASS.len() as u32 - 1);
    (class as u8) << AGE_BITS | age
}

/// Decodes age and number of calls; `None` if the age is unknown.
pub(crate) fn decode(byte: u8) -> Option<(Duration, u32)> {
    let age = byte & AGE_UNKNOWN;
    let calls = CALLS_BY_CLASS[usize::from(byte >> AGE_BITS)];
    (age != AGE_UNKNOWN).then(|| (AGE_UNIT * u32::from(age), calls))
}

/// Returns the vitals of one endpoint at `now`.
pub(crate) fn of(entry: &Entry, now: Instant) -> u8 {
    let live = &entry.endpoint.live;
    encode(live.silence(now), live.reported_load(now).calls)
}

/// Applies received vitals of one endpoint.
pub(crate) fn apply(live: &LiveState, byte: u8, now: Instant) {
    let Some((age, calls)) = decode(byte) else {
        return;
    };
    let last_heartbeat = now.checked_sub(age).unwrap_or(now);
    if live.record_heartbeat(last_heartbeat) {
        live.report(calls, last_heartbeat);
    }
}

/// Returns the shared entries by bucket, each in order of name hash.
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

/// Returns the index of the bucket of a name hash.
pub(crate) fn bucket_of(name_hash: u64) -> usize {
    (name_hash % BUCKETS as u64) as usize
}

fn digest(bucket: &[&Entry]) -> u32 {
    let sum = bucket.iter().fold(0_u64, |sum, entry| {
        sum.wrapping_add(entry.announcement_hash)
    });
    (sum >> u32::BITS) as u32 ^ sum as u32
}

/// Returns all buckets to send to a neighbour, and the endpoints whose vitals they contain.
pub(crate) fn buckets(state: &State, now: Instant) -> (Vec<Bucket>, Vec<Vec<Arc<Endpoint>>>) {
    let by_bucket = by_bucket(state);
    let buckets = by_bucket.iter().map(|bucket| Bucket {
        digest: digest(bucket),
        vitals: bucket.iter().map(|entry| of(entry, now)).collect(),
    });
    let sent = by_bucket.iter().map(|bucket| {
        let endpoints = bucket.iter().map(|entry| Arc::clone(&entry.endpoint));
        endpoints.collect()
    });
    (buckets.collect(), sent.collect())
}

/// Applies a neighbour's vitals of buckets with equal digests. Returns the buckets that differ and,
/// for the others, newer vitals.
pub(crate) fn apply_exchange(state: &State, theirs: &[Bucket], now: Instant) -> ExchangeReply {
    let mut reply = ExchangeReply::default();
    for (index, (ours, theirs)) in by_bucket(state).iter().zip(theirs).enumerate() {
        match digest(ours) == theirs.digest && ours.len() == theirs.vitals.len() {
            true => {
                let pairs = ours.iter().zip(&theirs.vitals);
                let pairs = pairs.map(|(entry, sent)| (of(entry, now), *sent));
                reply.vitals.extend(newer_vitals(pairs));
                let pairs = ours.iter().zip(&theirs.vitals);
                pairs.for_each(|(entry, byte)| apply(&entry.endpoint.live, *byte, now));
            }
            false => reply.differing.push(index as u8),
        }
    }
    reply
}

/// Reply to an exchange of vitals.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeReply {
    /// The buckets whose digests differ.
    pub differing: Vec<u8>,
    /// For each other bucket, a bitmap of the endpoints with a newer heartbeat at the replying gate,
    /// followed by their vitals.
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

/// From pairs of local and remote vitals, returns a bitmap of those that are newer here, followed
/// by the local vitals of these.
fn newer_vitals(pairs: impl Iterator<Item = (u8, u8)>) -> Vec<u8> {
    let mut bits = Vec::new();
    let mut vitals = Vec::new();
    for (index, (ours, theirs)) in pairs.enumerate() {
        if index.is_multiple_of(8) {
            bits.push(0);
        }
        let is_newer = (ours & AGE_UNKNOWN) + MIN_AGE_DIFFERENCE_UNITS <= theirs & AGE_UNKNOWN;
        if is_newer {
            bits[index / 8] |= 1 << (index % 8);
            vitals.push(ours);
        }
    }
    bits.append(&mut vitals);
    bits
}

/// Applies newer vitals of the endpoints `sent` to a neighbour, by bucket; stops early if the reply
/// is truncated.
pub(crate) fn apply_exchange_reply(
    sent: &[Vec<Arc<Endpoint>>],
    reply: &ExchangeReply,
    now: Instant,
) {
    let mut rest = reply.vitals.as_slice();
    let is_equal = |index: &usize| !reply.differing.contains(&(*index as u8));
    for index in (0..sent.len()).filter(is_equal) {
        let bucket = &sent[index];
        let Some((bits, after)) = rest.split_at_checked(bucket.len().div_ceil(8)) else {
            return;
        };
        rest = after;
        let is_set = |index: usize| bits[index / 8] & 1 << (index % 8) != 0;
        for (_, endpoint) in bucket
            .iter()
            .enumerate()
            .filter(|(index, _)| is_set(*index))
        {
            let Some((byte, after)) = rest.split_first() else {
                return;
            };
            rest = after;
            apply(&endpoint.live, *byte, now);
        }
    }
}
