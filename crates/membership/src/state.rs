//! The table's content and the rules by which one announcement or delta replaces another.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Announcement, Endpoint, EndpointState, LiveState, Load, Readiness, TableConfig, delta::Delta,
};

/// A delta on its way makes its endpoint seem this much younger at most.
const MAX_TRANSIT: Duration = Duration::from_secs(2);

/// What an announcement or a delta did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Applied {
    /// The endpoint is new, or something but its load changed.
    Changed,
    /// Only a sign of life.
    Unchanged,
    /// It is older than what is known; nothing changed.
    Old,
    /// A later incarnation is known; nothing changed.
    Superseded,
    /// The table is full; nothing changed.
    Full,
}

/// How a change came to this gate, which decides to which neighbours it goes on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Origin {
    /// The neighbour that told it, if any.
    pub(crate) neighbour: Option<String>,
    /// It goes on to so many neighbours, the nearest on the ring first.
    pub(crate) reach: usize,
}

impl Origin {
    /// From the endpoint itself: it goes on to all neighbours.
    pub(crate) const ENDPOINT: Self = Self {
        neighbour: None,
        reach: usize::MAX,
    };
    /// From a comparison of tables: others find it by their own.
    pub(crate) const COMPARISON: Self = Self {
        neighbour: None,
        reach: 0,
    };
}

/// An endpoint and what the spread needs to know of it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) endpoint: Arc<Endpoint>,
    /// The highest sequence number seen of this incarnation, which may carry nothing but load.
    seen_seq: u64,
    /// Hash of the name; the order in which vitals are sent.
    pub(crate) name_hash: u64,
    /// Hash of everything that two gates must agree on.
    pub(crate) announcement_hash: u64,
    /// Hash of what an endpoint keeps for its life.
    pub(crate) identity: u64,
    /// Whether the last change left its identity as it was.
    is_renewal: bool,
    /// The table's version at the last change that readers see.
    version: u64,
    /// The table's version at the last change that neighbours need to hear of.
    pushed: u64,
    /// How the last change came here.
    origin: Origin,
    /// What readers were last told.
    told: EndpointState,
}

impl Entry {
    /// Whether neighbours that hold it need only be told what changed.
    pub(crate) fn is_renewal(&self) -> bool {
        self.is_renewal
    }
}

/// A departed endpoint.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Uuid,
    /// The number of its last change, as deltas carry it.
    seq: u64,
    /// The highest number seen.
    seen_seq: u64,
    heard: Instant,
    since: Instant,
    version: u64,
}

/// What the table's lock guards.
#[derive(Debug)]
pub(crate) struct State {
    cfg: TableConfig,
    start: Instant,
    entries: BTreeMap<String, Entry>,
    tombstones: HashMap<String, Tombstone>,
    /// Names by the version of their last change that readers see, silence among them.
    log: BTreeMap<u64, String>,
    /// Names by the version of their last change that neighbours need to hear of.
    pushes: BTreeMap<u64, String>,
    version: u64,
    /// The version from which `tombstones` is complete.
    horizon: u64,
    stale: BTreeSet<String>,
}

/// What differs between two announcements besides load, order and signs of life.
fn content_hash(a: &Announcement) -> u64 {
    let content = Announcement {
        load: Load::default(),
        seq: 0,
        ..a.clone()
    };
    xxh3_64(&link::encode(&content))
}

fn announcement_hash(a: &Announcement) -> u64 {
    let mut bytes = content_hash(a).to_le_bytes().to_vec();
    bytes.extend(a.incarnation.as_bytes());
    bytes.extend(a.seq.to_le_bytes());
    xxh3_64(&bytes)
}

/// What stands for an endpoint in brief deltas: name, service, place and incarnation.
fn identity(a: &Announcement) -> u64 {
    xxh3_64(&link::encode(&(
        &a.endpoint,
        &a.service,
        &a.az,
        &a.address,
        a.incarnation,
    )))
}

