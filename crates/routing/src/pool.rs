//! The subset of a service's endpoints that this gate calls.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::{Arc, Mutex},
};

use derives::value;
use logs::Event;
use membership::{Endpoint, Readiness, ServiceSnapshot, StageRole};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{
    config::RouterConfig,
    health::max_ejected,
    stats::{LatencyMean, Stats},
    subset::{self, GatePosition},
};

/// An endpoint and its statistics.
#[derive(Clone, Debug)]
pub(crate) struct PoolEntry {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) stats: Arc<Stats>,
    /// True if the endpoint is in the gate's own availability zone.
    pub(crate) is_local: bool,
}

impl PoolEntry {
    /// Counts a call in flight, and takes it from this gate's share if the endpoint names a request
    /// rate. Returns false if either has reached its limit.
    pub(crate) fn try_acquire(&self) -> bool {
        if !self.stats.try_acquire() {
            return false;
        }
        let is_limited = self.endpoint.live.limit().is_some();
        let is_allowed = !is_limited || self.stats.rate_share.try_take();
        if !is_allowed {
            self.stats.release();
        }
        is_allowed
    }
}

/// Endpoints of one service for one version of its snapshot.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) version: u64,
    /// Number of gates known to be in other availability zones when the pool was built.
    pub(crate) foreign_gate_count: usize,
    /// All endpoints, those of the gate's own availability zone first.
    entries: Vec<PoolEntry>,
    /// Number of endpoints in the gate's own availability zone.
    local_count: usize,
    /// Gates of this availability zone.
    gates: Vec<String>,
    latency: Arc<LatencyMean>,
    /// Serializes ejections, so that concurrent ones can't exceed the cap.
    ejection_lock: Arc<Mutex<()>>,
    max_ejected_share: f64,
}

impl Pool {
    /// Builds the pool for `snapshot`, keeping the statistics of endpoints that are also in `old`.
    pub(crate) fn new(
        cfg: &RouterConfig,
        start: Instant,
        snapshot: &ServiceSnapshot,
        foreign_gates: &BTreeSet<String>,
        old: Option<&Self>,
    ) -> Self {
        let known: HashMap<(&str, Uuid), &PoolEntry> = old
            .iter()
            .flat_map(|pool| &pool.entries)
            .map(|entry| (key(&entry.endpoint), entry))
            .collect();
        let stats = |endpoint: &Endpoint| match known.get(&key(endpoint)) {
            Some(entry) => Arc::clone(&entry.stats),
            None => Arc::new(Stats::new(cfg, start)),
        };
        let is_local = |gate: &&String| !foreign_gates.contains(*gate);
        let gates: Vec<String> = cfg.gates.iter().filter(is_local).cloned().collect();
        let chosen = choose_subset(cfg, snapshot, &gates);
        let entries = snapshot
            .endpoints
            .iter()
            .filter(|endpoint| chosen.contains(endpoint.announced.endpoint.as_str()))
            .map(|endpoint| PoolEntry {
                stats: stats(endpoint),
                is_local: endpoint.announced.az == cfg.az,
                endpoint: Arc::clone(endpoint),
            });
        let (local, remote): (Vec<PoolEntry>, Vec<PoolEntry>) =
            entries.partition(|entry| entry.is_local);
        let pool = Self {
            version: snapshot.version,
            foreign_gate_count: foreign_gates.len(),
            local_count: local.len(),
            gates,
            entries: local.into_iter().chain(remote).collect(),
            latency: old.map_or_else(Arc::default, |pool| Arc::clone(&pool.latency)),
            ejection_lock: old.map_or_else(Arc::default, |pool| Arc::clone(&pool.ejection_lock)),
            max_ejected_share: cfg.ejection.max_ejected_share,
        };
        pool.release_above_cap(Instant::now());
        pool
    }

    /// Returns all endpoints, local ones first.
    pub(crate) fn entries(&self) -> &[PoolEntry] {
        &self.entries
    }

    /// Returns the gates of this availability zone.
    pub(crate) fn gates(&self) -> &[String] {
        &self.gates
    }

