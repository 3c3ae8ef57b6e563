//! The other gates: links to them, and which one collects a service's items.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use link::{LinkConfig, Peer};
use logs::Event;
use membership::{EndpointState, EndpointView, Mirror};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::GATE_SERVICE;

/// Up to so many gates, items of all availability zones are collected together.
const MAX_SHARED_GATES: usize = 16;
/// A link to a gate without a frame for this long is dropped; it tells of a unreachable zone.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time in which a link that was asked for comes up.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a link that was lost_at comes up again where its gate still runs.
const REDIAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Gates in the order of a service to which links are kept, beside those that are asked for.
const STANDBY: usize = 1;

/// Who collects a service's items.
#[derive(Clone, Debug)]
pub(crate) enum CollectorChoice {
    /// This gate.
    Local,
    /// Another one.
    Remote(Peer),
    /// None of the gates that collect for that availability zone can be reached.
    Unavailable,
}

/// A gate as keepers know it.
#[derive(Clone, Debug)]
struct Gate {
    name: String,
    az: String,
    /// Where its link listens; `None` for this gate.
    address: Option<SocketAddr>,
    /// The link, once there was need of one.
    peer: Option<Peer>,
    /// Whether its link has ever been up.
    was_up: bool,
    /// When its link was asked for.
    dialed_at: Option<Instant>,
    /// When its link, which had been up, was first found down.
    lost_at: Option<Instant>,
}

impl Gate {
    /// Whether it can be asked now, or in a moment: a link that was just asked for or just lost_at
    /// comes up soon. Turning to another gate for that moment would have two collect for the same
    /// endpoints.
    fn is_usable(&self) -> bool {
        let is_within = |at: Option<Instant>, limit| at.is_some_and(|at| at.elapsed() < limit);
        match self.was_up {
            _ if self.is_reachable() => true,
            true => is_within(self.lost_at, REDIAL_TIMEOUT),
            false => is_within(self.dialed_at, DIAL_TIMEOUT),
        }
    }

    /// Notes whether its link is up.
    fn update_link_state(&mut self) {
        if self.is_reachable() {
            (self.was_up, self.lost_at) = (true, None);
        } else if self.was_up {
            self.lost_at.get_or_insert_with(Instant::now);
        }
    }

    fn is_reachable(&self) -> bool {
        match &self.peer {
            Some(peer) => peer.is_connected(),
            None => self.address.is_none(),
        }
    }

    fn dial(&mut self, links: &LinkConfig) {
        if let (None, Some(address)) = (&self.peer, self.address) {
            self.peer = Some(Peer::start(&self.name, address, links));
            self.dialed_at = Some(Instant::now());
        }
    }
}

/// The gates; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Gates {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    links: LinkConfig,
    known: Mutex<GateTable>,
}

#[derive(Debug, Default)]
struct GateTable {
    gates: Vec<Gate>,
    /// Who collects, by service and availability zone, as it was last.
    collectors: HashMap<(String, String), String>,
    /// Whether this gate is going down, so that others collect.
    is_leaving: bool,
    /// Places in `gates` by service and availability zone, in the order in which they collect.
    orders: HashMap<(String, String), Arc<[usize]>>,
}

impl GateTable {
    fn is_shared(&self) -> bool {
        self.gates.len() <= MAX_SHARED_GATES
    }

    /// The gates that collect for `service` in `az`, in an order that all gates share.
    fn order(&mut self, service: &str, az: &str) -> Arc<[usize]> {
        let key = (service.to_owned(), az.to_owned());
        if let Some(order) = self.orders.get(&key) {
            return Arc::clone(order);
        }
        let rank = |gate: &Gate| xxh3_64(format!("{service}/{}", gate.name).as_bytes());
        let is_shared = self.is_shared();
        let gates = self.gates.iter().enumerate();
        let mut order: Vec<(u64, usize)> = gates
            .filter(|(_, gate)| is_shared || gate.az == az)
            .map(|(at, gate)| (rank(gate), at))
            .collect();
        order.sort_unstable();
        let order: Arc<[usize]> = order.into_iter().map(|(_, at)| at).collect();
        self.orders.insert(key, Arc::clone(&order));
        order
    }

    /// Notes who collects the items of `service` in `az`.
    fn log_collector(&mut self, service: &str, az: &str, gate: &str) {
        let key = (service.to_owned(), az.to_owned());
        if self
            .collectors
            .get(&key)
            .is_some_and(|chosen| chosen == gate)
        {
            return;
        }
        logs::write(
            None,
            &Event::Collects {
                service: service.to_owned(),
                az: az.to_owned(),
                gate: gate.to_owned(),
                of: self.gates.len(),
            },
        );
        self.collectors.insert(key, gate.to_owned());
    }
}

impl Gates {
    /// This gate alone.
    pub(crate) fn new(links: LinkConfig) -> Self {
        let links = LinkConfig {
            silence: LINK_SILENCE_TIMEOUT,
            ..links
        };
        let known = GateTable {
            gates: vec![local_gate(&links)],
            ..GateTable::default()
        };
        Self {
            shared: Arc::new(Shared {
                links,
                known: Mutex::new(known),
            }),
        }
    }

