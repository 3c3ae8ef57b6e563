//! Links to the other gates, and the choice of the gate that collects a service's items.

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

/// Name under which gates are ordered for granting permits; no declared service can have it.
const LIMITER: &str = "@limiter";
/// Name under which gates are ordered for placing calls with prompts.
const PLACER: &str = "@placer";
/// Name under which gates are ordered for being told of crashes.
const CRASH_OBSERVER: &str = "@crash-observer";
/// Number of gates that are told of crashes where not all are linked.
const CRASH_OBSERVERS: usize = 2;
/// Up to this number of gates, one gate collects a service's items of all availability zones.
const MAX_SHARED_GATES: usize = 16;
/// A link without a frame for this long is dropped, which reveals an unreachable zone.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time in which a newly requested link is expected to come up.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a lost link is expected to come up again if its gate still runs.
const REDIAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which the share of a gate in the request rates of endpoints is reserved after the
/// keepers no longer list it: it may be cut off from them and still call endpoints.
const SHARE_RETENTION: Duration = Duration::from_secs(20);
/// Number of standby gates, next in the order of a service, to which links are kept.
const STANDBY: usize = 1;

/// Which gate collects a service's items.
#[derive(Clone, Debug)]
pub(crate) enum CollectorChoice {
    /// This gate.
    Local,
    /// Another gate.
    Remote(Peer),
    /// None of the gates that collect for the availability zone is reachable.
    Unavailable,
}

/// Which gate grants permits for the endpoints of an availability zone that name a request rate, or
/// places the calls with prompts of a service.
#[derive(Clone, Debug)]
pub(crate) enum LimiterChoice {
    /// This gate.
    Local,
    /// Another gate.
    Remote(Peer),
    /// None of the gates that may do so is reachable.
    Unavailable,
}

/// A gate that the keepers no longer list.
#[derive(Clone, Debug)]
struct UnlistedGate {
    az: String,
    since: Instant,
}

/// A gate known to the keepers.
#[derive(Clone, Debug)]
struct Gate {
    name: String,
    az: String,
    /// Address of its link listener; `None` for this gate.
    address: Option<SocketAddr>,
    /// The link, if one was requested.
    peer: Option<Peer>,
    /// True if the link has ever been up.
    was_up: bool,
    /// When the link was requested.
    dialed_at: Option<Instant>,
    /// When the link was first found down after it had been up.
    lost_at: Option<Instant>,
}

impl Gate {
    /// Returns true if the gate is reachable or probably will be in a moment: a link that was just
    /// requested or just lost soon comes up. Choosing another gate in the meantime would make two
    /// gates collect for the same endpoints.
    fn is_usable(&self) -> bool {
        let is_within = |at: Option<Instant>, limit| at.is_some_and(|at| at.elapsed() < limit);
        match self.was_up {
            _ if self.is_reachable() => true,
            true => is_within(self.lost_at, REDIAL_TIMEOUT),
            false => is_within(self.dialed_at, DIAL_TIMEOUT),
        }
    }

    /// Updates the record of whether the link is up.
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

/// The gates. Clones share state.
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
    /// The last logged collector by service and availability zone.
    collectors: HashMap<(String, String), String>,
    /// True while this gate shuts down, so that other gates collect.
    is_leaving: bool,
    /// Gates that were listed before, by name.
    unlisted: BTreeMap<String, UnlistedGate>,
    /// Indices into `gates` by the seed of their order and availability zone, in the order in which
    /// they collect or grant permits.
    orders: HashMap<(String, String), Arc<[usize]>>,
}

impl GateTable {
    fn is_shared(&self) -> bool {
        self.gates.len() <= MAX_SHARED_GATES
    }

    /// Returns the gates that collect for `service` in `az`, in an order that all gates agree on.
    fn order(&mut self, service: &str, az: &str) -> Arc<[usize]> {
        let is_shared = self.is_shared();
        self.cached_order(service, az, |gate| is_shared || gate.az == az)
    }

    /// Returns the gates that may grant permits for the endpoints of `az`, in an order that all gates
    /// agree on: those of the zone, or all if it has none.
    fn limiter_order(&mut self, az: &str) -> Arc<[usize]> {
        let has_gates = self.has_gates(az);
        let scope = if has_gates { "zone" } else { "all" };
        let seed = format!("{LIMITER}/{scope}/{az}");
        self.cached_order(&seed, az, |gate| !has_gates || gate.az == az)
    }