    /// Returns the endpoints of the gate's own availability zone.
    pub(crate) fn local(&self) -> &[PoolEntry] {
        &self.entries[..self.local_count]
    }

    /// Returns the endpoints of other availability zones.
    pub(crate) fn remote(&self) -> &[PoolEntry] {
        &self.entries[self.local_count..]
    }

    /// Returns the mean latency of the whole service.
    pub(crate) fn latency(&self) -> &LatencyMean {
        &self.latency
    }

    /// Ejects the endpoint of `entry` if the cap allows it.
    pub(crate) fn try_eject(&self, entry: &PoolEntry, now: Instant) -> Option<Event> {
        let stats = &entry.stats;
        let _guard = self
            .ejection_lock
            .lock()
            .expect("no holder of this lock panics");
        let is_ejected = |entry: &&PoolEntry| entry.stats.is_ejected(now);
        let ejected = self.entries.iter().filter(is_ejected).count();
        let is_allowed = ejected < max_ejected(self.entries.len(), self.max_ejected_share);
        if is_allowed && !stats.is_ejected(now) {
            let mut inner = stats.lock();
            inner.health.eject(now);
            stats.publish(&inner);
            let until = inner.health.ejected_until().unwrap_or(now);
            return Some(Event::EndpointEjected {
                endpoint: entry.endpoint.announced.endpoint.clone(),
                service: entry.endpoint.announced.service.clone(),
                for_ms: until.saturating_duration_since(now).as_millis() as u64,
                out: ejected + 1,
                of: self.entries.len(),
            });
        }
        None
    }

    /// Ends the ejections due to end first while there are more than the cap allows, which happens
    /// when the service has shrunk.
    fn release_above_cap(&self, now: Instant) {
        let is_ejected = |entry: &&PoolEntry| entry.stats.is_ejected(now);
        let mut ejected: Vec<&PoolEntry> = self.entries.iter().filter(is_ejected).collect();
        ejected.sort_by_key(|entry| entry.stats.lock().health.ejected_until());
        let allowed = max_ejected(self.entries.len(), self.max_ejected_share);
        let excess = ejected.len().saturating_sub(allowed);
        for entry in ejected.into_iter().take(excess) {
            let mut inner = entry.stats.lock();
            inner.health.end_ejection(now);
            entry.stats.publish(&inner);
        }
    }
}

fn key(endpoint: &Endpoint) -> (&str, Uuid) {
    let a = &endpoint.announced;
    (&a.endpoint, a.incarnation)
}

/// Returns the names of the endpoints that this gate calls. Subsets are chosen per group of
/// interchangeable endpoints, so that during a rollout each gate has endpoints of both versions.
fn choose_subset<'a>(
    cfg: &RouterConfig,
    snapshot: &'a ServiceSnapshot,
    gates: &[String],
) -> HashSet<&'a str> {
    let mut groups: BTreeMap<EndpointGroup<'_>, Vec<&str>> = BTreeMap::new();
    for endpoint in &snapshot.endpoints {
        let a = &endpoint.announced;
        let models = a.models.iter();
        let group = EndpointGroup {
            az: &a.az,
            models: models
                .map(|m| (m.model.as_str(), m.version, m.adapters.as_slice()))
                .collect(),
            role: a.role,
            is_leaving: a.state == Readiness::Leaving,
        };
        groups.entry(group).or_default().push(&a.endpoint);
    }
    let position = GatePosition::of(&cfg.gate, gates);
    let per_group = groups.iter().flat_map(|(group, names)| {
        let size = match group.az == cfg.az {
            true => subset::size(
                names.len(),
                position.gates,
                cfg.min_subset,
                cfg.gates_per_endpoint,
            ),
            false => cfg.remote_subset,
        };
        subset::choose(names, position, size)
    });
    per_group.collect()
}

/// Key of interchangeable endpoints: those of one availability zone with the same models and role.
#[value]
struct EndpointGroup<'a> {
    az: &'a str,
    models: Vec<(&'a str, u32, &'a [String])>,
    role: StageRole,
    is_leaving: bool,
}
