//! Idempotency keys derived from a seed, so that paired runs send the same random part.

use uuid::{Builder, Uuid};
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::stand_in::now_ms;

/// Returns a UUIDv7 with the current time for request `n` of a run.
pub(crate) fn idempotency_key(seed: u64, n: u64) -> Uuid {
    let random = xxh3_128_with_seed(&n.to_le_bytes(), seed).to_be_bytes();
    let mut tail = [0; 10];
    tail.copy_from_slice(&random[..10]);
    Builder::from_unix_timestamp_millis(now_ms(), &tail).into_uuid()
}
