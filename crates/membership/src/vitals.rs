//! Signs of life and coarse load of many endpoints, one byte each: five bits of age, three of load.

use std::time::Duration;

use derives::record;
use tokio::time::Instant;

use crate::state::{Entry, State};

/// Groups into which endpoints fall by the hash of their name; each is compared on its own.
pub(crate) const BUCKETS: usize = 8;

const AGE_UNIT: Duration = Duration::from_millis(125);
const AGE_BITS: u32 = 5;
/// The age is too high to be told.
const AGE_UNKNOWN: u8 = (1 << AGE_BITS) - 1;
/// Calls that each load class stands for.
const CALLS_BY_CLASS: [u32; 8] = [0, 1, 2, 5, 11, 22, 45, 90];

/// One bucket: a digest of what its endpoints announced, and their vitals by hash of name.
#[record]
pub struct Bucket {
    /// Differs where any endpoint or what it announced differs.
    pub digest: u32,
    /// One byte for each endpoint; of use only where both digests agree.
    #[serde(with = "serde_bytes")]
    pub vitals: Vec<u8>,
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
    encode(live.silence(now), live.reported(now).calls)
}

/// Takes one endpoint's vitals.
pub(crate) fn apply(entry: &Entry, byte: u8, now: Instant) {
    let Some((age, calls)) = decode(byte) else {
        return;
    };
    let heard = now.checked_sub(age).unwrap_or(now);
    if entry.endpoint.live.hear(heard) {
        entry.endpoint.live.report(calls, heard);
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
    let sum = bucket
        .iter()
        .fold(0_u64, |sum, entry| sum.wrapping_add(entry.stamp));
    (sum >> u32::BITS) as u32 ^ sum as u32
}

/// What to tell a neighbour of all buckets.
pub(crate) fn buckets(state: &State, now: Instant) -> Vec<Bucket> {
    by_bucket(state)
        .iter()
        .map(|bucket| Bucket {
            digest: digest(bucket),
            vitals: bucket.iter().map(|entry| of(entry, now)).collect(),
        })
        .collect()
}

/// Takes a neighbour's vitals where digests agree; returns the buckets where they don't.
pub(crate) fn take(state: &State, theirs: &[Bucket], now: Instant) -> Vec<u8> {
    let mut differing = Vec::new();
    for (at, (ours, theirs)) in by_bucket(state).iter().zip(theirs).enumerate() {
        match digest(ours) == theirs.digest && ours.len() == theirs.vitals.len() {
            true => ours
                .iter()
                .zip(&theirs.vitals)
                .for_each(|(entry, byte)| apply(entry, *byte, now)),
            false => differing.push(at as u8),
        }
    }
    differing
}
