//! Scoring of candidate endpoints.

use std::time::Duration;

use membership::Endpoint;
use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    call::{CallRequirements, NoEndpoint, Versions},
    config::RouterConfig,
    ewma::decay,
    pool::{Pool, PoolEntry},
    rate_share,
    stats::Stats,
};

/// Half-life of the weight of a load report.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor applied to the score of an endpoint with another model version.
const OTHER_VERSION_FACTOR: f64 = 1.5;
/// Candidates drawn at random, in addition to the one with the largest cached share of the prompt.
const CANDIDATES: usize = 3;
/// Most endpoints for which all are examined instead of drawing at random.
const FULL_SCAN_ENDPOINTS: usize = 8;
/// Random draws before all endpoints are examined.
const MAX_DRAWS: usize = 12;
/// Ratio of a new call's expected wait to the oldest call's wait so far.
const WAIT_SAFETY_FACTOR: f64 = 1.25;
const LATENCY_RATIO_MIN: f64 = 0.25;
const LATENCY_RATIO_MAX: f64 = 16.0;
/// Longest queue, in calls, that a fully cached prompt outweighs.
const MAX_SAVED_CALLS: f64 = 5.0;
/// Cached shares below this are ignored.
const MIN_CACHED_SHARE: f64 = 0.05;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Inputs of one selection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Selection<'a> {
    pub(crate) cfg: &'a RouterConfig,
    /// Gates of this availability zone.
    pub(crate) gates: &'a [String],
    pub(crate) requirements: &'a CallRequirements<'a>,
    pub(crate) versions: Versions,
    pub(crate) hashes: &'a [u64],
    pub(crate) now: Instant,
    /// Mean recent latency of the service in seconds.
    pub(crate) mean_latency: Option<f64>,
}

/// An endpoint that can take the call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'s> {
    pub(crate) entry: &'s PoolEntry,
    /// Estimated share of the prompt that the endpoint has cached.
    pub(crate) cached: f64,
    /// Expected cost of the call; lower is better.
    score: f64,
}

/// Values that decided a pick.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickReasons {
    /// This gate's calls in flight to the endpoint.
    pub in_flight: u32,
    /// Calls of other gates, as last reported by the endpoint.
    pub others: u32,
    /// Age of that report.
    pub others_age: Duration,
    /// Mean recent latency of the endpoint; `None` if unknown.
    pub mean_latency: Option<Duration>,
    /// Ratio of the endpoint's mean latency to that of the service; 1 if unknown.
    pub slowness: f64,
    /// Number of endpoints in the gate's subset.
    pub candidates: usize,
}

impl Candidate<'_> {
    /// Returns the values that decided the pick among `pool`.
    pub(crate) fn reasons(&self, pool: &Pool, now: Instant) -> PickReasons {
        let stats = &self.entry.stats;
        let reported = self.entry.endpoint.live.reported_load(now);
        let (own, all) = (stats.latency.mean(), pool.latency().mean());
        let slowness = own.zip(all.filter(|all| *all > 0.0));
        PickReasons {
            in_flight: stats.in_flight(),
            others: stats.other_calls(reported, now),
            others_age: reported.age,
            mean_latency: own.map(Duration::from_secs_f64),
            slowness: slowness.map_or(1.0, |(own, all)| own / all),
            candidates: pool.entries().len(),
        }
    }

    fn better(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.score < self.score => other,
            _ => self,
        }
    }
}

type Drawn<'s> = [Option<&'s PoolEntry>; CANDIDATES];

/// Reason to exclude an endpoint, in the order of the checks. If all endpoints are excluded, the
/// latest reason is reported.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Exclusion {
    NotReady,
    NotAllowed,
    Evacuated,
    NoModel,
    Paused,
    Limited,
    Tried,
    AtLimit,
}

/// Returns the calls in flight at an endpoint: this gate's own, plus those of other gates as last
/// reported, weighted by the age of the report.
pub(crate) fn load(endpoint: &Endpoint, stats: &Stats, now: Instant) -> f64 {
    let own = stats.in_flight();
    let reported = endpoint.live.reported_load(now);
    let others = f64::from(stats.other_calls(reported, now));
    f64::from(own) + others * decay(reported.age, REPORT_HALF_LIFE)
}

