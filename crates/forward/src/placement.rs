//! Chooses the endpoint that is expected to send the first part of its response soonest.

use std::sync::Arc;

use call_permits::CallPermission;
use routing::{LatencyModel, PrefillCandidate, PrefillConfig};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    availability::UnavailableReason,
    error::Refusal,
    fleet::{Fleet, Pool, ReachableZones, Target},
    in_flight::InFlightCall,
    long_prompts::LongPrompts,
    requirements::Requirements,
};

/// Penalty of an endpoint in another availability zone.
const CROSS_ZONE_PENALTY_MS: f64 = 8.0;
/// Bytes of inputs from another availability zone that cost as much as one millisecond.
const INPUT_BYTES_PER_MS: f64 = 50_000.0;
/// Fraction of a shared prefix that its preferred endpoint is assumed to have cached.
const PREFERRED_CACHED_SHARE: f64 = 0.7;
/// Penalty per token of a shared part that must be read again, in addition to the reading time.
const REREAD_PENALTY_MS: f64 = 0.05;
/// Slots of an endpoint that declares none.
const DEFAULT_SLOTS: f64 = 32.0;
/// Maximum number of calls beyond the slots of an endpoint, as a multiple of the slots.
const MAX_OVERFLOW: f64 = 2.0;
/// Slowdown of an engine per concurrent call.
const CONCURRENT_CALL_MS: f64 = 1.0;
/// Retry time of a request whose endpoints are all in evacuated zones, whose end is not known. Gates
/// learn of it within 1.3 s.
pub(crate) const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of choosing an endpoint.
#[derive(Debug)]
pub(crate) enum PlacedCall {
    /// The call may be sent.
    Ready(InFlightCall),
    /// A permit has to be requested for this endpoint, which names a request rate.
    NeedsPermit(Arc<Target>),
}

/// Why no endpoint was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlacementError {
    pub(crate) reason: Refusal,
    /// When an endpoint is known to take work again.
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
    /// Chooses an endpoint and counts the call there, unless the call needs a permit first.
    pub(crate) fn place(
        &self,
        requirements: &Requirements<'_>,
    ) -> Result<PlacedCall, PlacementError> {
        loop {
            let chosen = self.choose(requirements)?;
            match chosen.target.try_take_permit(Instant::now()) {
                CallPermission::Granted => {
                    return Ok(PlacedCall::Ready(InFlightCall::start(
                        &chosen.target,
                        &chosen.pool,
                        chosen.unread_tokens,
                    )));
                }
                CallPermission::Needed => return Ok(PlacedCall::NeedsPermit(chosen.target)),
                // Refused to another call in the meantime.
                CallPermission::Refused(_) => {}
            }
        }
    }

    /// Counts a call at an endpoint that another gate chose, unless the call needs a permit first.
    /// `None` if the endpoint does not take it.
    pub(crate) fn place_at(
        &self,
        requirements: &Requirements<'_>,
        endpoint: &str,
        unread_tokens: u64,
    ) -> Option<PlacedCall> {
        let pool = self.pool(requirements.service)?;
        let (reachable, now) = (self.reachable(), Instant::now());
        let target = pool.targets.iter().find(|t| t.name == endpoint)?;
        if target.unavailable_reason(&reachable, now).is_some() {
            return None;
        }
        match target.try_take_permit(now) {
            CallPermission::Granted => Some(PlacedCall::Ready(InFlightCall::start(
                target,
                &pool,
                unread_tokens,
            ))),
            CallPermission::Needed => Some(PlacedCall::NeedsPermit(Arc::clone(target))),
            CallPermission::Refused(_) => None,
        }
    }

    /// Returns the endpoints that may take a call, with the time that it takes there in addition.
    pub(crate) fn engines(&self, requirements: &Requirements<'_>) -> Vec<Engine> {
        let Some(pool) = self.pool(requirements.service) else {
            return Vec::new();
        };
        let (reachable, now) = (self.reachable(), Instant::now());
        let untried = |t: &&Arc<Target>| !requirements.avoid.contains(&t.name);
        let engines = pool.healthy(&reachable, now).filter(untried);
        let engines = engines.map(|target| Engine {
            target: Arc::clone(target),
            extra_ms: extra_ms(requirements, target, target.stats().permits.cold_wait(now)),
        });
        engines.collect()
    }

    /// Returns true if an endpoint that was not tried may take the call before `deadline`, since it is
    /// only full, paused or out of permits.
    pub(crate) fn may_place_by(&self, requirements: &Requirements<'_>, deadline: Instant) -> bool {
        let Some(pool) = self.pool(requirements.service) else {
            return false;
        };
        let (reachable, now) = (self.reachable(), Instant::now());
        let untried = |t: &&Arc<Target>| !requirements.avoid.contains(&t.name);
        let mut untried = pool.targets.iter().filter(untried);
        untried.any(|t| match t.unavailable_reason(&reachable, now) {
            None | Some(UnavailableReason::Full(_)) => true,
            Some(UnavailableReason::Paused(until) | UnavailableReason::Limited(until)) => {
                until < deadline
            }
            Some(_) => false,
        })
    }

    /// Returns the availability zone in which a request will probably be placed; its stages should
    /// run there.
    pub(crate) fn predicted_zone(&self, requirements: &Requirements<'_>) -> Option<String> {
        let chosen = self.choose(requirements).ok()?;
        Some(chosen.target.az.clone())
    }

    /// Returns the expected time to the first part of the response.
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
        let best = match (self.long_prompts, requirements.prompt) {
            (LongPrompts::Balance, Some(_)) => balanced(costed.collect()),
            _ => costed.min_by(|a, b| a.0.total_ms.total_cmp(&b.0.total_ms)),
        };
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
    /// Prompt tokens that are not cached there.
    unread_tokens: u64,
}

