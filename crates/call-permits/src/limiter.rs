//! Token buckets of the endpoints for which this gate grants permits.

use std::{collections::HashMap, time::Duration};

use membership::ObservedRate;
use routing::TokenBucket;
use tokio::time::Instant;
use uuid::Uuid;

use crate::permits::{MIN_RATE, lesser};

/// Time in which the tokens of the largest burst accrue.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time for which permits are granted at once.
const GRANT_TIME: Duration = Duration::from_millis(20);
/// Longest retry time while this gate lacks shares in the rate; it may borrow them soon.
const MISSING_SHARES_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of endpoints with a bucket; the one that was used least recently is dropped.
const MAX_ENDPOINTS: usize = 4_096;

/// Reply to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// This number of calls may be sent.
    Permits(u32),
    /// No call may be sent before this time has passed.
    Refused(Duration),
}

#[derive(Debug)]
struct Endpoint {
    incarnation: Uuid,
    observed: Option<ObservedRate>,
    /// Limit while the endpoint is cold, and its end.
    cold: Option<(f64, Instant)>,
    bucket: TokenBucket,
    used: Instant,
}

impl Endpoint {
    /// Returns the limit in requests per second at `now`, if there is one.
    fn limit(&self, now: Instant) -> Option<f64> {
        let named = self.observed.and_then(|observed| observed.per_second);
        let cold = self.cold.filter(|(_, until)| now < *until);
        lesser(named, cold.map(|(per_second, _)| per_second))
    }

    /// Applies a change of the limits. A limit that begins does so with an empty bucket.
    fn change(&mut self, now: Instant, change: impl FnOnce(&mut Self)) {
        let was_limited = self.limit(now).is_some();
        change(self);
        if !was_limited && self.limit(now).is_some() {
            self.bucket = TokenBucket::empty(now);
        }
    }
}

/// Grants permits, by endpoint name.
#[derive(Debug, Default)]
pub struct Limiter {
    endpoints: HashMap<String, Endpoint>,
}

impl Limiter {
    /// Records the request rate that an incarnation of `endpoint` named.
    pub fn observe(
        &mut self,
        endpoint: &str,
        incarnation: Uuid,
        observed: ObservedRate,
        now: Instant,
    ) {
        let Some(known) = self.entry(endpoint, incarnation, now) else {
            return;
        };
        if observed.supersedes(known.observed) {
            known.change(now, |known| known.observed = Some(observed));
        }
    }

    /// Sets the limit of an incarnation of `endpoint` while it is cold, and its end.
    pub fn set_cold(
        &mut self,
        endpoint: &str,
        incarnation: Uuid,
        cold: Option<(f64, Instant)>,
        now: Instant,
    ) {
        if cold.is_none() && !self.endpoints.contains_key(endpoint) {
            return;
        }
        if let Some(known) = self.entry(endpoint, incarnation, now) {
            known.change(now, |known| known.cold = cold);
        }
    }

    /// Returns the entry of `endpoint`, a new one for a later incarnation; `None` for an earlier one.
    fn entry(&mut self, endpoint: &str, incarnation: Uuid, now: Instant) -> Option<&mut Endpoint> {
        let known = self.endpoints.get(endpoint).map(|known| known.incarnation);
        if known.is_some_and(|known| incarnation < known) {
            return None;
        }
        if known != Some(incarnation) {
            self.drop_least_recently_used();
            let new = Endpoint {
                incarnation,
                observed: None,
                cold: None,
                bucket: TokenBucket::empty(now),
                used: now,
            };
            self.endpoints.insert(endpoint.to_owned(), new);
        }
        self.endpoints.get_mut(endpoint)
    }

    /// Grants permits for calls to `endpoint` with `fraction` of the shares in its rate.
    pub fn grant(&mut self, endpoint: &str, fraction: f64, now: Instant) -> Grant {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return Grant::Permits(1);
        };
        known.used = now;
        let Some(limit) = known.limit(now) else {
            return Grant::Permits(1);
        };
        let rate = limit.max(MIN_RATE) * fraction;
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        known.bucket.refill(rate, burst, now);
        let wanted = (rate * GRANT_TIME.as_secs_f64()).max(1.0) as u32;
        match known.bucket.take(wanted) {
            0 => Grant::Refused(wait_for_token(&known.bucket, rate, fraction)),
            permits => Grant::Permits(permits),
        }
    }

    fn drop_least_recently_used(&mut self) {
        if self.endpoints.len() < MAX_ENDPOINTS {
            return;
        }
        let oldest = self.endpoints.iter().min_by_key(|(_, known)| known.used);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.endpoints.remove(&name);
        }
    }
}

/// Returns when a call may be sent at `rate` with `fraction` of the shares.
fn wait_for_token(bucket: &TokenBucket, rate: f64, fraction: f64) -> Duration {
    let wait = bucket.time_to_token(rate).unwrap_or(MISSING_SHARES_DELAY);
    match fraction < 1.0 {
        true => wait.min(MISSING_SHARES_DELAY),
        false => wait,
    }
}

#[cfg(test)]
mod tests;