    /// Returns the gates that satisfy `is_member`, ordered by a hash of `seed` and their names. The
    /// order is kept for `seed` and `az` until the gates change.
    fn cached_order(
        &mut self,
        seed: &str,
        az: &str,
        is_member: impl Fn(&Gate) -> bool,
    ) -> Arc<[usize]> {
        let key = (seed.to_owned(), az.to_owned());
        if let Some(order) = self.orders.get(&key) {
            return Arc::clone(order);
        }
        let rank = |gate: &Gate| xxh3_64(format!("{seed}/{}", gate.name).as_bytes());
        let gates = self.gates.iter().enumerate();
        let mut order: Vec<(u64, usize)> = gates
            .filter(|(_, gate)| is_member(gate))
            .map(|(index, gate)| (rank(gate), index))
            .collect();
        order.sort_unstable();
        let order: Arc<[usize]> = order.into_iter().map(|(_, index)| index).collect();
        self.orders.insert(key, Arc::clone(&order));
        order
    }

    /// Returns true if `az` has or recently had gates.
    fn has_gates(&self, az: &str) -> bool {
        self.gates.iter().any(|gate| gate.az == az)
            || self.recently_unlisted().any(|(_, gate)| gate.az == az)
    }

    fn recently_unlisted(&self) -> impl Iterator<Item = (&String, &UnlistedGate)> {
        let is_recent = |gate: &UnlistedGate| gate.since.elapsed() < SHARE_RETENTION;
        self.unlisted
            .iter()
            .filter(move |(_, gate)| is_recent(gate))
    }

    /// Records which gates are no longer listed compared with `before`.
    fn update_unlisted(&mut self, before: &[Gate]) {
        let since = Instant::now();
        for gate in before {
            let az = gate.az.clone();
            self.unlisted
                .insert(gate.name.clone(), UnlistedGate { az, since });
        }
        for gate in &self.gates {
            self.unlisted.remove(&gate.name);
        }
        self.unlisted
            .retain(|_, gate| gate.since.elapsed() < SHARE_RETENTION);
    }

