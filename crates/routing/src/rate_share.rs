//! This gate's share in the request rate that an endpoint names.
//!
//! The rate is divided between a few gates of the endpoint's availability zone, which all gates
//! determine alike, so that they need no coordination and stay within it when they are cut off from
//! each other.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::token_bucket::TokenBucket;

/// Maximum number of gates that call an endpoint while it names a rate; each may save up one call.
const MAX_CALLERS: usize = 4;
/// Lowest share, in requests per second. An endpoint that names less is still asked this often,
/// since only its responses say that the limit ended.
const MIN_SHARE: f64 = 0.05;
/// Time in which the tokens of the largest burst accrue.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Retry time at gates without a share.
const NO_SHARE_DELAY: Duration = Duration::from_secs(1);

/// Returns the fraction of the rate of `endpoint` that `gate` may use; `gates` are the gates of the
/// endpoint's availability zone, including `gate`.
pub(crate) fn fraction(endpoint: &str, gate: &str, gates: &[String]) -> f64 {
    let rank =
        |name: &str| xxh3_64_with_seed(endpoint.as_bytes(), xxh3_64_with_seed(name.as_bytes(), 0));
    let own = rank(gate);
    let others = gates.iter().filter(|other| *other != gate);
    let before = others.clone().filter(|other| rank(other) < own).count();
    let callers = (others.count() + 1).min(MAX_CALLERS);
    match before < callers {
        true => 1.0 / callers as f64,
        false => 0.0,
    }
}

/// Token bucket for the calls of this gate; absent until the endpoint first names a rate.
#[derive(Debug, Default)]
pub(crate) struct RateShare(Mutex<Option<TokenBucket>>);

impl RateShare {
    /// Returns how long a call has to wait if this gate may send `per_second`; zero if it may be
    /// sent.
    pub(crate) fn wait(&self, per_second: f64, now: Instant) -> Duration {
        if per_second <= 0.0 {
            return NO_SHARE_DELAY;
        }
        let per_second = per_second.max(MIN_SHARE);
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = bucket.get_or_insert_with(|| TokenBucket::empty(now));
        let burst = (per_second * BURST_TIME.as_secs_f64()).max(1.0);
        bucket.refill(per_second, burst, now);
        bucket.time_to_token(per_second).unwrap_or(NO_SHARE_DELAY)
    }

    /// Takes a call from the share. Returns false if none is left.
    pub(crate) fn try_take(&self) -> bool {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.as_mut().is_none_or(|bucket| bucket.take(1) == 1)
    }
}

#[cfg(test)]
mod tests;
