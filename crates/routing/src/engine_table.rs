//! Chooses engines for the prompts of one availability zone, from the calls of all gates of the zone.
//!
//! The table holds each open call with the tokens that the engine has to read and to keep in memory,
//! and learns from the reported first events how fast each engine is. See
//! `docs/design/zone-placement.md`.

mod engine;

use std::{
    collections::{HashMap, hash_map::Entry},
    time::Duration,
};

use engine::Engine;
use tokio::time::Instant;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    DecayingMean,
    latency_fit::{LatencyFit, LatencyModel},
    prefill::{PrefillCandidate, PrefillConfig},
    prefix_cache::PrefixPart,
};

/// Latency model before any call was observed.
const INITIAL_LATENCY: LatencyModel = LatencyModel {
    base_ms: 60.0,
    slope_ms: 0.02,
};
/// Penalty per token of a shared part that must be read again, in addition to the reading time.
const REREAD_PENALTY_MS: f64 = 0.05;
/// Fraction of a shared prefix that its preferred engine is assumed to have cached.
const PREFERRED_CACHED_SHARE: f64 = 0.9;
/// Slowdown of an engine per concurrent call.
const CONCURRENT_CALL_MS: f64 = 1.0;
/// Maximum number of calls at an engine, as a multiple of its slots.
const MAX_CALLS_PER_SLOT: f64 = 3.0;
/// Duration of a call before any end was observed.
const INITIAL_CALL_MS: f64 = 2_000.0;
/// Half-life of the weight of a call in the mean duration.
const CALL_DURATION_HALF_LIFE: Duration = Duration::from_secs(30);
/// Half-life of the weight of a call in the mean ratio of observed to expected times.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(10);
/// Calls are dropped after this time if their end is not reported.
const MAX_CALL_AGE: Duration = Duration::from_mins(10);
/// Engines without calls are dropped once there are this many times as many as candidates.
const MAX_ENGINES_PER_CANDIDATE: usize = 2;
/// Number of engines up to which none is dropped.
const MIN_ENGINES: usize = 64;

/// An engine that may take a call, as known to the gate that chooses.
#[derive(Clone, Copy, Debug)]
pub struct EngineCandidate<'a> {
    /// Name of the engine.
    pub name: &'a str,
    /// Incarnation of the engine; another one has nothing in its memory.
    pub incarnation: Uuid,
    /// Number of calls that run at the same time.
    pub slots: u32,
    /// Number of tokens that fit into the engine's memory, if declared.
    pub memory_tokens: Option<u64>,
    /// True if the engine is in the availability zone of the table.
    pub is_local: bool,
    /// Time that the call takes in addition, for example to transfer its inputs.
    pub extra_ms: f64,
}

/// What a call with a prompt requires of an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptCall<'a> {
    /// Id of the call, unique for its gate.
    pub id: u64,
    /// Parts of the prompt.
    pub parts: &'a [PrefixPart],
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_generated: u32,
}

impl PromptCall<'_> {
    /// Returns the engine that the coordinators of all zones prefer for the shared prefix, so that it
    /// is read once and not once in each zone.
    fn preferred<'a>(&self, candidates: &[EngineCandidate<'a>]) -> Option<&'a str> {
        let (prefix, _) = self.parts.iter().rev().nth(1)?;
        let rank = |c: &&EngineCandidate<'a>| xxh3_64_with_seed(c.name.as_bytes(), *prefix);
        candidates.iter().max_by_key(rank).map(|c| c.name)
    }

    fn shared_tokens(&self) -> u64 {
        let shared = self.parts.iter().rev().skip(1);
        shared.map(|(_, tokens)| u64::from(*tokens)).sum()
    }
}

/// The engine chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// Index into the candidates.
    pub index: usize,
    /// Expected time to the first event.
    pub expected_ms: f64,
    /// Prompt tokens that the engine has to read.
    pub unread_tokens: u64,
}

/// What a gate reports of a call whose first event arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstEvent {
    /// Time from sending the call to the first event.
    pub took_ms: f64,
    /// Running and waiting calls of all gates that the engine reported.
    pub calls: Option<u32>,
    /// How long work currently takes there, as the engine reported; 1 is usual.
    pub slowdown: Option<f64>,
    /// Time since the first event.
    pub age: Duration,
}

/// Sizes of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Engines.
    pub engines: usize,
    /// Open calls.
    pub calls: usize,
    /// Parts of prompts that engines are expected to have in memory.
    pub parts: usize,
}

