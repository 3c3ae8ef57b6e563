//! Which of a few candidates gets a call.

use std::time::Duration;

use membership::Endpoint;
use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    config::RouterConfig,
    ewma::decay,
    need::{Need, NoEndpoint},
    pool::Slot,
    stats::Stats,
};

/// Time over which a load report loses half of its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Candidates drawn at random from one availability zone.
const CANDIDATES: usize = 3;
const LATENCY_RATIO_MIN: f64 = 0.25;
const LATENCY_RATIO_MAX: f64 = 16.0;
/// A cached share below this is no reason to prefer an endpoint.
const MIN_AFFINITY: f64 = 0.05;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a choice looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) cfg: &'a RouterConfig,
    pub(crate) need: &'a Need<'a>,
    pub(crate) hashes: &'a [u64],
    pub(crate) now: Instant,
}

/// The endpoints that can take the call, by availability zone.
#[derive(Debug, Default)]
struct Eligible<'a> {
    near: Vec<&'a Slot>,
    far: Vec<&'a Slot>,
    mean_latency: Option<f64>,
}

/// How far an endpoint came that can't take the call; the last of all is the reason given.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Barrier {
    NotReady,
    NotAllowed,
    NoModel,
    Tried,
    AtLimit,
}

/// Calls in flight at an endpoint: our own, and those of others as last reported, aged.
pub(crate) fn load(endpoint: &Endpoint, stats: &Stats, now: Instant) -> f64 {
    let own = stats.in_flight();
    let reported = endpoint.live.reported(now);
    let others = f64::from(reported.calls.saturating_sub(own));
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
            () if !self.need.is_met_by(a) => Some(Barrier::NoModel),
            () if is_tried || slot.stats.is_ejected(self.now) => Some(Barrier::Tried),
            () if slot.stats.in_flight() >= slot.stats.limit() => Some(Barrier::AtLimit),
            () => None,
        }
    }

    fn eligible<'s>(&self, slots: &'s [Slot]) -> Result<Eligible<'s>, NoEndpoint> {
        let mut eligible = Eligible::default();
        let mut furthest = Barrier::NotReady;
        let (mut sum, mut count) = (0.0, 0.0);
        for slot in slots {
            if let Some(latency) = slot.stats.latency() {
                sum += latency;
                count += 1.0;
            }
            match self.barrier(slot) {
                Some(barrier) => furthest = furthest.max(barrier),
                None if slot.is_near => eligible.near.push(slot),
                None => eligible.far.push(slot),
            }
        }
        eligible.mean_latency = (count > 0.0).then(|| sum / count);
        match eligible.near.is_empty() && eligible.far.is_empty() {
            true => Err(no_endpoint(furthest, eligible.mean_latency)),
            false => Ok(eligible),
        }
    }

    /// The endpoint of `slots` that gets the call, and the share of the prompt it has cached.
    pub(crate) fn choose<'s>(
        &self,
        slots: &'s [Slot],
        rng: &mut SmallRng,
    ) -> Result<(&'s Slot, f64), NoEndpoint> {
        let mut eligible = self.eligible(slots)?;
        let mean = eligible.mean_latency;
        let mut best = self.best(&mut eligible.near, mean, rng);
        let is_overloaded = best.is_none_or(|(slot, ..)| self.is_overloaded(slot));
        if is_overloaded {
            let far = self.best(&mut eligible.far, mean, rng);
            best = [best, far]
                .into_iter()
                .flatten()
                .min_by(|a, b| a.1.total_cmp(&b.1));
        }
        let (slot, _, cached) = best.ok_or(NoEndpoint::NoneReady)?;
        Ok((slot, cached))
    }

    fn is_overloaded(&self, slot: &Slot) -> bool {
        let limit = f64::from(slot.stats.limit().max(1));
        load(&slot.endpoint, &slot.stats, self.now) / limit >= self.cfg.spill_above
    }

    /// The best of a few candidates with its score and the share of the prompt it has cached.
    fn best<'s>(
        &self,
        slots: &mut [&'s Slot],
        mean: Option<f64>,
        rng: &mut SmallRng,
    ) -> Option<(&'s Slot, f64, f64)> {
        let drawn = CANDIDATES.min(slots.len());
        for at in 0..drawn {
            let other = rng.random_range(at..slots.len());
            slots.swap(at, other);
        }
        let holder = self.holder(slots);
        let drawn = slots[..drawn].iter().map(|slot| (*slot, self.cached(slot)));
        let scored = drawn.chain(holder).map(|(slot, cached)| {
            let score = self.score(slot, mean, cached);
            (slot, score, cached)
        });
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The endpoint that holds most of the prompt.
    fn holder<'s>(&self, slots: &[&'s Slot]) -> Option<(&'s Slot, f64)> {
        if self.hashes.is_empty() {
            return None;
        }
        slots
            .iter()
            .map(|slot| (*slot, self.cached(slot)))
            .filter(|(_, cached)| *cached >= MIN_AFFINITY)
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn cached(&self, slot: &Slot) -> f64 {
        match self.hashes.is_empty() {
            true => 0.0,
            false => slot.stats.lock().affinity.share(self.hashes, self.now),
        }
    }

    /// The expected cost of a call there; lower is better.
    fn score(&self, slot: &Slot, mean: Option<f64>, cached: f64) -> f64 {
        let ratio = match (slot.stats.latency(), mean) {
            (Some(latency), Some(mean)) if mean > 0.0 => latency / mean,
            _ => 1.0,
        };
        let ratio = ratio.clamp(LATENCY_RATIO_MIN, LATENCY_RATIO_MAX);
        let distance = if slot.is_near {
            1.0
        } else {
            self.cfg.remote_factor
        };
        let slow_return = self.cfg.ejection.slow_return;
        let share = slot.stats.returning_share(self.now, slow_return);
        let saving = self.cfg.affinity.max_saving * cached;
        let load = load(&slot.endpoint, &slot.stats, self.now);
        (load + 1.0) * ratio * distance * (1.0 - saving) / share
    }
}

fn no_endpoint(furthest: Barrier, mean_latency: Option<f64>) -> NoEndpoint {
    match furthest {
        Barrier::NotReady => NoEndpoint::NoneReady,
        Barrier::NotAllowed => NoEndpoint::NotAllowed,
        Barrier::NoModel => NoEndpoint::NoModel,
        Barrier::Tried => NoEndpoint::AllTried,
        Barrier::AtLimit => {
            let half = Duration::from_secs_f64(mean_latency.unwrap_or(0.0).min(60.0) / 2.0);
            let retry_after = half.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            NoEndpoint::Busy { retry_after }
        }
    }
}
