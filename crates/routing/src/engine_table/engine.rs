//! What the table knows of one engine.

use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use super::PromptCall;
use crate::{
    ewma::decay,
    prefix_cache::{PrefixCache, PrefixPart},
};

/// Memory of an engine that declares none, in tokens.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;
/// Time after which a reported number of calls is outdated.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// Time until a first event is reported.
const REPORT_DELAY_MS: f64 = 50.0;
/// Part of the time beyond the expectation for which a prompt is expected to be read still.
const OVERDUE_SHARE: f64 = 0.5;
/// Half-life of the weight of a reported slowdown.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(250);
/// Half-life of the learnt speed without new observations.
const SPEED_HALF_LIFE: Duration = Duration::from_mins(1);
/// Weight of a new observation of the speed.
const SPEED_SMOOTHING: f64 = 0.1;
/// Maximum factor of one observation, of a learnt speed and of a reported slowdown.
const MAX_FACTOR: f64 = 8.0;

/// A call whose prompt is not read yet.
#[derive(Debug)]
struct Reading {
    gate: String,
    id: u64,
    unread_tokens: f64,
}

#[derive(Debug)]
pub(super) struct Engine {
    incarnation: Uuid,
    memory_tokens: Option<u64>,
    pub(super) cache: PrefixCache,
    /// Open calls of the zone's gates.
    pub(super) calls: u32,
    /// Calls whose prompt is not read yet, in the order of their starts.
    reading: Vec<Reading>,
    /// When the engine began to read the first of them.
    reading_since: Instant,
    /// Maximum number of tokens that open calls generate.
    generated_tokens: u64,
    /// Calls of other zones, and when the engine reported them.
    others: Option<(f64, Instant)>,
    /// The reported slowdown and when it was reported.
    slowdown: Option<(f64, Instant)>,
    /// Natural logarithm of the learnt factor on the usual time, and when it was learnt.
    log_speed: (f64, Instant),
}

impl Engine {
    pub(super) fn new(incarnation: Uuid, memory_tokens: Option<u64>, now: Instant) -> Self {
        Self {
            incarnation,
            memory_tokens,
            cache: PrefixCache::new(memory_tokens.unwrap_or(DEFAULT_MEMORY_TOKENS)),
            calls: 0,
            reading: Vec::new(),
            reading_since: now,
            generated_tokens: 0,
            others: None,
            slowdown: None,
            log_speed: (0.0, now),
        }
    }

    /// Forgets what was learnt if another incarnation of the engine is running, or its memory is
    /// declared anew.
    pub(super) fn set_incarnation(
        &mut self,
        incarnation: Uuid,
        memory_tokens: Option<u64>,
        now: Instant,
    ) {
        if (incarnation, memory_tokens) != (self.incarnation, self.memory_tokens) {
            *self = Self {
                calls: self.calls,
                generated_tokens: self.generated_tokens,
                ..Self::new(incarnation, memory_tokens, now)
            };
        }
    }

    /// Returns the tokens that are still to be read, with `ms_per_token` of reading time. A prompt that
    /// takes longer than expected is expected to take longer still.
    pub(super) fn queued_tokens(&self, ms_per_token: f64, now: Instant) -> f64 {
        let Some(first) = self.reading.first() else {
            return 0.0;
        };
        let queued: f64 = self.reading.iter().map(|r| r.unread_tokens).sum();
        let reading = now.saturating_duration_since(self.reading_since);
        let ms_per_token = (ms_per_token * self.speed(now)).max(1e-6);
        let read = reading.as_secs_f64() * 1e3 / ms_per_token;
        let overdue = read - first.unread_tokens - REPORT_DELAY_MS / ms_per_token;
        let left = (first.unread_tokens - read).max(overdue * OVERDUE_SHARE);
        queued - first.unread_tokens + left.clamp(0.0, first.unread_tokens)
    }

    /// Returns the tokens that open calls keep in memory or may still generate.
    pub(super) fn memory_in_use(&self) -> u64 {
        self.cache.pinned_tokens() + self.generated_tokens
    }

    pub(super) fn start_call(
        &mut self,
        gate: &str,
        call: &PromptCall<'_>,
        unread_tokens: f64,
        now: Instant,
    ) {
        self.calls += 1;
        self.generated_tokens += u64::from(call.max_generated);
        self.cache.pin(call.parts.iter().copied(), now);
        if unread_tokens > 0.0 {
            if self.reading.is_empty() {
                self.reading_since = now;
            }
            self.reading.push(Reading {
                gate: gate.to_owned(),
                id: call.id,
                unread_tokens,
            });
        }
    }

    /// Records that the prompt of a call has been read at `at`. Returns false if it was known.
    pub(super) fn end_reading(&mut self, gate: &str, id: u64, at: Instant) -> bool {
        let is_call = |r: &Reading| r.id == id && r.gate == gate;
        let Some(index) = self.reading.iter().position(is_call) else {
            return false;
        };
        self.reading.remove(index);
        self.reading_since = self.reading_since.max(at);
        true
    }

    pub(super) fn end_call(
        &mut self,
        gate: &str,
        id: u64,
        max_generated: u32,
        parts: &[PrefixPart],
        now: Instant,
    ) {
        self.end_reading(gate, id, now);
        self.calls = self.calls.saturating_sub(1);
        let generated = u64::from(max_generated);
        self.generated_tokens = self.generated_tokens.saturating_sub(generated);
        self.cache.unpin(parts.iter().copied());
    }

    /// Records what the engine reported of its load.
    pub(super) fn record_report(&mut self, calls: Option<u32>, slowdown: Option<f64>, at: Instant) {
        let is_later = |known: Option<Instant>| known.is_none_or(|known| known <= at);
        if let Some(calls) = calls.filter(|_| is_later(self.others.map(|(_, at)| at))) {
            let others = f64::from(calls) - f64::from(self.calls);
            self.others = Some((others.max(0.0), at));
        }
        let slowdown = slowdown.filter(|s| s.is_finite() && *s > 0.0);
        if let Some(slowdown) = slowdown.filter(|_| is_later(self.slowdown.map(|(_, at)| at))) {
            let slowdown = slowdown.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
            self.slowdown = Some((slowdown, at));
        }
    }

    /// Returns the calls of other zones, if the engine reported its calls lately.
    pub(super) fn other_calls(&self, now: Instant) -> Option<f64> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LOAD_REPORT_TTL;
        self.others
            .filter(|(_, at)| is_fresh(*at))
            .map(|(calls, _)| calls)
    }

    /// Returns the reported slowdown, which tends to 1 as the report ages.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        self.slowdown.map_or(1.0, |(slowdown, at)| {
            let age = now.saturating_duration_since(at);
            1.0 + (slowdown - 1.0) * decay(age, SLOWDOWN_HALF_LIFE)
        })
    }

    /// Returns the learnt factor on the usual time.
    pub(super) fn speed(&self, now: Instant) -> f64 {
        let (log_speed, at) = self.log_speed;
        let age = now.saturating_duration_since(at);
        (log_speed * decay(age, SPEED_HALF_LIFE)).exp()
    }

    /// Records the natural logarithm of the factor on the usual time that a call took.
    pub(super) fn observe_speed(&mut self, log_factor: f64, now: Instant) {
        let limit = MAX_FACTOR.ln();
        let seen = log_factor.clamp(-limit, limit);
        let known = self.speed(now).ln();
        self.log_speed = (known + SPEED_SMOOTHING * (seen - known), now);
    }
}