#[derive(Debug)]
struct OpenCall {
    engine: String,
    parts: Vec<PrefixPart>,
    max_generated: u32,
    /// Tokens to read at the engine when the call started, including its own.
    queued_tokens: f64,
    /// Calls at the engine when the call started.
    calls: u32,
    /// Reported slowdown that was expected of the engine.
    slowdown: f64,
    started_at: Instant,
}

/// The engines of one service and the open calls of a zone's gates to them.
#[derive(Debug)]
pub struct EngineTable {
    cfg: PrefillConfig,
    engines: HashMap<String, Engine>,
    /// Open calls by gate and id.
    gates: HashMap<String, HashMap<u64, OpenCall>>,
    fit: LatencyFit,
    durations: DecayingMean,
    /// Natural logarithm of the ratio of observed to expected times over all engines.
    log_ratios: DecayingMean,
    pruned_at: Option<Instant>,
}

impl Default for EngineTable {
    fn default() -> Self {
        Self {
            cfg: PrefillConfig::default(),
            engines: HashMap::new(),
            gates: HashMap::new(),
            fit: LatencyFit::new(INITIAL_LATENCY),
            durations: DecayingMean::new(CALL_DURATION_HALF_LIFE),
            log_ratios: DecayingMean::new(RATIO_HALF_LIFE),
            pruned_at: None,
        }
    }
}

/// An engine with its expected cost for a call.
struct Costed {
    index: usize,
    prefill: PrefillCandidate,
    has_memory: bool,
}

/// Means over the engines of the zone, which are expected of engines in other zones without a fresh
/// report.
#[derive(Clone, Copy, Default)]
struct LocalMeans {
    calls: f64,
    queued_tokens: f64,
}

impl EngineTable {
    /// Chooses an engine for a call of `gate` and counts the call there. `draw` is a random number in
    /// `0.0..1.0`. `None` if all engines are full.
    pub fn choose(
        &mut self,
        gate: &str,
        call: &PromptCall<'_>,
        candidates: &[EngineCandidate<'_>],
        draw: f64,
        now: Instant,
    ) -> Option<EngineChoice> {
        self.add_engines(candidates, now);
        let means = self.local_means(candidates, now);
        let costed = |is_local| self.costed(call, candidates, is_local, means, now);
        let (local, remote) = (costed(true), costed(false));
        // A request is never rejected because memory is full.
        let needs_memory = local.iter().chain(&remote).any(|c| c.has_memory);
        let (local, remote) = (
            self.best(local, needs_memory, draw),
            self.best(remote, needs_memory, draw),
        );
        let cost = |c: &Costed| self.cfg.cost(&c.prefill);
        let best = match (local, remote) {
            (Some(local), Some(remote)) if cost(&remote) < cost(&local) => remote,
            (local, remote) => local.or(remote)?,
        };
        let candidate = &candidates[best.index];
        let unread_tokens = best.prefill.unread_tokens;
        self.count_call(gate, call, candidate.name, unread_tokens, now);
        Some(EngineChoice {
            index: best.index,
            expected_ms: best.prefill.own_ms,
            unread_tokens: unread_tokens as u64,
        })
    }

    /// Records a call that `gate` placed at `engine` itself.
    pub fn record_start(
        &mut self,
        gate: &str,
        call: &PromptCall<'_>,
        engine: &str,
        has_first_event: bool,
        now: Instant,
    ) {
        let known = self.gates.get(gate).and_then(|calls| calls.get(&call.id));
        if known.is_some_and(|known| known.engine == engine) {
            return;
        }
        let known_engine = self.engines.entry(engine.to_owned());
        let engine_state = known_engine.or_insert_with(|| Engine::new(Uuid::nil(), None, now));
        let cached = engine_state.cache.cached_tokens(call.parts.iter().copied());
        let unread = match has_first_event {
            true => 0.0,
            false => (f64::from(call.tokens) - cached as f64).max(1.0),
        };
        self.count_call(gate, call, engine, unread, now);
    }

    /// Records the first event of a call.
    pub fn record_first_event(&mut self, gate: &str, id: u64, first: &FirstEvent, now: Instant) {
        let calls = self.gates.get_mut(gate);
        let Some(call) = calls.and_then(|calls| calls.get(&id)) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&call.engine) else {
            return;
        };
        let at = now.checked_sub(first.age).unwrap_or(now);
        if !engine.end_reading(gate, id, at) {
            return;
        }
        engine.record_report(first.calls, first.slowdown, at);
        let speed = engine.speed(now);
        // Until calls were observed, the model does not tell how fast engines usually are.
        if self.fit.is_fitted() {
            let busy_ms = f64::from(call.calls) * CONCURRENT_CALL_MS;
            let usual_ms = self.fit.model().at(call.queued_tokens) + busy_ms;
            let expected_ms = usual_ms * call.slowdown;
            // An error of the model that all engines share is no difference in speed.
            let log_ratio = (first.took_ms.max(1.0) / expected_ms.max(1.0)).ln();
            self.log_ratios.add(log_ratio, now);
            let usual = self.log_ratios.mean().unwrap_or(0.0);
            engine.observe_speed(log_ratio - usual, now);
        }
        let usual_ms = first.took_ms / (speed * call.slowdown);
        self.fit.observe(call.queued_tokens, usual_ms, now);
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, gate: &str, id: u64, now: Instant) {
        let calls = self.gates.get_mut(gate);
        let Some(call) = calls.and_then(|calls| calls.remove(&id)) else {
            return;
        };
        let took = now.saturating_duration_since(call.started_at);
        self.durations.add(took.as_secs_f64() * 1e3, now);
        self.release(gate, id, &call, now);
    }

