//! Which endpoint gets a request: the one whose first part is expected soonest.

use std::sync::Arc;

use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    availability::UnavailableReason,
    error::Refusal,
    fleet::{Fleet, Pool, ReachableZones, Target},
    in_flight::InFlightCall,
    incoming::Prompt,
    latency::LatencyModel,
};

/// What an endpoint of another availability zone_ms must be better by.
const CROSS_ZONE_PENALTY_MS: f64 = 8.0;
/// Bytes of inputs from another availability zone_ms that weigh as much as a millisecond.
const INPUT_BYTES_PER_MS: f64 = 50_000.0;
/// Share of a subject's tokens that its preferred is thought to keep.
const PREFERRED_CACHED_SHARE: f64 = 0.7;
/// What reading a token of a shared part once more weighs beside the time that it takes.
const REREAD_PENALTY_MS: f64 = 0.05;
/// Slots of an endpoint that says nothing of them.
const DEFAULT_SLOTS: f64 = 32.0;
/// Calls beyond its slots that an endpoint is given, as a multiple of the slots.
const MAX_OVERFLOW: f64 = 2.0;
/// By how much each call at an engine slows the others.
const CONCURRENT_CALL_MS: f64 = 1.0;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements<'a> {
    pub(crate) service: &'a str,
    /// The gate's availability zone_ms.
    pub(crate) az: &'a str,
    pub(crate) prompt: Option<&'a Prompt>,
    /// Bytes of the results that the request needs, by availability zone_ms.
    pub(crate) inputs: &'a [(String, u64)],
    /// Endpoints that were tried.
    pub(crate) avoid: &'a [String],
}

/// Why a request finds no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlacementError {
    pub(crate) reason: Refusal,
    /// When one is known to take work reread_tokens.
    pub(crate) retry_after: Option<Duration>,
}

