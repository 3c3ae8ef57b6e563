//! The other gates: links to them, and which one collects a service's items.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use link::{LinkConfig, Peer};
use membership::{EndpointState, Mirror};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::GATES;

/// Up to so many gates, items of all availability zones are collected together.
const MAX_TOGETHER: usize = 16;

/// Who collects a service's items.
#[derive(Clone, Debug)]
pub(crate) enum Collecting {
    /// This gate.
    Own,
    /// Another one.
    Other(Peer),
}

/// A gate as keepers know it.
#[derive(Clone, Debug)]
struct Gate {
    name: String,
    az: String,
    peer: Option<Peer>,
    /// Whether its link has ever been up.
    was_up: bool,
}

/// The gates that collect together with this one; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Gates {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    links: LinkConfig,
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    gates: Vec<Gate>,
    /// All gates, of other availability zones too.
    count: usize,
    /// Who collects, by service, as it was last.
    chosen: HashMap<String, String>,
}

impl Known {
    /// Notes who collects the items of `service`.
    fn note(&mut self, service: &str, gate: &str) {
        if self
            .chosen
            .get(service)
            .is_some_and(|chosen| chosen == gate)
        {
            return;
        }
        spdlog::info!("items are collected", kv: { service, gate, of = self.gates.len() });
        self.chosen.insert(service.to_owned(), gate.to_owned());
    }
}

impl Gates {
    /// This gate alone.
    pub(crate) fn new(links: LinkConfig) -> Self {
        let own = Gate {
            name: links.identity.vm.clone(),
            az: links.identity.az.clone(),
            peer: None,
            was_up: true,
        };
        let known = Known {
            gates: vec![own],
            count: 1,
            chosen: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                links,
                known: Mutex::new(known),
            }),
        }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        let known = &self.shared.known;
        known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many gates there are, this one among them.
    pub(crate) fn count(&self) -> usize {
        self.known().count.max(1)
    }

    /// Takes what keepers told; links to gates that stay are kept.
    pub(crate) fn update(&self, mirror: &Mirror) {
        let own = &self.shared.links.identity;
        let all = mirror.endpoints.values();
        let ready: Vec<_> = all
            .filter(|v| v.service == GATES && v.state == EndpointState::Ready)
            .collect();
        let is_together = ready.len() <= MAX_TOGETHER;
        let chosen = ready.iter().filter(|v| is_together || v.az == own.az);
        let mut known = self.known();
        let mut before: HashMap<(String, SocketAddr), (Peer, bool)> = known
            .gates
            .drain(..)
            .filter_map(|gate| Some((gate.peer?, gate.was_up)))
            .map(|(peer, was_up)| ((peer.name().to_owned(), peer.address()), (peer, was_up)))
            .collect();
        let others = chosen.filter(|v| v.endpoint != own.vm).filter_map(|v| {
            let address = v.address.strip_prefix("http://")?.parse().ok()?;
            let key = (v.endpoint.clone(), address);
            let started = || (Peer::start(&v.endpoint, address, &self.shared.links), false);
            let (peer, was_up) = before.remove(&key).unwrap_or_else(started);
            Some(Gate {
                name: v.endpoint.clone(),
                az: v.az.clone(),
                peer: Some(peer),
                was_up,
            })
        });
        let gates: Vec<Gate> = others.collect();
        known.count = ready.len().max(1);
        known.gates = gates;
        known.gates.push(Gate {
            name: own.vm.clone(),
            az: own.az.clone(),
            peer: None,
            was_up: true,
        });
    }

    /// The availability zones whose gates were linked and aren't any more, none of them.
    pub(crate) fn cut_off(&self) -> BTreeSet<String> {
        let own = &self.shared.links.identity.az;
        let mut known = self.known();
        let mut zones: BTreeMap<String, (bool, bool)> = BTreeMap::new();
        for gate in &mut known.gates {
            let is_up = gate.peer.as_ref().is_none_or(Peer::is_connected);
            gate.was_up |= is_up;
            let (any_was, any_is) = zones.entry(gate.az.clone()).or_default();
            *any_was |= gate.was_up;
            *any_is |= is_up;
        }
        let is_cut =
            |(az, (was, is)): (String, (bool, bool))| (was && !is && az != *own).then_some(az);
        zones.into_iter().filter_map(is_cut).collect()
    }

    /// Who collects the items of `service`: the first in an order that all gates share, as far as
    /// it can be reached. `skip` of those that can are left out.
    pub(crate) fn collecting(&self, service: &str, skip: usize) -> Collecting {
        let mut known = self.known();
        let rank = |gate: &&Gate| xxh3_64(format!("{service}/{}", gate.name).as_bytes());
        let is_reachable = |gate: &&Gate| gate.peer.as_ref().is_none_or(Peer::is_connected);
        let mut reachable: Vec<&Gate> = known.gates.iter().filter(is_reachable).collect();
        reachable.sort_by_cached_key(rank);
        let Some(chosen) = reachable.get(skip) else {
            return Collecting::Own;
        };
        let (name, peer) = (chosen.name.clone(), chosen.peer.clone());
        if skip == 0 {
            known.note(service, &name);
        }
        peer.map_or(Collecting::Own, Collecting::Other)
    }
}
