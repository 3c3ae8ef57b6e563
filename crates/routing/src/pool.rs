//! The endpoints of one service that this gate talks to.

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
    stats::{Latency, Stats},
    subset::{self, GatePosition},
};

/// One endpoint and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) stats: Arc<Stats>,
    /// Whether it is of the gate's own availability zone.
    pub(crate) is_near: bool,
}

/// The slots of one service for one version of its snapshot.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) version: u64,
    /// Gates known to be of another availability zone when it was made.
    pub(crate) foreign: usize,
    /// Those of the own availability zone first.
    slots: Vec<Slot>,
    /// How many of them are of the own availability zone.
    near: usize,
    latency: Arc<Latency>,
    /// Held while an ejection is decided, so that the cap holds.
    ejecting: Arc<Mutex<()>>,
    max_ejected_share: f64,
}

impl Pool {
    /// The pool for `snapshot`; what `old` knew of endpoints that stay is kept.
    pub(crate) fn new(
        cfg: &RouterConfig,
        start: Instant,
        snapshot: &ServiceSnapshot,
        foreign: &BTreeSet<String>,
        old: Option<&Self>,
    ) -> Self {
        let known: HashMap<(&str, Uuid), &Slot> = old
            .iter()
            .flat_map(|pool| &pool.slots)
            .map(|slot| (key(&slot.endpoint), slot))
            .collect();
        let stats = |endpoint: &Endpoint| match known.get(&key(endpoint)) {
            Some(slot) => Arc::clone(&slot.stats),
            None => Arc::new(Stats::new(cfg, start)),
        };
        let chosen = chosen(cfg, snapshot, foreign);
        let slots = snapshot
            .endpoints
            .iter()
            .filter(|endpoint| chosen.contains(endpoint.announced.endpoint.as_str()))
            .map(|endpoint| Slot {
                stats: stats(endpoint),
                is_near: endpoint.announced.az == cfg.az,
                endpoint: Arc::clone(endpoint),
            });
        let (near, far): (Vec<Slot>, Vec<Slot>) = slots.partition(|slot| slot.is_near);
        let pool = Self {
            version: snapshot.version,
            foreign: foreign.len(),
            near: near.len(),
            slots: near.into_iter().chain(far).collect(),
            latency: old.map_or_else(Arc::default, |pool| Arc::clone(&pool.latency)),
            ejecting: old.map_or_else(Arc::default, |pool| Arc::clone(&pool.ejecting)),
            max_ejected_share: cfg.ejection.max_ejected_share,
        };
        pool.release_above_cap(Instant::now());
        pool
    }

    /// All endpoints.
    pub(crate) fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The endpoints of the own availability zone.
    pub(crate) fn near(&self) -> &[Slot] {
        &self.slots[..self.near]
    }

    /// The endpoints of other availability zones.
    pub(crate) fn far(&self) -> &[Slot] {
        &self.slots[self.near..]
    }

    /// The time that the service's answers take.
    pub(crate) fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Ejects the endpoint of `slot` where the cap allows it.
    pub(crate) fn try_eject(&self, slot: &Slot, now: Instant) -> Option<Event> {
        let stats = &slot.stats;
        let _guard = self.ejecting.lock().expect("no holder of this lock panics");
        let is_ejected = |slot: &&Slot| slot.stats.is_ejected(now);
        let ejected = self.slots.iter().filter(is_ejected).count();
        let is_allowed = ejected < max_ejected(self.slots.len(), self.max_ejected_share);
        if is_allowed && !stats.is_ejected(now) {
            let mut inner = stats.lock();
            inner.health.eject(now);
            stats.publish(&inner);
            let until = inner.health.ejected_until().unwrap_or(now);
            return Some(Event::EndpointEjected {
                endpoint: slot.endpoint.announced.endpoint.clone(),
                service: slot.endpoint.announced.service.clone(),
                for_ms: until.saturating_duration_since(now).as_millis() as u64,
                out: ejected + 1,
                of: self.slots.len(),
            });
        }
        None
    }

    /// Ends the oldest ejections where the service has shrunk.
    fn release_above_cap(&self, now: Instant) {
        let is_ejected = |slot: &&Slot| slot.stats.is_ejected(now);
        let mut ejected: Vec<&Slot> = self.slots.iter().filter(is_ejected).collect();
        ejected.sort_by_key(|slot| slot.stats.lock().health.ejected_until());
        let allowed = max_ejected(self.slots.len(), self.max_ejected_share);
        let excess = ejected.len().saturating_sub(allowed);
        for slot in ejected.into_iter().take(excess) {
            let mut inner = slot.stats.lock();
            inner.health.end_ejection(now);
            slot.stats.publish(&inner);
        }
    }
}

fn key(endpoint: &Endpoint) -> (&str, Uuid) {
    let a = &endpoint.announced;
    (&a.endpoint, a.incarnation)
}

/// Names of the endpoints that this gate talks to: a subset of those of each availability zone that
/// are loaded alike, so that a rollout leaves each gate with endpoints of both versions.
fn chosen<'a>(
    cfg: &RouterConfig,
    snapshot: &'a ServiceSnapshot,
    foreign: &BTreeSet<String>,
) -> HashSet<&'a str> {
    let mut alike: BTreeMap<Group<'_>, Vec<&str>> = BTreeMap::new();
    for endpoint in &snapshot.endpoints {
        let a = &endpoint.announced;
        let models = a.models.iter();
        let group = Group {
            az: &a.az,
            models: models
                .map(|m| (m.model.as_str(), m.version, m.adapters.as_slice()))
                .collect(),
            role: a.role,
            is_leaving: a.state == Readiness::Leaving,
        };
        alike.entry(group).or_default().push(&a.endpoint);
    }
    let is_near = |gate: &&String| !foreign.contains(*gate);
    let gates: Vec<String> = cfg.gates.iter().filter(is_near).cloned().collect();
    let position = GatePosition::of(&cfg.gate, &gates);
    let per_group = alike.iter().flat_map(|(group, names)| {
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

/// Endpoints of one availability zone that can do the same.
#[value]
struct Group<'a> {
    az: &'a str,
    models: Vec<(&'a str, u32, &'a [String])>,
    role: StageRole,
    is_leaving: bool,
}