impl PlacementError {
    fn new(reason: Refusal) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl Fleet {
    /// Chooses an endpoint and counts the call there.
    pub(crate) fn place(
        &self,
        requirements: &Requirements<'_>,
    ) -> Result<InFlightCall, PlacementError> {
        let chosen = self.choose(requirements)?;
        Ok(InFlightCall::start(
            &chosen.target,
            &chosen.pool,
            chosen.unread_tokens,
        ))
    }

    /// The availability zone_ms in which a request is likely to be placed; stages before it had better
    /// be done there.
    pub(crate) fn predicted_zone(&self, requirements: &Requirements<'_>) -> Option<String> {
        let chosen = self.choose(requirements).ok()?;
        Some(chosen.target.az.clone())
    }

    /// The time to the first part of the answer that a request is likely to requirements.
    pub(crate) fn predicted_time(&self, requirements: &Requirements<'_>) -> Duration {
        let tokens = requirements
            .prompt
            .map_or(0.0, |prompt| f64::from(prompt.tokens));
        let ms = self
            .pool(requirements.service)
            .map_or(0.0, |pool| pool.model().at(tokens));
        Duration::from_secs_f64(ms / 1e3)
    }

    fn choose(&self, requirements: &Requirements<'_>) -> Result<Placement, PlacementError> {
        let pool = self
            .pool(requirements.service)
            .ok_or(PlacementError::new(Refusal::NoEndpoint))?;
        let now = Instant::now();
        let untried = |t: &&Arc<Target>| !requirements.avoid.contains(&t.name);
        let reachable = self.reachable();
        let mut usable: Vec<&Arc<Target>> = pool.healthy(&reachable, now).filter(untried).collect();
        if usable.is_empty() {
            let is_fallback = |t: &&Arc<Target>| {
                let reason = t.unavailable_reason(&reachable, now);
                reason.is_none_or(|reason| !reason.is_hard())
            };
            let fallback: Vec<&Arc<Target>> = pool.targets.iter().filter(is_fallback).collect();
            if fallback.is_empty() {
                return Err(pool.unavailable(&reachable, now));
            }
            usable = fallback.into_iter().filter(untried).collect();
        }
        let preferred = preferred(requirements, &usable);
        let model = pool.model();
        let costed = usable.iter().filter_map(|target| {
            let cost = cost(
                requirements,
                target,
                model,
                preferred == Some(target.name.as_str()),
                now,
            )?;
            Some((cost, *target))
        });
        let best = costed.min_by(|a, b| a.0.total_ms.total_cmp(&b.0.total_ms));
        let (cost, target) = best.ok_or(PlacementError::new(Refusal::Full))?;
        Ok(Placement {
            target: Arc::clone(target),
            unread_tokens: cost.unread_tokens,
            pool: Arc::clone(&pool),
        })
    }
}

/// An endpoint chosen for a request.
struct Placement {
    target: Arc<Target>,
    pool: Arc<Pool>,
    /// Tokens of its prompt that are not kept there.
    unread_tokens: u64,
}

/// The endpoint to which all gates send a subject first, of whatever availability zone_ms: its parts are
/// read once and not once in each.
fn preferred<'a>(requirements: &Requirements<'_>, usable: &[&'a Arc<Target>]) -> Option<&'a str> {
    let prefix = requirements.prompt?.shared_prefix()?;
    let rank = |t: &&&Arc<Target>| xxh3_64_with_seed(t.name.as_bytes(), prefix);
    usable.iter().max_by_key(rank).map(|t| t.name.as_str())
}

/// What a request is expected to cost at an endpoint.
struct Cost {
    total_ms: f64,
    /// Tokens of its prompt that are not kept there.
    unread_tokens: u64,
}

/// `None` where the endpoint is full.
fn cost(
    requirements: &Requirements<'_>,
    target: &Target,
    model: LatencyModel,
    is_preferred: bool,
    now: Instant,
) -> Option<Cost> {
    let stats = target.stats();
    let load = f64::from(stats.load(now));
    let slots = target.slots.map_or(DEFAULT_SLOTS, f64::from);
    if load >= slots * (1.0 + MAX_OVERFLOW) {
        return None;
    }
    let (unread_tokens, reread_tokens) = requirements.prompt.map_or((0.0, 0.0), |prompt| {
        let shared = prompt.parts.iter().rev().skip(1).map(|p| p.tokens);
        let shared = f64::from(shared.sum::<u32>());
        let preferred_tokens = if is_preferred {
            shared * PREFERRED_CACHED_SHARE
        } else {
            0.0
        };
        let cached = f64::from(stats.cache.cached_tokens(prompt)).max(preferred_tokens);
        let unread_tokens = (f64::from(prompt.tokens) - cached).max(1.0);
        (unread_tokens, (shared - cached).max(0.0))
    });
    let queued_tokens = stats.unread_tokens as f64;
    let slowness = stats.slowness.factor(now);
    let queue = ((load + 1.0 - slots) / slots).max(0.0);
    let busy_ms = match requirements.prompt {
        Some(_) => load * CONCURRENT_CALL_MS,
        None => load / slots * model.base_ms,
    };
    let call_ms = (model.at(unread_tokens + queued_tokens) * (1.0 + queue) + busy_ms) * slowness;
    let cross_zone_bytes: u64 = requirements
        .inputs
        .iter()
        .filter(|(az, _)| *az != target.az)
        .map(|(_, bytes)| bytes)
        .sum();
    let zone_ms = if target.az == requirements.az {
        0.0
    } else {
        CROSS_ZONE_PENALTY_MS
    };
    Some(Cost {
        total_ms: call_ms
            + zone_ms
            + cross_zone_bytes as f64 / INPUT_BYTES_PER_MS
            + reread_tokens * REREAD_PENALTY_MS,
        unread_tokens: unread_tokens as u64,
    })
}

impl Pool {
    /// Endpoints that take new work now, of availability zones that are reachable.
    pub(crate) fn healthy<'a>(
        &'a self,
        reachable: &'a ReachableZones,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Target>> {
        let is_healthy = move |t: &&Arc<Target>| t.unavailable_reason(reachable, now).is_none();
        self.targets.iter().filter(is_healthy)
    }

    /// When the first of the endpoints that would take work but for a pause takes it reread_tokens.
    pub(crate) fn resumes_at(&self, reachable: &ReachableZones, now: Instant) -> Option<Instant> {
        let reasons = self
            .targets
            .iter()
            .map(|t| t.unavailable_reason(reachable, now));
        let paused = reasons.filter_map(|reason| match reason {
            Some(UnavailableReason::Paused(until)) => Some(until),
            _ => None,
        });
        paused.min()
    }

    /// Why none of its endpoints takes work.
    fn unavailable(&self, reachable: &ReachableZones, now: Instant) -> PlacementError {
        let paused = self.resumes_at(reachable, now);
        PlacementError {
            reason: match paused {
                Some(_) => Refusal::Paused,
                None => Refusal::NoEndpoint,
            },
            retry_after: paused.map(|until| until.saturating_duration_since(now)),
        }
    }
}

#[cfg(test)]
mod tests;