impl Selection<'_> {
    fn exclusion(&self, entry: &PoolEntry) -> Option<Exclusion> {
        let a = &entry.endpoint.announced;
        let is_allowed = self.requirements.azs.is_empty() || self.requirements.azs.contains(&a.az);
        let is_tried = self.requirements.avoid.contains(&a.endpoint);
        match () {
            () if !entry.endpoint.is_ready(self.now) => Some(Exclusion::NotReady),
            () if !is_allowed => Some(Exclusion::NotAllowed),
            () if self.requirements.evacuated_azs.contains(&a.az) => Some(Exclusion::Evacuated),
            () if !self.requirements.are_met_by(a, self.versions) => Some(Exclusion::NoModel),
            () if !entry.stats.remaining_pause(self.now).is_zero() => Some(Exclusion::Paused),
            () if !self.rate_wait(entry).is_zero() => Some(Exclusion::Limited),
            () if is_tried || entry.stats.is_ejected(self.now) => Some(Exclusion::Tried),
            () if entry.stats.in_flight() >= entry.stats.limit() => Some(Exclusion::AtLimit),
            () if self.is_too_slow(entry) => Some(Exclusion::AtLimit),
            () => None,
        }
    }

    /// Returns how long this gate has to wait before it may call an endpoint that names a request
    /// rate; zero for others.
    fn rate_wait(&self, entry: &PoolEntry) -> Duration {
        let Some(limit) = entry.endpoint.live.limit() else {
            return Duration::ZERO;
        };
        let endpoint = &entry.endpoint.announced.endpoint;
        // Gates of other zones have no share.
        let fraction = match entry.is_local {
            true => rate_share::fraction(endpoint, &self.cfg.gate, self.gates),
            false => 0.0,
        };
        let per_second = match fraction > 0.0 {
            true => (limit * fraction).max(f64::MIN_POSITIVE),
            false => 0.0,
        };
        entry.stats.rate_share.wait(per_second, self.now)
    }

    /// Returns true if a call is likely to wait for longer than its remaining time.
    fn is_too_slow(&self, entry: &PoolEntry) -> bool {
        let wait = entry.stats.oldest_wait(self.now);
        self.requirements
            .remaining
            .is_some_and(|remaining| wait.mul_f64(WAIT_SAFETY_FACTOR) > remaining)
    }

    /// Chooses the endpoint of `pool` that gets the call. Endpoints of other availability zones are
    /// considered if the best local one is overloaded or none is available.
    pub(crate) fn choose<'s>(
        &self,
        pool: &'s Pool,
        rng: &mut SmallRng,
    ) -> Result<Candidate<'s>, NoEndpoint> {
        let local = self.best(pool.local(), rng);
        match local {
            Ok(best) if !self.is_overloaded(best.entry) => Ok(best),
            Ok(best) => Ok(best.better(self.best(pool.remote(), rng).ok())),
            Err(local) => {
                let remote = self.best(pool.remote(), rng);
                remote.map_err(|remote| self.no_endpoint(pool, local.max(remote)))
            }
        }
    }

    fn is_overloaded(&self, entry: &PoolEntry) -> bool {
        let limit = f64::from(entry.stats.limit().max(1));
        load(&entry.endpoint, &entry.stats, self.now) / limit >= self.cfg.spillover_threshold
    }

    /// Returns the best of a few candidates among `entries`. If any version is accepted, the same
    /// number of candidates with the required version is considered in addition.
    fn best<'s>(
        &self,
        entries: &'s [PoolEntry],
        rng: &mut SmallRng,
    ) -> Result<Candidate<'s>, Exclusion> {
        let best = self.best_drawn(entries, rng)?;
        if self.versions == Versions::Required {
            return Ok(best);
        }
        let with_required = Selection {
            versions: Versions::Required,
            ..*self
        };
        Ok(best.better(with_required.best_drawn(entries, rng).ok()))
    }

    fn best_drawn<'s>(
        &self,
        entries: &'s [PoolEntry],
        rng: &mut SmallRng,
    ) -> Result<Candidate<'s>, Exclusion> {
        let drawn = self.draw(entries, rng)?;
        let drawn = drawn.iter().flatten().map(|entry| self.candidate(entry));
        let best = drawn.reduce(|best, next| best.better(Some(next)));
        let best = best.ok_or(Exclusion::NotReady)?;
        Ok(best.better(self.best_cached(entries)))
    }

    /// Draws up to [`CANDIDATES`] different endpoints that can take the call, first at random and
    /// then, if that finds too few, from all endpoints.
    fn draw<'s>(
        &self,
        entries: &'s [PoolEntry],
        rng: &mut SmallRng,
    ) -> Result<Drawn<'s>, Exclusion> {
        let mut drawn: Drawn<'s> = [None; CANDIDATES];
        let mut count = 0;
        let attempts = if entries.len() > FULL_SCAN_ENDPOINTS {
            MAX_DRAWS
        } else {
            0
        };
        for _ in 0..attempts {
            let entry = &entries[rng.random_range(0..entries.len())];
            let is_new = !drawn
                .iter()
                .flatten()
                .any(|known| std::ptr::eq(*known, entry));
            if is_new && self.exclusion(entry).is_none() {
                drawn[count] = Some(entry);
                count += 1;
            }
            if count == CANDIDATES {
                return Ok(drawn);
            }
        }
        self.draw_from_all(entries, rng)
    }

    /// Draws by reservoir sampling from all endpoints that can take the call.
    fn draw_from_all<'s>(
        &self,
        entries: &'s [PoolEntry],
        rng: &mut SmallRng,
    ) -> Result<Drawn<'s>, Exclusion> {
        let mut drawn: Drawn<'s> = [None; CANDIDATES];
        let mut seen = 0;
        let mut furthest = Exclusion::NotReady;
        // Starts at a random endpoint, since the first of equal candidates is chosen.
        let start = rng.random_range(0..entries.len().max(1));
        for entry in entries[start..].iter().chain(&entries[..start]) {
            if let Some(exclusion) = self.exclusion(entry) {
                furthest = furthest.max(exclusion);
                continue;
            }
            let at = if seen < CANDIDATES {
                seen
            } else {
                rng.random_range(0..=seen)
            };
            if let Some(slot) = drawn.get_mut(at) {
                *slot = Some(entry);
            }
            seen += 1;
        }
        if seen == 0 { Err(furthest) } else { Ok(drawn) }
    }

    /// Returns the endpoint with the largest cached share of the prompt.
    fn best_cached<'s>(&self, entries: &'s [PoolEntry]) -> Option<Candidate<'s>> {
        if self.hashes.is_empty() {
            return None;
        }
        let cached = entries.iter().map(|entry| (entry, self.cached(entry)));
        let best_cached = cached
            .filter(|(entry, cached)| {
                *cached >= MIN_CACHED_SHARE && self.exclusion(entry).is_none()
            })
            .max_by(|a, b| a.1.total_cmp(&b.1));
        best_cached.map(|(entry, _)| self.candidate(entry))
    }

    fn candidate<'s>(&self, entry: &'s PoolEntry) -> Candidate<'s> {
        let cached = self.cached(entry);
        Candidate {
            entry,
            cached,
            score: self.score(entry, cached),
        }
    }

    fn cached(&self, entry: &PoolEntry) -> f64 {
        match self.hashes.is_empty() {
            true => 0.0,
            false => entry
                .stats
                .lock()
                .affinity
                .cached_share(self.hashes, self.now),
        }
    }

    /// Returns the expected cost of a call to the endpoint; lower is better.
    fn score(&self, entry: &PoolEntry, cached: f64) -> f64 {
        let ratio = match (entry.stats.latency.mean(), self.mean_latency) {
            (Some(latency), Some(mean)) if mean > 0.0 => latency / mean,
            _ => 1.0,
        };
        let ratio = ratio.clamp(LATENCY_RATIO_MIN, LATENCY_RATIO_MAX);
        let distance = if entry.is_local {
            1.0
        } else {
            self.cfg.remote_factor
        };
        let version = match self.versions {
            Versions::Any
                if !self
                    .requirements
                    .are_met_by(&entry.endpoint.announced, Versions::Required) =>
            {
                OTHER_VERSION_FACTOR
            }
            _ => 1.0,
        };
        let slow_start = self.cfg.ejection.slow_start;
        let share = entry.stats.returning_share(self.now, slow_start);
        let saving = self.cfg.affinity.max_saving * cached;
        let load = load(&entry.endpoint, &entry.stats, self.now);
        // The cache saves work for this call, not for the queue ahead of it.
        let saved = saving * (load + 1.0).min(MAX_SAVED_CALLS);
        (load + 1.0 - saved) * ratio * distance * version / share
    }

    fn no_endpoint(&self, pool: &Pool, furthest: Exclusion) -> NoEndpoint {
        match furthest {
            Exclusion::NotReady => NoEndpoint::NoneReady,
            Exclusion::NotAllowed => NoEndpoint::NotAllowed,
            Exclusion::Evacuated => NoEndpoint::Evacuated,
            Exclusion::NoModel => NoEndpoint::NoModel,
            Exclusion::Paused => {
                let remaining = pool
                    .entries()
                    .iter()
                    .map(|e| e.stats.remaining_pause(self.now));
                let retry_after = remaining.filter(|remaining| !remaining.is_zero()).min();
                NoEndpoint::Paused {
                    retry_after: retry_after.unwrap_or_default(),
                }
            }
            Exclusion::Limited => {
                let waits = pool.entries().iter().map(|e| self.rate_wait(e));
                let retry_after = waits.filter(|wait| !wait.is_zero()).min();
                NoEndpoint::Limited {
                    retry_after: retry_after.unwrap_or_default(),
                }
            }
            Exclusion::Tried => NoEndpoint::AllTried,
            Exclusion::AtLimit => {
                let half = self.mean_latency.unwrap_or(0.0).min(60.0) / 2.0;
                let half = Duration::from_secs_f64(half);
                let retry_after = half.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                NoEndpoint::Busy { retry_after }
            }
        }
    }
}
