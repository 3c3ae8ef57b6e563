//! Token bucket that starts empty, so that replacing one does not allow another burst.

use std::time::Duration;

use tokio::time::Instant;

/// Tokens that accrue at a rate which may change between calls.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn empty(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            updated: now,
        }
    }

    /// Adds the tokens that accrued since the last call at `per_second`, up to `burst` in all.
    pub fn refill(&mut self, per_second: f64, burst: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + per_second * elapsed).min(burst);
        self.updated = self.updated.max(now);
    }

    /// Takes up to `wanted` whole tokens; returns how many.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Returns the time until a whole token is available at `per_second`; `None` if there is no
    /// such time.
    pub fn time_to_token(&self, per_second: f64) -> Option<Duration> {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / per_second).ok()
    }
}
