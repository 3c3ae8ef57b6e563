//! The endpoints known to this gate, from the keepers and from its own calls.

mod cold;
mod departures;
mod rates;
mod zones;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use call_permits::{CallPermission, Permits};
use logs::Event;
use membership::{EndpointState, EndpointView, MAX_UNAVAILABLE, Mirror, UnavailableEndpoint};
use routing::{
    EjectionConfig, Health, LatencyFit, LatencyModel, PrefixCache, TableContact, max_ejected,
};
use tokio::{sync::watch, time::Instant};
use uuid::Uuid;
pub use zones::ReachableZones;

use crate::{
    availability::{AvailabilityState, Departure, UnavailableReason},
    latency::Slowness,
    long_prompts::LongPrompts,
};

/// Service under which gates announce themselves; no declared service can have this name.
pub const GATE_SERVICE: &str = "@gates";

/// Maximum fraction of a service's endpoints that may be ejected at once.
const MAX_EJECTED: f64 = 0.4;
/// How long an endpoint is excluded after another one responded at its address.
const MISPLACED_DURATION: Duration = Duration::from_secs(3);
/// How long an endpoint is excluded after it reported that it is full.
const FULL_DURATION: Duration = Duration::from_millis(60);
/// Memory of an engine that declares none, in tokens.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;
/// Latency model before any call was observed.
const INITIAL_LATENCY: LatencyModel = LatencyModel {
    base_ms: 60.0,
    slope_ms: 0.02,
};

fn ejection_config() -> EjectionConfig {
    EjectionConfig {
        consecutive_failures: 3,
        failure_share: 0.3,
        min_calls: 6.0,
        half_life: Duration::from_secs(3),
        base_duration: Duration::from_secs(2),
        max_duration: Duration::from_secs(8),
        slow_start: Duration::from_secs(2),
        max_ejected_share: MAX_EJECTED,
    }
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) az: String,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Uuid,
    pub(crate) slots: Option<u32>,
    stats: Mutex<Stats>,
}

/// What this gate knows about an endpoint from its calls.
#[derive(Debug)]
pub(crate) struct Stats {
    /// State reported by the keepers.
    pub(crate) state: EndpointState,
    /// Calls of this gate in flight.
    pub(crate) in_flight: u32,
    /// Unread prompt tokens of calls whose first part has not arrived.
    pub(crate) unread_tokens: u64,
    /// Calls of other gates, according to the last load report.
    pub(crate) other_calls: u32,
    /// When that report arrived.
    pub(crate) other_calls_at: Option<Instant>,
    pub(crate) slowness: Slowness,
    pub(crate) cache: PrefixCache,
    /// The request rate that the endpoint takes from all gates together.
    pub(crate) permits: Permits,
    health: Health,
    availability: AvailabilityState,
}

/// Time after which a load report is outdated.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);

impl Target {
    pub(crate) fn stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Excludes the endpoint for a while because another one responded at its address.
    pub(crate) fn mark_misplaced(&self) {
        self.stats()
            .availability
            .mark_misplaced(Instant::now() + MISPLACED_DURATION);
        let (endpoint, service) = (self.name.clone(), self.service.clone());
        logs::write(None, &Event::EndpointMisplaced { endpoint, service });
    }

    /// Excludes the endpoint for a moment because it reported that it is full.
    pub(crate) fn mark_full(&self) {
        self.stats()
            .availability
            .mark_full(Instant::now() + FULL_DURATION);
    }

    /// Records that no connection could be opened: nothing listens or responds at its address.
    pub(crate) fn record_connect_failure(&self, why: &str) {
        if self
            .stats()
            .availability
            .record_connect_failure(Instant::now())
        {
            let (endpoint, service) = (self.name.clone(), self.service.clone());
            let why = why.to_owned();
            logs::write(
                None,
                &Event::EndpointUnreached {
                    endpoint,
                    service,
                    why,
                },
            );
        }
    }