    /// Drops all calls of a gate, before it lists its open calls or after it has gone.
    pub fn remove_gate(&mut self, gate: &str, now: Instant) {
        for (id, call) in self.gates.remove(gate).into_iter().flatten() {
            self.release(gate, id, &call, now);
        }
    }

    /// Returns true if the table has the calls of `gate`.
    pub fn has_gate(&self, gate: &str) -> bool {
        self.gates.contains_key(gate)
    }

    /// Starts to record the calls of `gate`.
    pub fn add_gate(&mut self, gate: &str) {
        self.gates.entry(gate.to_owned()).or_default();
    }

    /// Drops the gates for which `is_present` returns false.
    pub fn retain_gates(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        let gone: Vec<String> = self
            .gates
            .keys()
            .filter(|gate| !is_present(gate))
            .cloned()
            .collect();
        for gate in gone {
            self.remove_gate(&gate, now);
        }
    }

    /// Returns the sizes of the table.
    pub fn sizes(&self) -> TableSizes {
        TableSizes {
            engines: self.engines.len(),
            calls: self.gates.values().map(HashMap::len).sum(),
            parts: self.engines.values().map(|e| e.cache.len()).sum(),
        }
    }

    fn release(&mut self, gate: &str, id: u64, call: &OpenCall, now: Instant) {
        if let Some(engine) = self.engines.get_mut(&call.engine) {
            engine.end_call(gate, id, call.max_generated, &call.parts, now);
        }
    }

    /// Counts a call at `engine`, in place of one that `gate` was told to place elsewhere.
    fn count_call(
        &mut self,
        gate: &str,
        call: &PromptCall<'_>,
        engine: &str,
        unread_tokens: f64,
        now: Instant,
    ) {
        let replaced = self.gates.get_mut(gate).and_then(|c| c.remove(&call.id));
        if let Some(replaced) = replaced {
            self.release(gate, call.id, &replaced, now);
        }
        let model = self.fit.model();
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let queued_tokens = state.queued_tokens(model.slope_ms, now) + unread_tokens;
        let (calls, slowdown) = (state.calls, state.slowdown(now));
        state.start_call(gate, call, unread_tokens, now);
        let open = OpenCall {
            engine: engine.to_owned(),
            parts: call.parts.to_vec(),
            max_generated: call.max_generated,
            queued_tokens,
            calls,
            slowdown,
            started_at: now,
        };
        let calls = self.gates.entry(gate.to_owned()).or_default();
        calls.insert(call.id, open);
    }