/// An endpoint that may take a call.
pub(crate) struct Engine {
    pub(crate) target: Arc<Target>,
    /// Time that the call takes in addition, to transfer its inputs or to wait for a permit.
    pub(crate) extra_ms: f64,
}

/// Chooses an endpoint with regard to the delay that the prompt causes to other calls.
fn balanced(mut costed: Vec<(Cost, &Arc<Target>)>) -> Option<(Cost, &Arc<Target>)> {
    let candidates: Vec<PrefillCandidate> = costed.iter().map(|(c, _)| c.candidate()).collect();
    let chosen = PrefillConfig::default().choose(&candidates, rand::random())?;
    Some(costed.swap_remove(chosen))
}

/// Returns the endpoint that all gates prefer for a shared prefix, in whatever availability zone,
/// so that the prefix is read once and not once in each zone.
fn preferred<'a>(requirements: &Requirements<'_>, usable: &[&'a Arc<Target>]) -> Option<&'a str> {
    let prefix = requirements.prompt?.shared_prefix()?;
    let rank = |t: &&&Arc<Target>| xxh3_64_with_seed(t.name.as_bytes(), prefix);
    usable.iter().max_by_key(rank).map(|t| t.name.as_str())
}

/// Expected cost of a request at an endpoint.
struct Cost {
    total_ms: f64,
    /// Prompt tokens that are not cached there.
    unread_tokens: u64,
    /// Tokens of other calls that wait to be read there.
    queued_tokens: f64,
    /// Calls that wait or run there.
    calls: f64,
    ms_per_token: f64,
}

impl Cost {
    fn candidate(&self) -> PrefillCandidate {
        PrefillCandidate {
            own_ms: self.total_ms,
            unread_tokens: self.unread_tokens as f64,
            queued_tokens: self.queued_tokens,
            calls: self.calls,
            ms_per_token: self.ms_per_token,
        }
    }
}

/// Returns the expected cost, or `None` if the endpoint is full.
fn cost(
    requirements: &Requirements<'_>,
    target: &Target,
    model: LatencyModel,
    is_preferred: bool,
    now: Instant,
) -> Option<Cost> {
    let stats = target.stats();
    let load = f64::from(stats.load(now));
    let slots = target.running_slots();
    if load >= slots * (1.0 + MAX_OVERFLOW) {
        return None;
    }
    let (unread_tokens, reread_tokens) = requirements.prompt.map_or((0.0, 0.0), |prompt| {
        let shared = prompt.parts.iter().rev().skip(1).map(|p| p.tokens);
        let shared: f64 = shared.map(f64::from).sum();
        let preferred_tokens = if is_preferred {
            shared * PREFERRED_CACHED_SHARE
        } else {
            0.0
        };
        let cached = (stats.cache.cached_tokens(prompt.prefixes()) as f64).max(preferred_tokens);
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
    let cold_wait = stats.permits.cold_wait(now);
    Some(Cost {
        total_ms: call_ms
            + extra_ms(requirements, target, cold_wait)
            + reread_tokens * REREAD_PENALTY_MS,
        unread_tokens: unread_tokens as u64,
        queued_tokens,
        calls: load,
        ms_per_token: model.slope_ms * slowness,
    })
}

impl Target {
    /// Returns the number of calls that run at the same time at the endpoint.
    pub(crate) fn running_slots(&self) -> f64 {
        self.slots.map_or(DEFAULT_SLOTS, f64::from)
    }
}

/// Returns the time that a call takes because of its inputs, the endpoint's zone and its permits.
fn extra_ms(requirements: &Requirements<'_>, target: &Target, cold_wait: Duration) -> f64 {
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
    zone_ms + cold_wait.as_secs_f64() * 1e3 + cross_zone_bytes as f64 / INPUT_BYTES_PER_MS
}

impl Pool {
    /// Returns the endpoints in reachable zones that take new work.
    pub(crate) fn healthy<'a>(
        &'a self,
        reachable: &'a ReachableZones,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Target>> {
        let is_healthy = move |t: &&Arc<Target>| t.unavailable_reason(reachable, now).is_none();
        self.targets.iter().filter(is_healthy)
    }

    /// Returns the endpoint that is the first to take work again, and when, of those that are
    /// unavailable only because of a requested pause or a used up request rate.
    pub(crate) fn first_to_resume(
        &self,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Option<UnavailableReason> {
        let reasons = self
            .targets
            .iter()
            .filter_map(|t| t.unavailable_reason(reachable, now));
        let resuming = reasons.filter(|reason| {
            matches!(
                reason,
                UnavailableReason::Paused(_) | UnavailableReason::Limited(_)
            )
        });
        resuming.min_by_key(|reason| reason.until())
    }

    /// Returns true if an endpoint takes no work because its zone is evacuated.
    pub(crate) fn is_evacuated(&self, reachable: &ReachableZones, now: Instant) -> bool {
        let mut reasons = self
            .targets
            .iter()
            .map(|t| t.unavailable_reason(reachable, now));
        reasons.any(|reason| reason == Some(UnavailableReason::Evacuated))
    }

    /// Returns why no endpoint of the pool takes work.
    fn unavailable(&self, reachable: &ReachableZones, now: Instant) -> PlacementError {
        let resuming = self.first_to_resume(reachable, now);
        let until = resuming.and_then(UnavailableReason::until);
        let (reason, retry_after) = match resuming {
            Some(UnavailableReason::Paused(_)) => (Refusal::Paused, None),
            Some(_) => (Refusal::Limited, None),
            None if self.is_evacuated(reachable, now) => {
                (Refusal::Evacuated, Some(EVACUATED_RETRY_AFTER))
            }
            None => (Refusal::NoEndpoint, None),
        };
        PlacementError {
            reason,
            retry_after: until
                .map(|until| until.saturating_duration_since(now))
                .or(retry_after),
        }
    }
}

#[cfg(test)]
mod tests;