/// Which of two announcements replaces the other. Only a faulty endpoint sends two contents under
/// one number; leaving then wins, so that all gates end with the same.
fn order(a: &Announcement) -> (Uuid, u64, bool, u64) {
    let is_leaving = a.state == Readiness::Leaving;
    (a.incarnation, a.seq, is_leaving, content_hash(a))
}

impl Tombstone {
    /// Whether `delta`, last heard at `heard`, tells nothing that came after the departure.
    fn outdates(&self, delta: &Delta, heard: Instant) -> bool {
        let a = &delta.announced;
        match (a.incarnation, a.seq).cmp(&(self.incarnation, self.seq)) {
            Ordering::Less => true,
            Ordering::Equal => heard <= self.heard + MAX_TRANSIT,
            Ordering::Greater => false,
        }
    }
}

impl State {
    pub(crate) fn new(cfg: &TableConfig, start: Instant) -> Self {
        Self {
            cfg: cfg.clone(),
            start,
            entries: BTreeMap::new(),
            tombstones: HashMap::new(),
            log: BTreeMap::new(),
            pushes: BTreeMap::new(),
            version: 0,
            horizon: 0,
            stale: BTreeSet::new(),
        }
    }

    /// Most endpoints of one service that another availability zone is told of.
    pub(crate) fn max_remote_per_service(&self) -> usize {
        self.cfg.max_remote_per_service
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    pub(crate) fn of_service(&self, service: &str) -> Vec<Arc<Endpoint>> {
        let of_it = |endpoint: &&Arc<Endpoint>| endpoint.announced.service == service;
        self.endpoints().filter(of_it).map(Arc::clone).collect()
    }

    /// The endpoints that neighbours hold as well: those of the own availability zone, or all where
    /// the table spans them.
    pub(crate) fn shared_entries(&self) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.values();
        entries.filter(|entry| self.is_shared(&entry.endpoint.announced))
    }

    fn is_shared(&self, a: &Announcement) -> bool {
        self.cfg.spans_zones || a.az == self.cfg.az
    }

    /// The endpoints of availability zone `az`.
    pub(crate) fn entries_of(&self, az: &str) -> impl Iterator<Item = &Entry> {
        let is_of_it = move |entry: &&Entry| entry.endpoint.announced.az == az;
        self.entries.values().filter(is_of_it)
    }

