//! Which of a few candidates gets a call.

use std::time::Duration;

use membership::Endpoint;
use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    config::RouterConfig,
    ewma::decay,
    need::{Need, NoEndpoint, Versions},
    pool::{Pool, Slot},
    stats::Stats,
};

/// Time over which a load report loses half of its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// By how much an endpoint with another version must be better.
const OTHER_VERSION_FACTOR: f64 = 1.5;
/// Candidates drawn at random, besides the one that holds most of the prompt.
const CANDIDATES: usize = 3;
/// Up to so many endpoints are all looked at.
const FULL_SCAN: usize = 8;
/// Random draws before all endpoints are looked at.
const MAX_DRAWS: usize = 12;
/// A new call waits longer than the oldest one has so far.
const WAIT_MARGIN: f64 = 1.25;
const LATENCY_RATIO_MIN: f64 = 0.25;
const LATENCY_RATIO_MAX: f64 = 16.0;
/// A whole cached prompt outweighs a queue of no more calls than this.
const MOST_SAVED_CALLS: f64 = 5.0;
/// A cached share below this is no reason to prefer an endpoint.
const MIN_AFFINITY: f64 = 0.05;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a choice looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) cfg: &'a RouterConfig,
    pub(crate) need: &'a Need<'a>,
    pub(crate) versions: Versions,
    pub(crate) hashes: &'a [u64],
    pub(crate) now: Instant,
    /// Mean time of the service's recent answers in seconds.
    pub(crate) mean_latency: Option<f64>,
}

/// An endpoint that may get the call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'s> {
    pub(crate) slot: &'s Slot,
    /// The share of the prompt it is thought to have cached.
    pub(crate) cached: f64,
    /// The expected cost of the call there.
    score: f64,
}

/// What decided a choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reasons {
    /// This gate's calls in flight there.
    pub in_flight: u32,
    /// Calls of others there, as the endpoint last reported.
    pub others: u32,
    /// Age of that report.
    pub others_age: Duration,
    /// Mean time of its recent answers.
    pub mean: Option<Duration>,
    /// How many times slower than the service's mean they are.
    pub slowness: f64,
    /// Endpoints of the service.
    pub candidates: usize,
}

impl Candidate<'_> {
    /// What decided the choice among `pool`.
    pub(crate) fn reasons(&self, pool: &Pool, now: Instant) -> Reasons {
        let stats = &self.slot.stats;
        let reported = self.slot.endpoint.live.reported_load(now);
        let (own, all) = (stats.latency.mean(), pool.latency().mean());
        let slowness = own.zip(all.filter(|all| *all > 0.0));
        Reasons {
            in_flight: stats.in_flight(),
            others: stats.others(reported, now),
            others_age: reported.age,
            mean: own.map(Duration::from_secs_f64),
            slowness: slowness.map_or(1.0, |(own, all)| own / all),
            candidates: pool.slots().len(),
        }
    }

    fn better(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.score < self.score => other,
            _ => self,
        }
    }
}

type Drawn<'s> = [Option<&'s Slot>; CANDIDATES];

/// How far an endpoint came that can't take the call; the last of all is the reason given.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Barrier {
    NotReady,
    NotAllowed,
    NoModel,
    Paused,
    Tried,
    AtLimit,
}

/// Calls in flight at an endpoint: our own, and those of others as last reported, aged.
pub(crate) fn load(endpoint: &Endpoint, stats: &Stats, now: Instant) -> f64 {
    let own = stats.in_flight();
    let reported = endpoint.live.reported_load(now);
    let others = f64::from(stats.others(reported, now));
    f64::from(own) + others * decay(reported.age, REPORT_HALF_LIFE)
}