    fn add_engines(&mut self, candidates: &[EngineCandidate<'_>], now: Instant) {
        for candidate in candidates {
            // Avoids a copy of the name.
            if let Some(engine) = self.engines.get_mut(candidate.name) {
                engine.set_incarnation(candidate.incarnation, candidate.memory_tokens, now);
                continue;
            }
            if let Entry::Vacant(entry) = self.engines.entry(candidate.name.to_owned()) {
                let memory = candidate.memory_tokens;
                entry.insert(Engine::new(candidate.incarnation, memory, now));
            }
        }
        let limit = MIN_ENGINES.max(candidates.len() * MAX_ENGINES_PER_CANDIDATE);
        if self.engines.len() > limit {
            let is_candidate = |name: &str| candidates.iter().any(|c| c.name == name);
            self.engines
                .retain(|name, engine| engine.calls > 0 || is_candidate(name));
        }
        if self.pruned_at.is_none_or(|at| now - at > MAX_CALL_AGE) {
            self.pruned_at = Some(now);
            self.drop_old_calls(now);
        }
    }

    fn drop_old_calls(&mut self, now: Instant) {
        let is_old = |call: &OpenCall| now - call.started_at > MAX_CALL_AGE;
        let mut old = Vec::new();
        for (gate, calls) in &self.gates {
            let ids = calls.iter().filter(|(_, call)| is_old(call));
            old.extend(ids.map(|(id, _)| (gate.clone(), *id)));
        }
        for (gate, id) in old {
            self.record_end(&gate, id, now);
        }
    }

    fn local_means(&self, candidates: &[EngineCandidate<'_>], now: Instant) -> LocalMeans {
        let slope_ms = self.fit.model().slope_ms;
        let local = candidates.iter().filter(|c| c.is_local);
        let local = local.filter_map(|c| self.engines.get(c.name));
        let (mut count, mut sums) = (0.0, LocalMeans::default());
        for engine in local {
            count += 1.0;
            sums.calls += f64::from(engine.calls);
            sums.queued_tokens += engine.queued_tokens(slope_ms, now);
        }
        let count = f64::max(count, 1.0);
        LocalMeans {
            calls: sums.calls / count,
            queued_tokens: sums.queued_tokens / count,
        }
    }

    fn costed(
        &self,
        call: &PromptCall<'_>,
        candidates: &[EngineCandidate<'_>],
        is_local: bool,
        means: LocalMeans,
        now: Instant,
    ) -> Vec<Costed> {
        let model = self.fit.model();
        let call_ms = self.durations.mean().unwrap_or(INITIAL_CALL_MS);
        let shared = call.shared_tokens() as f64;
        let preferred = call.preferred(candidates);
        let of_zone = candidates.iter().enumerate();
        let of_zone = of_zone.filter(|(_, candidate)| candidate.is_local == is_local);
        let costed = of_zone.filter_map(|(index, candidate)| {
            let engine = self.engines.get(candidate.name)?;
            let own_calls = f64::from(engine.calls);
            let mut queued_tokens = engine.queued_tokens(model.slope_ms, now);
            let calls = match engine.other_calls(now) {
                Some(others) => own_calls + others,
                None if is_local => own_calls,
                None => {
                    queued_tokens = queued_tokens.max(means.queued_tokens);
                    own_calls.max(means.calls)
                }
            };
            let slots = f64::from(candidate.slots.max(1));
            if calls >= slots * MAX_CALLS_PER_SLOT {
                return None;
            }
            let held = engine.cache.lookup(call.parts.iter().copied());
            let assumed = match preferred == Some(candidate.name) {
                true => shared * PREFERRED_CACHED_SHARE,
                false => 0.0,
            };
            let cached = (held.cached as f64).max(assumed);
            let unread_tokens = (f64::from(call.tokens) - cached).max(1.0);
            let factor = engine.speed(now) * engine.slowdown(now);
            let slot_wait_ms = (calls + 1.0 - slots).max(0.0) * call_ms / slots;
            let read_ms = model.at(unread_tokens + queued_tokens) + calls * CONCURRENT_CALL_MS;
            let reread_ms = (shared - cached).max(0.0) * REREAD_PENALTY_MS;
            let memory = u64::from(call.tokens.saturating_add(call.max_generated));
            let memory = engine.memory_in_use() + memory.saturating_sub(held.pinned);
            Some(Costed {
                index,
                has_memory: candidate.memory_tokens.is_none_or(|limit| memory <= limit),
                prefill: PrefillCandidate {
                    own_ms: read_ms * factor + slot_wait_ms + reread_ms + candidate.extra_ms,
                    unread_tokens,
                    queued_tokens,
                    calls,
                    ms_per_token: model.slope_ms * factor,
                },
            })
        });
        costed.collect()
    }

    /// Returns one of the engines with about the least cost, among those with free memory if
    /// `needs_memory`.
    fn best(&self, mut costed: Vec<Costed>, needs_memory: bool, draw: f64) -> Option<Costed> {
        costed.retain(|c| c.has_memory || !needs_memory);
        let candidates: Vec<PrefillCandidate> = costed.iter().map(|c| c.prefill).collect();
        let chosen = self.cfg.choose(&candidates, draw)?;
        Some(costed.swap_remove(chosen))
    }
}

#[cfg(test)]
mod tests;