    /// Logs a change of the gate that collects the items of `service` in `az`.
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
    /// Creates a table with only this gate.
    pub(crate) fn new(links: LinkConfig) -> Self {
        let links = LinkConfig {
            idle_timeout: LINK_SILENCE_TIMEOUT,
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

    /// Returns the number of gates, including this one.
    pub(crate) fn count(&self) -> usize {
        self.known().gates.len()
    }

    /// Returns how many gates collect items of one service at a time: one, or one in each
    /// availability zone.
    pub(crate) fn collectors(&self) -> usize {
        let known = self.known();
        if known.is_shared() {
            return 1;
        }
        let zones: BTreeSet<&str> = known.gates.iter().map(|gate| gate.az.as_str()).collect();
        zones.len()
    }

    /// Makes this gate collect only if no other gate does, because it shuts down.
    pub(crate) fn start_leaving(&self) {
        self.known().is_leaving = true;
    }

    /// Returns the links to other gates that are up.
    pub(crate) fn linked(&self) -> Vec<Peer> {
        let known = self.known();
        let peers = known.gates.iter().filter_map(|gate| gate.peer.as_ref());
        peers.filter(|peer| peer.is_connected()).cloned().collect()
    }

    /// Returns the other gates that are told of crashes: all of them, or where there are many the
    /// first usable ones in an order that all gates agree on, as far as the links are up.
    pub(crate) fn crash_observers(&self) -> Vec<Peer> {
        if self.known().is_shared() {
            return self.linked();
        }
        let mut known = self.known();
        let order = known.cached_order(CRASH_OBSERVER, "", |_| true);
        let mut peers = Vec::new();
        for index in order.iter() {
            let gate = &mut known.gates[*index];
            gate.update_link_state();
            gate.dial(&self.shared.links);
            if gate.is_usable() {
                peers.push(gate.peer.clone());
            }
            if peers.len() == CRASH_OBSERVERS {
                break;
            }
        }
        peers
            .into_iter()
            .flatten()
            .filter(Peer::is_connected)
            .collect()
    }

    /// This gate's availability zone.
    pub(crate) fn az(&self) -> &str {
        &self.shared.links.identity.az
    }

    /// Returns true if each availability zone collects its own items because there are many gates.
    pub(crate) fn collects_by_zone(&self) -> bool {
        !self.known().is_shared()
    }

    /// Applies the gates known to the keepers; links to gates that remain are kept.
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
        known.update_unlisted(&before);
        known.orders.clear();
        if known.is_shared() {
            known.gates.iter_mut().for_each(|gate| gate.dial(links));
        }
    }

    /// Returns the gate that grants permits for the endpoints of `az`: the first usable one in an
    /// order that all gates agree on.
    pub(crate) fn limiter_for(&self, az: &str) -> LimiterChoice {
        let mut known = self.known();
        let order = known.limiter_order(az);
        self.first_usable(&mut known, &order)
    }

    /// Returns the gate of this availability zone that chooses the endpoints of calls to `service` with
    /// prompts: the first usable one in an order that all gates agree on.
    pub(crate) fn placer_for(&self, service: &str) -> LimiterChoice {
        let az = self.az();
        let mut known = self.known();
        let seed = format!("{PLACER}/{service}");
        let order = known.cached_order(&seed, az, |gate| gate.az == az);
        self.first_usable(&mut known, &order)
    }

    fn first_usable(&self, known: &mut GateTable, order: &[usize]) -> LimiterChoice {
        let is_leaving = known.is_leaving;
        for index in order {
            let gate = &mut known.gates[*index];
            gate.update_link_state();
            gate.dial(&self.shared.links);
            if gate.is_usable() && !(is_leaving && gate.address.is_none()) {
                let peer = gate.peer.clone();
                return peer.map_or(LimiterChoice::Local, LimiterChoice::Remote);
            }
        }
        LimiterChoice::Unavailable
    }

    /// Returns the names of the gates with a share in the request rates of the endpoints of `az`:
    /// those of the zone, or all if it has none, including gates that the keepers listed recently.
    pub(crate) fn share_holders(&self, az: &str) -> Vec<String> {
        let known = self.known();
        let has_gates = known.has_gates(az);
        let is_holder = |gate_az: &str| !has_gates || gate_az == az;
        let listed = known.gates.iter().filter(|gate| is_holder(&gate.az));
        let unlisted = known
            .recently_unlisted()
            .filter(|(_, gate)| is_holder(&gate.az));
        let listed = listed.map(|gate| gate.name.clone());
        listed
            .chain(unlisted.map(|(name, _)| name.clone()))
            .collect()
    }

    /// Returns links to the other gates with a share in the request rates of the endpoints of `az`,
    /// as far as they are up.
    pub(crate) fn linked_share_holders(&self, az: &str) -> Vec<Peer> {
        let mut known = self.known();
        let has_gates = known.has_gates(az);
        let holders = known
            .gates
            .iter_mut()
            .filter(|gate| !has_gates || gate.az == az);
        let peers = holders.filter_map(|gate| {
            gate.dial(&self.shared.links);
            gate.peer.clone().filter(Peer::is_connected)
        });
        peers.collect()
    }

    /// Returns the availability zones in which links to gates had been up and all of them are down
    /// now.
    pub(crate) fn unreachable_zones(&self) -> BTreeSet<String> {
        let own_az = &self.shared.links.identity.az;
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
            .filter(|(az, (was_up, is_up))| *was_up && !is_up && az != own_az);
        unreachable.map(|(az, _)| az).collect()
    }

    /// Returns the gate that collects the items of `service` in `az`: the first usable one in an
    /// order that all gates agree on, after skipping `skip` usable gates.
    pub(crate) fn collector_for(&self, service: &str, az: &str, skip: usize) -> CollectorChoice {
        let mut known = self.known();
        let (is_shared, is_leaving) = (known.is_shared(), known.is_leaving);
        let order = known.order(service, az);
        let mut usable = 0;
        let mut chosen = None;
        for index in order.iter() {
            let gate = &mut known.gates[*index];
            gate.update_link_state();
            // Unreachable gates are skipped, and the next ones are dialed instead.
            if usable <= skip + STANDBY {
                gate.dial(&self.shared.links);
            }
            if !gate.is_usable() || is_leaving && gate.address.is_none() {
                continue;
            }
            usable += 1;
            if usable == skip + 1 {
                chosen.get_or_insert(*index);
            }
        }
        let Some(chosen) = chosen.map(|index| &known.gates[index]) else {
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