impl View<'_> {
    fn barrier(&self, slot: &Slot) -> Option<Barrier> {
        let a = &slot.endpoint.announced;
        let is_allowed = self.need.azs.is_empty() || self.need.azs.contains(&a.az);
        let is_tried = self.need.avoid.contains(&a.endpoint);
        match () {
            () if !slot.endpoint.is_ready(self.now) => Some(Barrier::NotReady),
            () if !is_allowed => Some(Barrier::NotAllowed),
            () if !self.need.is_met_by(a, self.versions) => Some(Barrier::NoModel),
            () if !slot.stats.pause_left(self.now).is_zero() => Some(Barrier::Paused),
            () if is_tried || slot.stats.is_ejected(self.now) => Some(Barrier::Tried),
            () if slot.stats.in_flight() >= slot.stats.limit() => Some(Barrier::AtLimit),
            () if self.is_too_slow(slot) => Some(Barrier::AtLimit),
            () => None,
        }
    }

    /// Whether a call is likely to wait there for longer than there is time.
    fn is_too_slow(&self, slot: &Slot) -> bool {
        let wait = slot.stats.oldest_wait(self.now);
        self.need
            .left
            .is_some_and(|left| wait.mul_f64(WAIT_MARGIN) > left)
    }

    /// The endpoint of `pool` that gets the call.
    pub(crate) fn choose<'s>(
        &self,
        pool: &'s Pool,
        rng: &mut SmallRng,
    ) -> Result<Candidate<'s>, NoEndpoint> {
        let near = self.best(pool.near(), rng);
        match near {
            Ok(best) if !self.is_overloaded(best.slot) => Ok(best),
            Ok(best) => Ok(best.better(self.best(pool.far(), rng).ok())),
            Err(near) => {
                let far = self.best(pool.far(), rng);
                far.map_err(|far| self.no_endpoint(pool, near.max(far)))
            }
        }
    }

    fn is_overloaded(&self, slot: &Slot) -> bool {
        let limit = f64::from(slot.stats.limit().max(1));
        load(&slot.endpoint, &slot.stats, self.now) / limit >= self.cfg.spill_above
    }

    /// The best of a few candidates among `slots`; where any version will do, of as many that have
    /// the needed one as well.
    fn best<'s>(&self, slots: &'s [Slot], rng: &mut SmallRng) -> Result<Candidate<'s>, Barrier> {
        let best = self.best_drawn(slots, rng)?;
        if self.versions == Versions::Needed {
            return Ok(best);
        }
        let needed = View {
            versions: Versions::Needed,
            ..*self
        };
        Ok(best.better(needed.best_drawn(slots, rng).ok()))
    }

    fn best_drawn<'s>(
        &self,
        slots: &'s [Slot],
        rng: &mut SmallRng,
    ) -> Result<Candidate<'s>, Barrier> {
        let drawn = self.draw(slots, rng)?;
        let drawn = drawn.iter().flatten().map(|slot| self.candidate(slot));
        let best = drawn.reduce(|best, next| best.better(Some(next)));
        let best = best.ok_or(Barrier::NotReady)?;
        Ok(best.better(self.holder(slots)))
    }

    /// Up to [`CANDIDATES`] different endpoints that can take the call: at random where enough
    /// can, else from all of them.
    fn draw<'s>(&self, slots: &'s [Slot], rng: &mut SmallRng) -> Result<Drawn<'s>, Barrier> {
        let mut drawn: Drawn<'s> = [None; CANDIDATES];
        let mut count = 0;
        let attempts = if slots.len() > FULL_SCAN {
            MAX_DRAWS
        } else {
            0
        };
        for _ in 0..attempts {
            let slot = &slots[rng.random_range(0..slots.len())];
            let is_new = !drawn
                .iter()
                .flatten()
                .any(|known| std::ptr::eq(*known, slot));
            if is_new && self.barrier(slot).is_none() {
                drawn[count] = Some(slot);
                count += 1;
            }
            if count == CANDIDATES {
                return Ok(drawn);
            }
        }
        self.draw_from_all(slots, rng)
    }

    /// Reservoir sampling over all endpoints that can take the call.
    fn draw_from_all<'s>(
        &self,
        slots: &'s [Slot],
        rng: &mut SmallRng,
    ) -> Result<Drawn<'s>, Barrier> {
        let mut drawn: Drawn<'s> = [None; CANDIDATES];
        let mut seen = 0;
        let mut furthest = Barrier::NotReady;
        // A random start, since the first of equals gets the call.
        let start = rng.random_range(0..slots.len().max(1));
        for slot in slots[start..].iter().chain(&slots[..start]) {
            if let Some(barrier) = self.barrier(slot) {
                furthest = furthest.max(barrier);
                continue;
            }
            let at = if seen < CANDIDATES {
                seen
            } else {
                rng.random_range(0..=seen)
            };
            if let Some(place) = drawn.get_mut(at) {
                *place = Some(slot);
            }
            seen += 1;
        }
        if seen == 0 { Err(furthest) } else { Ok(drawn) }
    }

    /// The endpoint that holds most of the prompt.
    fn holder<'s>(&self, slots: &'s [Slot]) -> Option<Candidate<'s>> {
        if self.hashes.is_empty() {
            return None;
        }
        let cached = slots.iter().map(|slot| (slot, self.cached(slot)));
        let holder = cached
            .filter(|(slot, cached)| *cached >= MIN_AFFINITY && self.barrier(slot).is_none())
            .max_by(|a, b| a.1.total_cmp(&b.1));
        holder.map(|(slot, _)| self.candidate(slot))
    }

    fn candidate<'s>(&self, slot: &'s Slot) -> Candidate<'s> {
        let cached = self.cached(slot);
        Candidate {
            slot,
            cached,
            score: self.score(slot, cached),
        }
    }

    fn cached(&self, slot: &Slot) -> f64 {
        match self.hashes.is_empty() {
            true => 0.0,
            false => slot.stats.lock().affinity.share(self.hashes, self.now),
        }
    }

    /// The expected cost of a call there; lower is better.
    fn score(&self, slot: &Slot, cached: f64) -> f64 {
        let ratio = match (slot.stats.latency.mean(), self.mean_latency) {
            (Some(latency), Some(mean)) if mean > 0.0 => latency / mean,
            _ => 1.0,
        };
        let ratio = ratio.clamp(LATENCY_RATIO_MIN, LATENCY_RATIO_MAX);
        let distance = if slot.is_near {
            1.0
        } else {
            self.cfg.remote_factor
        };
        let version = match self.versions {
            Versions::Any
                if !self
                    .need
                    .is_met_by(&slot.endpoint.announced, Versions::Needed) =>
            {
                OTHER_VERSION_FACTOR
            }
            _ => 1.0,
        };
        let slow_return = self.cfg.ejection.slow_return;
        let share = slot.stats.returning_share(self.now, slow_return);
        let saving = self.cfg.affinity.max_saving * cached;
        let load = load(&slot.endpoint, &slot.stats, self.now);
        // What is cached saves work of this call, not of the queue before it.
        let saved = saving * (load + 1.0).min(MOST_SAVED_CALLS);
        (load + 1.0 - saved) * ratio * distance * version / share
    }

    fn no_endpoint(&self, pool: &Pool, furthest: Barrier) -> NoEndpoint {
        match furthest {
            Barrier::NotReady => NoEndpoint::NoneReady,
            Barrier::NotAllowed => NoEndpoint::NotAllowed,
            Barrier::NoModel => NoEndpoint::NoModel,
            Barrier::Paused => {
                let left = pool.slots().iter().map(|s| s.stats.pause_left(self.now));
                let retry_after = left.filter(|left| !left.is_zero()).min();
                NoEndpoint::Paused {
                    retry_after: retry_after.unwrap_or_default(),
                }
            }
            Barrier::Tried => NoEndpoint::AllTried,
            Barrier::AtLimit => {
                let half = self.mean_latency.unwrap_or(0.0).min(60.0) / 2.0;
                let half = Duration::from_secs_f64(half);
                let retry_after = half.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                NoEndpoint::Busy { retry_after }
            }
        }
    }
}