    pub(crate) fn take_stale_services(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.stale)
    }

    /// Takes what came directly from an endpoint.
    pub(crate) fn announce(&mut self, a: Announcement, now: Instant) -> Applied {
        if let Some(tombstone) = self.tombstones.get(&a.endpoint) {
            match (a.incarnation, a.seq) {
                (incarnation, _) if incarnation < tombstone.incarnation => {
                    return Applied::Superseded;
                }
                at if at <= (tombstone.incarnation, tombstone.seen_seq) => return Applied::Old,
                _ => {}
            }
        }
        let Some(entry) = self.entries.get_mut(&a.endpoint) else {
            return self.insert(a, now, &Origin::ENDPOINT);
        };
        let known = &entry.endpoint.announced;
        match (a.incarnation, a.seq) {
            (incarnation, _) if incarnation < known.incarnation => Applied::Superseded,
            at if at <= (known.incarnation, entry.seen_seq) => Applied::Old,
            (incarnation, seq)
                if incarnation == known.incarnation && content_hash(&a) == content_hash(known) =>
            {
                entry.seen_seq = seq;
                entry.endpoint.live.record_heartbeat(now);
                Applied::Unchanged
            }
            _ => self.replace(a, now, &Origin::ENDPOINT),
        }
    }

    /// Takes what a neighbour told.
    pub(crate) fn merge(&mut self, delta: Delta, now: Instant, origin: &Origin) -> Applied {
        let heard = now.checked_sub(delta.age).unwrap_or(now);
        let tombstone = self.tombstones.get(&delta.announced.endpoint);
        if tombstone.is_some_and(|tombstone| tombstone.outdates(&delta, heard)) {
            return Applied::Old;
        }
        let a = delta.announced;
        let Some(entry) = self.entries.get_mut(&a.endpoint) else {
            return match delta.age >= self.cfg.remove_after {
                true => Applied::Old,
                false => self.insert(a, heard, origin),
            };
        };
        let known = &entry.endpoint.announced;
        let is_same_life = a.incarnation == known.incarnation;
        match order(&a).cmp(&order(known)) {
            Ordering::Less => Applied::Old,
            Ordering::Equal => {
                entry.endpoint.live.record_heartbeat(heard);
                Applied::Unchanged
            }
            // What the endpoint said here directly is later than the delta: say so in its place.
            Ordering::Greater if is_same_life && a.seq < entry.seen_seq => {
                let newer = Announcement {
                    seq: entry.seen_seq,
                    ..known.clone()
                };
                self.replace(newer, heard, &Origin::ENDPOINT)
            }
            Ordering::Greater => self.replace(a, heard, origin),
        }
    }

    fn insert(&mut self, a: Announcement, heard: Instant, origin: &Origin) -> Applied {
        if self.entries.len() >= self.cfg.max_endpoints {
            return Applied::Full;
        }
        self.tombstones.remove(&a.endpoint);
        let live = Arc::new(LiveState::new(self.start, heard));
        self.put(a, live, 0, origin)
    }

    fn replace(&mut self, a: Announcement, heard: Instant, origin: &Origin) -> Applied {
        let known = &self.entries[&a.endpoint];
        let is_same_life = known.endpoint.announced.incarnation == a.incarnation;
        let live = match is_same_life {
            true => Arc::clone(&known.endpoint.live),
            false => Arc::new(LiveState::new(self.start, heard)),
        };
        let seen_seq = if is_same_life { known.seen_seq } else { 0 };
        let service = known.endpoint.announced.service.clone();
        live.record_heartbeat(heard);
        self.stale.insert(service);
        self.put(a, live, seen_seq, origin)
    }

    fn put(
        &mut self,
        a: Announcement,
        live: Arc<LiveState>,
        seen_seq: u64,
        origin: &Origin,
    ) -> Applied {
        let name = a.endpoint.clone();
        self.stale.insert(a.service.clone());
        let identity = identity(&a);
        let known = self.entries.get(&name);
        let entry = Entry {
            seen_seq: seen_seq.max(a.seq),
            is_renewal: known.is_some_and(|known| known.identity == identity),
            identity,
            name_hash: xxh3_64(name.as_bytes()),
            announcement_hash: announcement_hash(&a),
            version: 0,
            pushed: 0,
            origin: origin.clone(),
            told: EndpointState::Ready,
            endpoint: Arc::new(Endpoint {
                announced: a,
                live,
                suspect_after: self.cfg.suspect_after,
            }),
        };
        let old = self.entries.insert(name.clone(), entry);
        if let Some(old) = old {
            self.log.remove(&old.version);
            self.pushes.remove(&old.pushed);
        }
        let version = self.record(&name);
        self.pushes.insert(version, name.clone());
        let entry = self.entries.get_mut(&name).expect("it was just inserted");
        entry.version = version;
        entry.pushed = version;
        Applied::Changed
    }

    fn record(&mut self, name: &str) -> u64 {
        self.version += 1;
        self.log.insert(self.version, name.to_owned());
        self.version
    }

    /// Takes an endpoint's own load report.
    pub(crate) fn report(&mut self, endpoint: &str, calls: u32, at: Instant) {
        if let Some(entry) = self.entries.get(endpoint) {
            entry.endpoint.live.report(calls, at);
        }
    }

    /// Removes endpoints that are gone, notes those that fell silent or spoke again, and drops
    /// tombstones that are old enough.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let remove_after = self.cfg.remove_after;
        let is_gone = |e: &&Entry| e.endpoint.live.silence(now) >= remove_after;
        let gone: Vec<Entry> = self.entries.values().filter(is_gone).cloned().collect();
        for entry in gone {
            self.bury(&entry, now);
        }
        let turned: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.endpoint.state(now) != entry.told)
            .map(|(name, _)| name.clone())
            .collect();
        for name in turned {
            let version = self.version + 1;
            let entry = self.entries.get_mut(&name).expect("it was just seen");
            entry.told = entry.endpoint.state(now);
            let old = std::mem::replace(&mut entry.version, version);
            self.log.remove(&old);
            self.record(&name);
        }
        self.drop_old_tombstones(now);
    }

    fn bury(&mut self, entry: &Entry, now: Instant) {
        let a = &entry.endpoint.announced;
        self.entries.remove(&a.endpoint);
        self.log.remove(&entry.version);
        self.pushes.remove(&entry.pushed);
        self.stale.insert(a.service.clone());
        let version = self.record(&a.endpoint);
        let tombstone = Tombstone {
            incarnation: a.incarnation,
            seq: a.seq,
            seen_seq: entry.seen_seq,
            heard: now
                .checked_sub(entry.endpoint.live.silence(now))
                .unwrap_or(now),
            since: now,
            version,
        };
        if self.tombstones.len() >= self.cfg.max_endpoints {
            self.drop_oldest_tombstone();
        }
        self.tombstones.insert(a.endpoint.clone(), tombstone);
    }

    fn drop_oldest_tombstone(&mut self) {
        let oldest = self.tombstones.iter().min_by_key(|(_, t)| t.version);
        let Some((name, version)) = oldest.map(|(name, t)| (name.clone(), t.version)) else {
            return;
        };
        self.tombstones.remove(&name);
        self.log.remove(&version);
        self.horizon = self.horizon.max(version);
    }

    fn drop_old_tombstones(&mut self, now: Instant) {
        let kept = self.cfg.tombstone_retention;
        let mut horizon = self.horizon;
        let log = &mut self.log;
        self.tombstones.retain(|_, tombstone| {
            let is_kept = now.saturating_duration_since(tombstone.since) < kept;
            if !is_kept {
                horizon = horizon.max(tombstone.version);
                log.remove(&tombstone.version);
            }
            is_kept
        });
        self.horizon = horizon;
    }

    /// What `neighbour`, the one at place `at` along the ring, has not been pushed since `version`.
    ///
    /// A change goes along a tree over the ring, so that each gate gets it about once; only a
    /// departure goes to all neighbours of all gates, whichever of them is down.
    pub(crate) fn unsent(
        &self,
        version: u64,
        neighbour: &str,
        at: usize,
    ) -> impl Iterator<Item = &Entry> {
        let is_meant = move |entry: &&Entry| {
            let a = &entry.endpoint.announced;
            let is_reached = at < entry.origin.reach || a.state == Readiness::Leaving;
            self.is_shared(a) && is_reached && entry.origin.neighbour.as_deref() != Some(neighbour)
        };
        self.pushes
            .range(version + 1..)
            .filter_map(|(_, name)| self.entries.get(name))
            .filter(is_meant)
    }

    /// The endpoint of this availability zone with `identity`.
    pub(crate) fn of_identity(&self, identity: u64) -> Option<&Entry> {
        self.shared_entries().find(|e| e.identity == identity)
    }

    /// Endpoints that changed, and names of those that departed, after `version`; `None` where
    /// the table no longer knows all of them.
    pub(crate) fn since(&self, version: u64) -> Option<(Vec<Arc<Endpoint>>, Vec<String>)> {
        if version < self.horizon || version > self.version {
            return None;
        }
        let mut changed = Vec::new();
        let mut departed = Vec::new();
        for name in self.log.range(version + 1..).map(|(_, name)| name) {
            match self.entries.get(name) {
                Some(entry) => changed.push(Arc::clone(&entry.endpoint)),
                None => departed.push(name.clone()),
            }
        }
        Some((changed, departed))
    }
}
