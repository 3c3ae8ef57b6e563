//! Picks an endpoint for each call.

use std::{
    collections::HashMap,
    sync::{
        Arc, RwLock,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use derives::record;
use logs::Event;
use membership::{Endpoint, ObservedRate, RateReport, Table};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    affinity::block_hashes,
    call::{CacheEvents, CallOutcome, CallRequirements, NoEndpoint, Observation, Versions},
    config::RouterConfig,
    pending::PendingCall,
    pool::{Pool, PoolEntry},
    score::{PickReasons, Selection},
};

/// A call cancelled after more than this many times the endpoint's mean latency counts as slow.
const SLOW_CANCEL_FACTOR: f64 = 2.0;
/// Attempts before a pick fails because concurrent picks take the last capacity.
const MAX_ATTEMPTS: usize = 8;

/// Picks endpoints for calls. Clones share state.
#[derive(Clone, Debug)]
pub struct Router {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: RouterConfig,
    seed: u64,
    table: Table,
    start: Instant,
    picks: AtomicU64,
    ejections: AtomicU64,
    pools: RwLock<HashMap<String, Arc<Pool>>>,
}

/// Statistics of an endpoint from this gate's own calls.
#[record]
pub struct EndpointStats {
    /// Name of the endpoint.
    pub endpoint: String,
    /// This gate's calls in flight.
    pub in_flight: u32,
    /// This gate's limit of calls in flight.
    pub limit: u32,
    /// True if the endpoint is ejected.
    pub is_ejected: bool,
    /// Mean recent latency in milliseconds.
    pub latency_ms: Option<f64>,
}

impl Router {
    /// Creates a router over the endpoints in `table`.
    pub fn new(cfg: RouterConfig, table: Table) -> Self {
        let shared = Shared {
            // With the same random draws, all gates would choose the same endpoints.
            seed: xxh3_64_with_seed(cfg.gate.as_bytes(), cfg.seed),
            cfg,
            table,
            start: Instant::now(),
            picks: AtomicU64::new(0),
            ejections: AtomicU64::new(0),
            pools: RwLock::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &RouterConfig {
        &self.shared.cfg
    }

    /// Picks an endpoint and counts the call as in flight there.
    pub fn pick(&self, requirements: &CallRequirements<'_>) -> Result<Pick, NoEndpoint> {
        self.pick_with(requirements, Versions::Required)
    }

    /// Like [`pick`](Self::pick), but also accepts other versions of the required model if they are
    /// clearly better, since few endpoints have the new version during a rollout.
    pub fn pick_in_rollout(&self, requirements: &CallRequirements<'_>) -> Result<Pick, NoEndpoint> {
        self.pick_with(requirements, Versions::Any)
    }

    fn pick_with(
        &self,
        requirements: &CallRequirements<'_>,
        versions: Versions,
    ) -> Result<Pick, NoEndpoint> {
        let pool = self
            .pool(requirements.service)
            .ok_or(NoEndpoint::NoneReady)?;
        let hashes = requirements.prompt.map(block_hashes).unwrap_or_default();
        let selection = Selection {
            cfg: &self.shared.cfg,
            gates: pool.gates(),
            requirements,
            versions,
            hashes: &hashes,
            now: Instant::now(),
            mean_latency: pool.latency().mean(),
        };
        let pick_number = self.shared.picks.fetch_add(1, Relaxed);
        let mut rng = SmallRng::seed_from_u64(self.shared.seed ^ pick_number);
        for _ in 0..MAX_ATTEMPTS {
            let chosen = selection.choose(&pool, &mut rng)?;
            if chosen.entry.try_acquire() {
                return Ok(Pick {
                    reasons: chosen.reasons(&pool, selection.now),
                    cached: chosen.cached,
                    pending_call: chosen.entry.stats.begin_wait(selection.now),
                    entry: chosen.entry.clone(),
                    router: self.clone(),
                    started_at: selection.now,
                    hashes,
                    is_finished: false,
                });
            }
        }
        Err(NoEndpoint::Busy {
            retry_after: Duration::from_millis(10),
        })
    }

    /// Applies cache events published by an engine.
    pub fn cache_events(&self, events: CacheEvents) {
        let now = Instant::now();
        let pools = self.shared.pools.read();
        let pools = pools.expect("no holder of this lock panics");
        let is_target = |entry: &&PoolEntry| {
            let a = &entry.endpoint.announced;
            a.endpoint == events.endpoint && a.incarnation == events.incarnation
        };
        for entry in pools
            .values()
            .flat_map(|pool| pool.entries())
            .filter(is_target)
        {
            let mut inner = entry.stats.lock();
            inner
                .affinity
                .apply_events(events.seq, &events.stored, &events.removed, now);
        }
    }

    /// Returns the statistics of the endpoints of `service` in this gate's subset.
    pub fn stats(&self, service: &str) -> Vec<EndpointStats> {
        let now = Instant::now();
        let Some(pool) = self.pool(service) else {
            return Vec::new();
        };
        let stats = pool.entries().iter().map(|entry| EndpointStats {
            endpoint: entry.endpoint.announced.endpoint.clone(),
            in_flight: entry.stats.in_flight(),
            limit: entry.stats.limit(),
            is_ejected: entry.stats.is_ejected(now),
            latency_ms: entry.stats.latency.mean().map(|s| s * 1e3),
        });
        stats.collect()
    }

    /// Returns the number of ejections since the router was created.
    pub fn ejections(&self) -> u64 {
        self.shared.ejections.load(Relaxed)
    }

    /// Returns the pool of `service`, rebuilt if the table has changed.
    fn pool(&self, service: &str) -> Option<Arc<Pool>> {
        let table = &self.shared.table;
        let snapshot = table.service(service)?;
        let foreign_count = table.foreign_count();
        let is_current = |pool: &&Arc<Pool>| {
            pool.version >= snapshot.version && pool.foreign_gate_count >= foreign_count
        };
        let pools = self.shared.pools.read();
        let pools = pools.expect("no holder of this lock panics");
        if let Some(pool) = pools.get(service).filter(is_current) {
            return Some(Arc::clone(pool));
        }
        drop(pools);
        let pools = self.shared.pools.write();
        let mut pools = pools.expect("no holder of this lock panics");
        let old = pools.get(service).cloned();
        if let Some(pool) = old.as_ref().filter(is_current) {
            return Some(Arc::clone(pool));
        }
        let shared = &self.shared;
        let foreign_gates = table.foreign_gates();
        let pool = Pool::new(
            &shared.cfg,
            shared.start,
            &snapshot,
            &foreign_gates,
            old.as_deref(),
        );
        let pool = Arc::new(pool);
        pools.insert(service.to_owned(), Arc::clone(&pool));
        Some(pool)
    }

    fn finish(&self, pick: &Pick, observation: &Observation) {
        let now = Instant::now();
        let stats = &pick.entry.stats;
        let service = &pick.entry.endpoint.announced.service;
        let pool = self.pool(service);
        learn_latency(pick, observation, pool.as_deref(), now);
        let is_failure = matches!(
            observation.outcome,
            CallOutcome::Failed | CallOutcome::Stalled
        );
        let counts_for_health = !matches!(
            observation.outcome,
            CallOutcome::Cancelled | CallOutcome::Refused
        );
        let in_flight = stats.in_flight();
        let mut inner = stats.lock();
        let is_outlier = counts_for_health && inner.health.observe(is_failure, now);
        let is_back =
            observation.outcome == CallOutcome::Answered && inner.health.record_recovery();
        match observation.outcome {
            CallOutcome::Answered => {
                inner.limit.record_response(observation.elapsed, in_flight);
                inner.affinity.insert(&pick.hashes, now);
            }
            CallOutcome::Stalled | CallOutcome::Refused => inner.limit.back_off(),
            CallOutcome::Failed | CallOutcome::Cancelled => {}
        }
        if let Some(usage) = observation.cache_usage {
            inner
                .affinity
                .adjust_trust(&pick.hashes, pick.cached, usage);
        }
        stats.publish(&inner);
        drop(inner);
        if let Some(load) = &observation.load {
            let calls = load.running.saturating_add(load.queued);
            pick.entry.endpoint.live.report(calls, now);
        }
        if is_back {
            logs::write(None, &endpoint_back(&pick.entry.endpoint));
        }
        let ejected = pool.filter(|_| is_outlier);
        if let Some(ejected) = ejected.and_then(|pool| pool.try_eject(&pick.entry, now)) {
            self.shared.ejections.fetch_add(1, Relaxed);
            logs::write(None, &ejected);
        }
    }
}

fn endpoint_back(endpoint: &Endpoint) -> Event {
    let announced = &endpoint.announced;
    Event::EndpointBack {
        endpoint: announced.endpoint.clone(),
        service: announced.service.clone(),
    }
}

/// Updates mean latencies. A call cancelled after a long time counts, since the endpoint takes at
/// least that long.
fn learn_latency(pick: &Pick, observation: &Observation, pool: Option<&Pool>, now: Instant) {
    let latency = &pick.entry.stats.latency;
    let mean = latency.mean().unwrap_or(0.0);
    match observation.outcome {
        CallOutcome::Answered | CallOutcome::Stalled => {
            latency.add(observation.elapsed, now);
            if let Some(pool) = pool {
                pool.latency().add(observation.elapsed, now);
            }
        }
        CallOutcome::Cancelled if observation.elapsed.as_secs_f64() > SLOW_CANCEL_FACTOR * mean => {
            latency.add(observation.elapsed, now);
        }
        _ => {}
    }
}

/// An endpoint picked for a call. The call counts as in flight until this is dropped.
#[derive(Debug)]
pub struct Pick {
    router: Router,
    entry: PoolEntry,
    hashes: Vec<u64>,
    cached: f64,
    reasons: PickReasons,
    started_at: Instant,
    pending_call: PendingCall,
    is_finished: bool,
}

impl Pick {
    /// Returns the endpoint.
    pub fn endpoint(&self) -> &Endpoint {
        &self.entry.endpoint
    }

    /// Records that the endpoint reported in a response that it is leaving.
    pub fn note_leaving(&self) {
        let a = &self.entry.endpoint.announced;
        let table = &self.router.shared.table;
        table.note_leaving(&a.endpoint, a.incarnation);
    }

    /// Records the request rate that a response to this call named; `None` for a success that names
    /// no limit.
    pub fn record_rate(&self, per_second: Option<f64>) {
        let live = &self.entry.endpoint.live;
        let (now, a) = (Instant::now(), &self.entry.endpoint.announced);
        let observed_at = match per_second {
            Some(_) => now,
            // The limit may have been named while the call was under way.
            None if live.limit().is_some() => self.started_at,
            None => return,
        };
        let observed = ObservedRate {
            per_second,
            observed_at,
        };
        self.router.shared.table.report_rate(RateReport {
            endpoint: a.endpoint.clone(),
            service: a.service.clone(),
            incarnation: a.incarnation,
            source: self.router.shared.cfg.gate.clone(),
            rate: observed.report(now),
        });
    }

    /// Stops calls to the endpoint for `pause`, at its request.
    pub fn pause(&self, pause: Duration) {
        self.entry.stats.pause(pause, Instant::now());
    }

    /// Returns the endpoint's name.
    pub fn name(&self) -> &str {
        &self.entry.endpoint.announced.endpoint
    }

    /// Returns the endpoint's URL, `http://IP:PORT`.
    pub fn address(&self) -> &str {
        &self.entry.endpoint.announced.address
    }

    /// Returns the estimated share of the prompt that the endpoint has cached, from 0 to 1.
    pub fn cached_share(&self) -> f64 {
        self.cached
    }

    /// Returns the values that decided the pick.
    pub fn reasons(&self) -> &PickReasons {
        &self.reasons
    }

    /// Records that the first byte of the response arrived.
    pub fn record_first_byte(&self) {
        self.entry
            .stats
            .record_first_byte(self.pending_call, Instant::now());
    }

    /// Returns true if the endpoint answered any of this gate's calls after this one started. If
    /// not, the connection may have gone silent.
    pub fn has_answered_others(&self) -> bool {
        self.entry.stats.has_answered_since(self.pending_call)
    }

    /// Returns how long the oldest queued call of this gate to the endpoint has waited for the first
    /// byte of its response.
    pub fn oldest_wait(&self) -> Duration {
        self.entry.stats.oldest_wait(Instant::now())
    }

    /// Ends the call and updates the statistics. Dropping the pick instead counts as cancelled.
    pub fn finish(mut self, observation: Observation) {
        self.is_finished = true;
        self.router.finish(&self, &observation);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        if !self.is_finished {
            let observation = Observation::new(CallOutcome::Cancelled, self.started_at.elapsed());
            self.router.finish(self, &observation);
        }
        self.entry.stats.end_wait(self.pending_call);
        self.entry.stats.release();
    }
}
