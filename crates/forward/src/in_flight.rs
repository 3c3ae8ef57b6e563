//! Tracks a call to an endpoint and updates the latency statistics with its duration.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use logs::Event;
use tokio::time::Instant;

use crate::{
    fleet::{Pool, Target},
    incoming::Prompt,
    zone_placement::ZoneCall,
};

/// Time from the first part of a response after which its request does the endpoint no harm.
const STEADY_TIME: Duration = Duration::from_secs(2);

/// A call in flight, counted until dropped.
#[derive(Debug)]
pub(crate) struct InFlightCall {
    pub(crate) target: Arc<Target>,
    pool: Arc<Pool>,
    /// Prompt tokens that the endpoint is expected to read.
    unread_tokens: u64,
    /// Tokens to read at the endpoint when the call started, including its own.
    queued_tokens: f64,
    pub(crate) expected_ms: f64,
    started_at: Instant,
    first_part_at: Option<Instant>,
    is_steady: bool,
    /// The call as reported to the placement coordinator, if there is one.
    pub(crate) zone_call: Option<ZoneCall>,
}

impl InFlightCall {
    /// Counts a call with `unread_tokens` tokens to read at `target`.
    pub(crate) fn start(target: &Arc<Target>, pool: &Arc<Pool>, unread_tokens: u64) -> Self {
        let now = Instant::now();
        let queued_tokens = {
            let mut stats = target.stats();
            stats.in_flight += 1;
            stats.unread_tokens += unread_tokens;
            stats.unread_tokens as f64
        };
        Self {
            expected_ms: pool.model().at(queued_tokens),
            target: Arc::clone(target),
            pool: Arc::clone(pool),
            unread_tokens,
            queued_tokens,
            started_at: now,
            first_part_at: None,
            is_steady: false,
            zone_call: None,
        }
    }

    /// The log event for the choice of the endpoint, with what it was based on.
    pub(crate) fn chosen_event(&self) -> Event {
        let now = Instant::now();
        let stats = self.target.stats();
        let others_ms = stats
            .other_calls_at
            .map(|at| now.saturating_duration_since(at));
        Event::Chosen {
            endpoint: self.target.name.clone(),
            az: self.target.az.clone(),
            expected_ms: self.expected_ms as u64,
            in_flight: stats.in_flight,
            others: stats.other_calls,
            others_ms: others_ms.map(|age| age.as_millis() as u64),
            unread_tokens: Some(self.unread_tokens),
            cached_percent: None,
            slowness_percent: (stats.slowness.factor(now) * 100.0) as u64,
            candidates: self.pool.targets.len(),
        }
    }

    /// Returns the prompt tokens that the endpoint is expected to read.
    pub(crate) fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Time since the call started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns true once, with the first part that arrives [`STEADY_TIME`] after the first one or
    /// later.
    pub(crate) fn becomes_steady(&mut self) -> bool {
        let writing = |at: Instant| at.elapsed() >= STEADY_TIME;
        let is_steady = self.first_part_at.is_some_and(writing);
        !std::mem::replace(&mut self.is_steady, is_steady) && is_steady
    }

    /// Returns true if parts arrived for [`STEADY_TIME`].
    pub(crate) fn is_steady(&self) -> bool {
        self.is_steady
    }

    /// Records that a part of the response arrived, so `prompt` has been read. Returns true if it
    /// was the first part.
    pub(crate) fn record_first_part(&mut self, prompt: Option<&Prompt>) -> bool {
        if self.first_part_at.is_some() {
            return false;
        }
        let now = Instant::now();
        self.first_part_at = Some(now);
        let took = now.saturating_duration_since(self.started_at).as_secs_f64() * 1e3;
        let mut stats = self.target.stats();
        stats.unread_tokens = stats.unread_tokens.saturating_sub(self.unread_tokens);
        stats.slowness.observe(self.expected_ms, took, now);
        if let Some(prompt) = prompt {
            stats.cache.record_read(prompt.prefixes(), now);
        }
        drop(stats);
        if let Some(zone_call) = &self.zone_call {
            zone_call.record_first_event(took);
        }
        let mut fit = self.pool.fit.lock().unwrap_or_else(PoisonError::into_inner);
        fit.observe(self.queued_tokens, took, now);
        true
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let mut stats = self.target.stats();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if self.first_part_at.is_none() {
            stats.unread_tokens = stats.unread_tokens.saturating_sub(self.unread_tokens);
        }
    }
}