    /// Returns why the endpoint takes no new work at `now`. All other code relies on this decision.
    pub(crate) fn unavailable_reason(
        &self,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Option<UnavailableReason> {
        let stats = self.stats();
        let ejected = stats.health.ejected_until();
        let limited = stats.permits.refused_until(now);
        let zone = reachable.state(&self.az);
        stats
            .availability
            .reason_at(stats.state, zone, limited, ejected, now)
    }

    /// Takes a permit for a call if the endpoint names a request rate.
    pub(crate) fn try_take_permit(&self, now: Instant) -> CallPermission {
        self.stats().permits.try_take(now)
    }
}

impl Stats {
    /// Returns the known number of calls in flight from all gates.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let is_fresh = self
            .other_calls_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOAD_REPORT_TTL);
        let others = if is_fresh { self.other_calls } else { 0 };
        self.in_flight.saturating_add(others)
    }

    /// Records a reported number of running and waiting calls, `own` of which are from this gate.
    pub(crate) fn record_load(&mut self, calls: u32, own: u32, now: Instant) {
        self.other_calls = calls.saturating_sub(own);
        self.other_calls_at = Some(now);
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.health.ejected_until().is_some_and(|until| now < until)
    }
}

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) targets: Vec<Arc<Target>>,
    /// Time to the first part of a response by tokens to read.
    pub(crate) fit: Arc<Mutex<LatencyFit>>,
}

impl Pool {
    /// Returns the time to the first part of a response by tokens to read.
    pub(crate) fn model(&self) -> LatencyModel {
        let fit = self.fit.lock().unwrap_or_else(PoisonError::into_inner);
        fit.model()
    }
}

/// The endpoints of all services. Clones share state.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pools: Arc<RwLock<HashMap<String, Arc<Pool>>>>,
    reachable: Arc<RwLock<Arc<ReachableZones>>>,
    ejections: Arc<AtomicU64>,
    /// Endpoints that keepers no longer list, whose requested pause or request rate is remembered.
    removed: Arc<Mutex<Vec<Arc<Target>>>>,
    /// Endpoints that reported that they are leaving, by name.
    departures: Arc<Mutex<BTreeMap<String, Departure>>>,
    /// Requests per second of cold endpoints, by service that declares them.
    cold_rates: Arc<RwLock<HashMap<String, f64>>>,
    /// When keepers last confirmed what this gate knows.
    contact: Arc<Mutex<TableContact>>,
    /// Version of the keepers' departures up to which this gate has read them.
    departures_version: Arc<AtomicU64>,
    /// Incremented for each departure and each new request rate that an endpoint reports to this
    /// gate.
    notice_updates: watch::Sender<u64>,
    pub(crate) long_prompts: LongPrompts,
}

/// Endpoint counts of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndpointCounts {
    pub(crate) service: String,
    /// All known endpoints.
    pub(crate) known: usize,
    /// Known endpoints that take new work.
    pub(crate) healthy: usize,
    /// Known endpoints that take no new work, by label of the reason.
    pub(crate) unavailable: BTreeMap<&'static str, usize>,
    /// Cold endpoints; `None` if the service declares no limit for them.
    pub(crate) cold: Option<usize>,
}

impl Fleet {
    /// Creates a fleet without endpoints.
    pub(crate) fn new(long_prompts: LongPrompts) -> Self {
        Self {
            long_prompts,
            ..Self::default()
        }
    }