    fn known(&self) -> MutexGuard<'_, GateTable> {
        let known = &self.shared.known;
        known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many gates there are, this one among them.
    pub(crate) fn count(&self) -> usize {
        self.known().gates.len()
    }

    /// How many gates collect the items of one service at a time: one, or one in each availability
    /// zone.
    pub(crate) fn collectors(&self) -> usize {
        let known = self.known();
        if known.is_shared() {
            return 1;
        }
        let zones: BTreeSet<&str> = known.gates.iter().map(|gate| gate.az.as_str()).collect();
        zones.len()
    }

    /// This gate is going down: it collects only where no other gate does.
    pub(crate) fn start_leaving(&self) {
        self.known().is_leaving = true;
    }

    /// Links that are up to other gates.
    pub(crate) fn linked(&self) -> Vec<Peer> {
        let known = self.known();
        let peers = known.gates.iter().filter_map(|gate| gate.peer.as_ref());
        peers.filter(|peer| peer.is_connected()).cloned().collect()
    }

    /// This gate's availability zone.
    pub(crate) fn az(&self) -> &str {
        &self.shared.links.identity.az
    }

    /// Whether each availability zone collects its own items, since there are many gates.
    pub(crate) fn collects_by_zone(&self) -> bool {
        !self.known().is_shared()
    }

    /// Takes what keepers told; links to gates that stay are kept.
    pub(crate) fn update(&self, mirror: &Mirror) {
        let links = &self.shared.links;
        let is_ready =
            |v: &&EndpointView| v.service == GATE_SERVICE && v.state == EndpointState::Ready;
        let ready = mirror.endpoints.values().filter(is_ready);
        let others = ready.filter(|v| v.endpoint != links.identity.vm);
        let mut known = self.known();
        let before = std::mem::take(&mut known.gates);
        let known_as = |name: &str, address: SocketAddr| {
            let is_same = |gate: &&Gate| gate.name == name && gate.address == Some(address);
            before.iter().find(is_same).cloned()
        };
        let gates = others.filter_map(|v| {
            let address = v.address.strip_prefix("http://")?.parse().ok()?;
            let new = || Gate {
                name: v.endpoint.clone(),
                az: v.az.clone(),
                address: Some(address),
                peer: None,
                was_up: false,
                dialed_at: None,
                lost_at: None,
            };
            Some(known_as(&v.endpoint, address).unwrap_or_else(new))
        });
        known.gates = gates.collect();
        known.gates.push(local_gate(links));
        known.orders.clear();
        if known.is_shared() {
            known.gates.iter_mut().for_each(|gate| gate.dial(links));
        }
    }

    /// The availability zones whose gates were linked and aren't any more, none of them.
    pub(crate) fn unreachable_zones(&self) -> BTreeSet<String> {
        let own = &self.shared.links.identity.az;
        let mut known = self.known();
        let mut zones: BTreeMap<String, (bool, bool)> = BTreeMap::new();
        for gate in known.gates.iter_mut().filter(|gate| gate.peer.is_some()) {
            let is_up = gate.is_reachable();
            gate.update_link_state();
            let (was_any_up, is_any_up) = zones.entry(gate.az.clone()).or_default();
            *was_any_up |= gate.was_up;
            *is_any_up |= is_up;
        }
        let unreachable = zones
            .into_iter()
            .filter(|(az, (was_up, is_up))| *was_up && !is_up && az != own);
        unreachable.map(|(az, _)| az).collect()
    }

    /// Who collects the items of `service` in `az`: the first in an order that all gates share, as
    /// far as it can be reached. `skip` of those that can are left out.
    pub(crate) fn collector_for(&self, service: &str, az: &str, skip: usize) -> CollectorChoice {
        let mut known = self.known();
        let (is_shared, is_leaving) = (known.is_shared(), known.is_leaving);
        let order = known.order(service, az);
        let mut usable = 0;
        let mut chosen = None;
        for at in order.iter() {
            let gate = &mut known.gates[*at];
            gate.update_link_state();
            // Those that can't be reached are passed over, and the next ones linked in their place.
            if usable <= skip + STANDBY {
                gate.dial(&self.shared.links);
            }
            if !gate.is_usable() || is_leaving && gate.address.is_none() {
                continue;
            }
            usable += 1;
            if usable == skip + 1 {
                chosen.get_or_insert(*at);
            }
        }
        let Some(chosen) = chosen.map(|at| &known.gates[at]) else {
            return CollectorChoice::Unavailable;
        };
        let (name, peer) = (chosen.name.clone(), chosen.peer.clone());
        if skip == 0 {
            known.log_collector(service, if is_shared { "all" } else { az }, &name);
        }
        peer.map_or(CollectorChoice::Local, CollectorChoice::Remote)
    }
}

fn local_gate(links: &LinkConfig) -> Gate {
    Gate {
        name: links.identity.vm.clone(),
        az: links.identity.az.clone(),
        address: None,
        peer: None,
        was_up: true,
        dialed_at: None,
        lost_at: None,
    }
}

#[cfg(test)]
mod tests;