    /// Returns the endpoints of `service`.
    pub(crate) fn pool(&self, service: &str) -> Option<Arc<Pool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(service).cloned()
    }

    /// Returns the endpoint of `service` at `address`.
    pub(crate) fn target_at(&self, service: &str, address: SocketAddr) -> Option<Arc<Target>> {
        let pool = self.pool(service)?;
        let mut targets = pool.targets.iter();
        targets.find(|t| t.address == address).cloned()
    }

    /// Returns true if another incarnation is known at the address of `target`.
    pub(crate) fn has_restarted(&self, target: &Target) -> bool {
        self.target_at(&target.service, target.address)
            .is_some_and(|known| known.incarnation != target.incarnation)
    }

    /// Returns the number of endpoints of `service` that take new work, by availability zone.
    pub(crate) fn healthy_by_zone(&self, service: &str) -> BTreeMap<String, usize> {
        let (now, reachable) = (Instant::now(), self.reachable());
        let mut zones = BTreeMap::new();
        if let Some(pool) = self.pool(service) {
            for target in pool.healthy(&reachable, now) {
                *zones.entry(target.az.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Counts the endpoints of each service.
    pub(crate) fn endpoint_counts(&self) -> Vec<EndpointCounts> {
        let (now, reachable) = (Instant::now(), self.reachable());
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let cold_rates = self.cold_rates();
        let counts = pools.iter().map(|(service, pool)| {
            let mut unavailable = BTreeMap::new();
            for reason in pool
                .targets
                .iter()
                .filter_map(|t| t.unavailable_reason(&reachable, now))
            {
                *unavailable.entry(reason.label()).or_default() += 1;
            }
            EndpointCounts {
                service: service.clone(),
                known: pool.targets.len(),
                healthy: pool.targets.len() - unavailable.values().sum::<usize>(),
                unavailable,
                cold: cold_rates.contains_key(service).then(|| {
                    let is_cold = |t: &&Arc<Target>| t.stats().permits.cold_limit(now).is_some();
                    pool.targets.iter().filter(is_cold).count()
                }),
            }
        });
        counts.collect()
    }

    /// Returns the endpoints that take no new work, with reasons.
    pub(crate) fn unavailable_endpoints(&self) -> Vec<UnavailableEndpoint> {
        let (now, reachable) = (Instant::now(), self.reachable());
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let targets = pools.values().flat_map(|pool| &pool.targets);
        let unavailable = targets.filter_map(|target| {
            let reason = target.unavailable_reason(&reachable, now)?;
            Some(UnavailableEndpoint {
                endpoint: target.name.clone(),
                service: target.service.clone(),
                az: target.az.clone(),
                reason: reason.label().to_owned(),
                remaining: reason
                    .until()
                    .map(|until| until.saturating_duration_since(now)),
            })
        });
        unavailable.take(MAX_UNAVAILABLE).collect()
    }

    /// Number of ejections since the start.
    pub(crate) fn ejections(&self) -> u64 {
        self.ejections.load(Ordering::Relaxed)
    }

    /// Applies the endpoints known to the keepers; state of endpoints that remain is kept. `memory`
    /// returns the tokens of an engine's memory that are available to this gate, by service.
    pub fn update(&self, mirror: &Mirror, memory: impl Fn(&str) -> Option<u64>) {
        let mut by_service: HashMap<&str, Vec<&EndpointView>> = HashMap::new();
        for view in mirror
            .endpoints
            .values()
            .filter(|v| v.service != GATE_SERVICE)
        {
            by_service.entry(&view.service).or_default().push(view);
        }
        // Lock order: departures before pools.
        let departures = self.departures();
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let old = std::mem::take(&mut *pools);
        let mut removed = self.removed();
        for (service, views) in by_service {
            let before = old.get(service);
            let known = before
                .iter()
                .flat_map(|pool| &pool.targets)
                .chain(&*removed);
            let known: Vec<&Arc<Target>> = known.filter(|t| t.service == service).collect();
            let target = |view: &&EndpointView| target_for(view, &known, memory(service));
            let pool = Pool {
                targets: views.iter().filter_map(target).collect(),
                fit: before.map_or_else(
                    || Arc::new(Mutex::new(LatencyFit::new(INITIAL_LATENCY))),
                    |pool| Arc::clone(&pool.fit),
                ),
            };
            pools.insert(service.to_owned(), Arc::new(pool));
        }
        log_removed(&old, &pools);
        let now = Instant::now();
        removed.extend(old.values().flat_map(|pool| &pool.targets).cloned());
        removed.retain(|t| t.is_restrained(now) && !is_known(&pools, t));
        let cold_rates = self.cold_rates();
        for target in pools.values().flat_map(|pool| &pool.targets) {
            if departures
                .get(&target.name)
                .is_some_and(|departure| departure.covers(target.incarnation))
            {
                target.stats().availability.mark_leaving();
            }
            if let Some(observed) = mirror.rates.get(&target.name) {
                target.record_rate(*observed, "keepers");
            }
            let cold_rate = cold_rates.get(&target.service).copied();
            target.record_cold(mirror.cold.get(&target.name).copied(), cold_rate, now);
        }
    }

    fn removed(&self) -> MutexGuard<'_, Vec<Arc<Target>>> {
        self.removed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the result of a call to `target` and ejects it if too many calls failed.
    pub(crate) fn record_call_result(&self, target: &Target, has_failed: bool) {
        let now = Instant::now();
        let (should_eject, is_restored) = {
            let mut stats = target.stats();
            let is_restored = !has_failed && stats.health.record_recovery();
            (stats.health.observe(has_failed, now), is_restored)
        };
        if is_restored {
            let (endpoint, service) = (target.name.clone(), target.service.clone());
            logs::write(None, &Event::EndpointBack { endpoint, service });
        }
        if !should_eject {
            return;
        }
        let Some(pool) = self.pool(&target.service) else {
            return;
        };
        let ejected = pool.targets.iter().filter(|t| t.stats().is_ejected(now));
        let (ejected, of) = (ejected.count(), pool.targets.len());
        if ejected < max_ejected(of, MAX_EJECTED) {
            let mut stats = target.stats();
            stats.health.eject(now);
            self.ejections.fetch_add(1, Ordering::Relaxed);
            let until = stats.health.ejected_until().unwrap_or(now);
            logs::write(
                None,
                &Event::EndpointEjected {
                    endpoint: target.name.clone(),
                    service: target.service.clone(),
                    for_ms: until.saturating_duration_since(now).as_millis() as u64,
                    out: ejected + 1,
                    of,
                },
            );
        }
    }
}

/// Returns true if `pools` has an endpoint of the same name.
fn is_known(pools: &HashMap<String, Arc<Pool>>, target: &Target) -> bool {
    let pool = pools.get(&target.service);
    pool.is_some_and(|pool| pool.targets.iter().any(|t| t.name == target.name))
}

/// Logs endpoints that are no longer known.
fn log_removed(old: &HashMap<String, Arc<Pool>>, now: &HashMap<String, Arc<Pool>>) {
    let before = old.values().flat_map(|pool| &pool.targets);
    for target in before.filter(|target| !is_known(now, target)) {
        logs::write(
            None,
            &Event::EndpointState {
                endpoint: target.name.clone(),
                service: target.service.clone(),
                az: target.az.clone(),
                state: "gone".to_owned(),
            },
        );
    }
}

/// Returns the target for `view`, reusing one of `before` if it is the same incarnation.
fn target_for(
    view: &EndpointView,
    before: &[&Arc<Target>],
    memory: Option<u64>,
) -> Option<Arc<Target>> {
    let address: SocketAddr = view.address.strip_prefix("http://")?.parse().ok()?;
    let is_same = |t: &&&Arc<Target>| {
        t.name == view.endpoint && t.incarnation == view.incarnation && t.address == address
    };
    let known = before.iter().find(is_same);
    if known.is_none_or(|known| known.stats().state != view.state) {
        logs::write(
            None,
            &Event::EndpointState {
                endpoint: view.endpoint.clone(),
                service: view.service.clone(),
                az: view.az.clone(),
                state: format!("{:?}", view.state).to_lowercase(),
            },
        );
    }
    if let Some(known) = known {
        known.stats().state = view.state;
        return Some(Arc::clone(known));
    }
    Some(Arc::new(Target {
        name: view.endpoint.clone(),
        service: view.service.clone(),
        az: view.az.clone(),
        address,
        incarnation: view.incarnation,
        slots: view.slots,
        stats: Mutex::new(Stats {
            state: view.state,
            in_flight: 0,
            unread_tokens: 0,
            other_calls: 0,
            other_calls_at: None,
            slowness: Slowness::new(),
            cache: PrefixCache::new(memory.unwrap_or(DEFAULT_MEMORY_TOKENS)),
            permits: Permits::default(),
            health: Health::new(ejection_config()),
            availability: AvailabilityState::default(),
        }),
    }))
}

#[cfg(test)]
mod tests;
