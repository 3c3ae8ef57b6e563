//! The table's content, and the rules for replacing one announcement or delta by another.

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
    Announcement, Endpoint, EndpointState, LiveState, Load, ObservedRate, Readiness, TableConfig,
    cold, delta::Delta, departed::DepartedEndpoints,
};

/// Maximum time in transit of a delta, by which it understates the age of the last heartbeat.
const MAX_TRANSIT: Duration = Duration::from_secs(2);

/// Effect of an announcement or delta.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Applied {
    /// The endpoint is new, or something other than its load changed.
    Changed,
    /// It counts only as a heartbeat.
    Unchanged,
    /// It is older than the known state; nothing changed.
    Stale,
    /// A later incarnation is known; nothing changed.
    Superseded,
    /// The table is full; nothing changed.
    Full,
}

/// Where a change came from; determines the neighbours that it is forwarded to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Origin {
    /// The neighbour that pushed it, if any.
    pub(crate) neighbour: Option<String>,
    /// Number of neighbours that it is forwarded to, nearest on the ring first.
    pub(crate) reach: usize,
}

impl Origin {
    /// From the endpoint itself; forwarded to all neighbours.
    pub(crate) const ENDPOINT: Self = Self {
        neighbour: None,
        reach: usize::MAX,
    };
    /// From a comparison of tables; not forwarded, since other gates compare theirs.
    pub(crate) const COMPARISON: Self = Self {
        neighbour: None,
        reach: 0,
    };
}

/// An endpoint with its replication state.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Highest sequence number seen of this incarnation, including announcements that only changed
    /// the load.
    seen_seq: u64,
    /// Hash of the name; vitals are sent in this order.
    pub(crate) name_hash: u64,
    /// Hash of everything that gates must agree on.
    pub(crate) announcement_hash: u64,
    /// Hash of the fields that are constant during an endpoint's incarnation.
    pub(crate) identity: u64,
    /// True if the last change kept the identity and has no cold time, which compact deltas lack.
    keeps_identity: bool,
    /// The table's version at the last change visible to readers.
    version: u64,
    /// The table's version at the last change to be pushed to neighbours.
    push_version: u64,
    /// Where the last change came from.
    origin: Origin,
    /// State last published to readers.
    published_state: EndpointState,
}

impl Entry {
    /// Returns true if a compact delta suffices for neighbours that have the entry.
    pub(crate) fn keeps_identity(&self) -> bool {
        self.keeps_identity
    }
}

/// A removed endpoint.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Uuid,
    /// Sequence number of its last change, as carried by deltas.
    seq: u64,
    /// Highest sequence number seen.
    seen_seq: u64,
    last_heartbeat: Instant,
    created: Instant,
    version: u64,
}

/// State behind the table's lock.
#[derive(Debug)]
pub(crate) struct State {
    cfg: TableConfig,
    start: Instant,
    entries: BTreeMap<String, Entry>,
    tombstones: HashMap<String, Tombstone>,
    /// Endpoints that departed for good, up to and including an incarnation.
    departed: DepartedEndpoints,
    /// Names by the version of their last change visible to readers, including a change of state
    /// through missing heartbeats.
    change_log: BTreeMap<u64, String>,
    /// Names by the version of their last change to be pushed to neighbours.
    push_log: BTreeMap<u64, String>,
    version: u64,
    /// Version after which `tombstones` is complete.
    tombstones_since: u64,
    stale_services: BTreeSet<String>,
    /// When an invalid entry was logged last.
    invalid_logged_at: Option<Instant>,
}

/// Increment of the sequence number that marks a departure.
const DEPARTURE_SEQ_STEP: u64 = 1 << 32;
/// Shortest time between two log lines about invalid entries.
const INVALID_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Hashes an announcement without load and sequence number.
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

/// Identifies an endpoint in compact deltas: hash of name, service, zone, address and incarnation.
fn identity(a: &Announcement) -> u64 {
    xxh3_64(&link::encode(&(
        &a.endpoint,
        &a.service,
        &a.az,
        &a.address,
        a.incarnation,
    )))
}

/// Sort key of announcements; the greater one replaces the other. Only a faulty endpoint sends two
/// contents under one sequence number, and earlier versions pass it on without its cold time.
fn precedence(a: &Announcement) -> (Uuid, u64, bool, bool, u64) {
    let (is_leaving, is_cold) = (a.state == Readiness::Leaving, a.cold_left_ms > 0);
    (a.incarnation, a.seq, is_leaving, is_cold, content_hash(a))
}

impl Tombstone {
    /// Returns true if `delta`, with its last heartbeat at `last_heartbeat`, is not newer than the
    /// removal.
    fn supersedes(&self, delta: &Delta, last_heartbeat: Instant) -> bool {
        let a = &delta.announced;
        match (a.incarnation, a.seq).cmp(&(self.incarnation, self.seq)) {
            Ordering::Less => true,
            Ordering::Equal => last_heartbeat <= self.last_heartbeat + MAX_TRANSIT,
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
            departed: DepartedEndpoints::new(cfg),
            change_log: BTreeMap::new(),
            push_log: BTreeMap::new(),
            version: 0,
            tombstones_since: 0,
            stale_services: BTreeSet::new(),
            invalid_logged_at: None,
        }
    }

    /// Returns true if an invalid entry may be logged at `now`, and records that it was.
    pub(crate) fn may_log_invalid(&mut self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= INVALID_LOG_INTERVAL;
        let may_log = self.invalid_logged_at.is_none_or(is_due);
        if may_log {
            self.invalid_logged_at = Some(now);
        }
        may_log
    }

    /// Maximum number of endpoints of one service in a sample for another availability zone.
    pub(crate) fn max_remote_per_service(&self) -> usize {
        self.cfg.max_remote_per_service
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    pub(crate) fn endpoints_of_service(&self, service: &str) -> Vec<Arc<Endpoint>> {
        let is_of_service = |endpoint: &&Arc<Endpoint>| endpoint.announced.service == service;
        self.endpoints()
            .filter(is_of_service)
            .map(Arc::clone)
            .collect()
    }

    /// Returns the entries that neighbours have as well: those of the own availability zone, or all
    /// if the table spans zones.
    pub(crate) fn shared_entries(&self) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.values();
        entries.filter(|entry| self.is_shared(&entry.endpoint.announced))
    }

    fn is_shared(&self, a: &Announcement) -> bool {
        self.cfg.spans_zones || a.az == self.cfg.az
    }

    /// Returns the entries of availability zone `az`.
    pub(crate) fn entries_of_zone(&self, az: &str) -> impl Iterator<Item = &Entry> {
        let is_of_zone = move |entry: &&Entry| entry.endpoint.announced.az == az;
        self.entries.values().filter(is_of_zone)
    }

    pub(crate) fn take_stale_services(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.stale_services)
    }

    /// Applies an announcement received directly from an endpoint.
    pub(crate) fn announce(&mut self, mut a: Announcement, now: Instant) -> Applied {
        if self.departed.has_departed(&a) {
            return Applied::Stale;
        }
        if let Some(tombstone) = self.tombstones.get(&a.endpoint) {
            match (a.incarnation, a.seq) {
                (incarnation, _) if incarnation < tombstone.incarnation => {
                    return Applied::Superseded;
                }
                key if key <= (tombstone.incarnation, tombstone.seen_seq) => return Applied::Stale,
                _ => {}
            }
        }
        let Some(entry) = self.entries.get_mut(&a.endpoint) else {
            let cold_until = cold::announced_until(&a, now);
            return self.insert(a, now, &Origin::ENDPOINT, cold_until);
        };
        let known = &entry.endpoint.announced;
        let (cold_until, is_same_cold_time) = cold::carry_over(&mut a, &entry.endpoint, now);
        match (a.incarnation, a.seq) {
            (incarnation, _) if incarnation < known.incarnation => Applied::Superseded,
            key if key <= (known.incarnation, entry.seen_seq) => Applied::Stale,
            (incarnation, seq)
                if incarnation == known.incarnation
                    && is_same_cold_time
                    && content_hash(&a) == content_hash(known) =>
            {
                entry.seen_seq = seq;
                entry.endpoint.live.record_heartbeat(now);
                Applied::Unchanged
            }
            _ => self.replace(a, now, &Origin::ENDPOINT, cold_until),
        }
    }

    /// Applies a delta received from a neighbour.
    pub(crate) fn merge(&mut self, delta: Delta, now: Instant, origin: &Origin) -> Applied {
        if self.departed.has_departed(&delta.announced) {
            return Applied::Stale;
        }
        let last_heartbeat = now.checked_sub(delta.age).unwrap_or(now);
        let tombstone = self.tombstones.get(&delta.announced.endpoint);
        if tombstone.is_some_and(|tombstone| tombstone.supersedes(&delta, last_heartbeat)) {
            return Applied::Stale;
        }
        let a = delta.announced;
        let cold_until = delta.cold_left.map(|left| now + left.min(cold::MAX_COLD));
        let Some(entry) = self.entries.get_mut(&a.endpoint) else {
            return match delta.age >= self.cfg.remove_after {
                true => Applied::Stale,
                false => self.insert(a, last_heartbeat, origin, cold_until),
            };
        };
        let known = &entry.endpoint.announced;
        let is_same_incarnation = a.incarnation == known.incarnation;
        match precedence(&a).cmp(&precedence(known)) {
            Ordering::Less => Applied::Stale,
            Ordering::Equal => {
                entry.endpoint.live.record_heartbeat(last_heartbeat);
                Applied::Unchanged
            }
            // A later announcement arrived here directly: publish that in place of the delta.
            Ordering::Greater if is_same_incarnation && a.seq < entry.seen_seq => {
                let newer = Announcement {
                    seq: entry.seen_seq,
                    ..known.clone()
                };
                let cold_until = entry.endpoint.cold_until;
                self.replace(newer, last_heartbeat, &Origin::ENDPOINT, cold_until)
            }
            Ordering::Greater => self.replace(a, last_heartbeat, origin, cold_until),
        }
    }

    fn insert(
        &mut self,
        a: Announcement,
        last_heartbeat: Instant,
        origin: &Origin,
        cold_until: Option<Instant>,
    ) -> Applied {
        if self.entries.len() >= self.cfg.max_endpoints {
            return Applied::Full;
        }
        self.tombstones.remove(&a.endpoint);
        let live = Arc::new(LiveState::new(self.start, last_heartbeat));
        self.put(a, live, 0, origin, cold_until)
    }

    fn replace(
        &mut self,
        a: Announcement,
        last_heartbeat: Instant,
        origin: &Origin,
        cold_until: Option<Instant>,
    ) -> Applied {
        let known = &self.entries[&a.endpoint];
        let is_same_incarnation = known.endpoint.announced.incarnation == a.incarnation;
        let live = match is_same_incarnation {
            true => Arc::clone(&known.endpoint.live),
            false => Arc::new(LiveState::new(self.start, last_heartbeat)),
        };
        let seen_seq = if is_same_incarnation {
            known.seen_seq
        } else {
            0
        };
        let service = known.endpoint.announced.service.clone();
        live.record_heartbeat(last_heartbeat);
        self.stale_services.insert(service);
        self.put(a, live, seen_seq, origin, cold_until)
    }

    fn put(
        &mut self,
        a: Announcement,
        live: Arc<LiveState>,
        seen_seq: u64,
        origin: &Origin,
        cold_until: Option<Instant>,
    ) -> Applied {
        let name = a.endpoint.clone();
        self.stale_services.insert(a.service.clone());
        let identity = identity(&a);
        let known = self.entries.get(&name);
        let entry = Entry {
            seen_seq: seen_seq.max(a.seq),
            keeps_identity: cold_until.is_none()
                && known.is_some_and(|known| {
                    known.identity == identity && known.endpoint.cold_until.is_none()
                }),
            identity,
            name_hash: xxh3_64(name.as_bytes()),
            announcement_hash: announcement_hash(&a),
            version: 0,
            push_version: 0,
            origin: origin.clone(),
            published_state: EndpointState::Ready,
            endpoint: Arc::new(Endpoint {
                announced: a,
                live,
                suspect_after: self.cfg.suspect_after,
                cold_until,
            }),
        };
        let old = self.entries.insert(name.clone(), entry);
        if let Some(old) = old {
            self.change_log.remove(&old.version);
            self.push_log.remove(&old.push_version);
        }
        let version = self.record_change(&name);
        self.push_log.insert(version, name.clone());
        let entry = self.entries.get_mut(&name).expect("inserted above");
        entry.version = version;
        entry.push_version = version;
        Applied::Changed
    }

    fn record_change(&mut self, name: &str) -> u64 {
        self.version += 1;
        self.change_log.insert(self.version, name.to_owned());
        self.version
    }

    /// Returns the last announcement of `endpoint`.
    pub(crate) fn announced(&self, endpoint: &str) -> Option<&Announcement> {
        let entry = self.entries.get(endpoint)?;
        Some(&entry.endpoint.announced)
    }

    /// Records that `incarnation` of `endpoint` and all earlier ones have departed.
    pub(crate) fn depart(&mut self, endpoint: &str, incarnation: Uuid, now: Instant) {
        if !self.departed.record(endpoint, incarnation, now) {
            return;
        }
        let known = self.announced(endpoint);
        if known.is_some_and(|a| self.departed.has_departed(a)) {
            self.mark_leaving(endpoint, now);
        }
    }

    /// Marks a known endpoint as leaving for the rest of its incarnation.
    pub(crate) fn mark_leaving(&mut self, endpoint: &str, now: Instant) {
        let Some(entry) = self.entries.get(endpoint) else {
            return;
        };
        let known = entry.endpoint.announced.clone();
        let cold_until = entry.endpoint.cold_until;
        let cold_left = cold_until.map(|until| until.saturating_duration_since(now));
        let last = Announcement {
            state: Readiness::Leaving,
            cold_left_ms: cold_left.map_or(0, |left| left.as_millis() as u64),
            // Announcements in transit have lower sequence numbers.
            seq: known.seq.saturating_add(DEPARTURE_SEQ_STEP),
            ..known
        };
        self.announce(last, now);
    }

    /// Records the load that an endpoint announced.
    pub(crate) fn report_load(&mut self, endpoint: &str, calls: u32, at: Instant) {
        if let Some(entry) = self.entries.get(endpoint) {
            entry.endpoint.live.report(calls, at);
        }
    }

    /// Removes expired endpoints, records changes between ready and suspect, and drops expired
    /// tombstones.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let remove_after = self.cfg.remove_after;
        let is_expired = |e: &&Entry| e.endpoint.live.silence(now) >= remove_after;
        let expired: Vec<Entry> = self.entries.values().filter(is_expired).cloned().collect();
        for entry in expired {
            self.expire(&entry, now);
        }
        let changed: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.endpoint.state(now) != entry.published_state)
            .map(|(name, _)| name.clone())
            .collect();
        for name in changed {
            self.publish_entry(&name, now);
        }
        self.drop_old_tombstones(now);
        self.departed.drop_old(now);
    }

    /// Records a request rate that an incarnation of an endpoint named. Returns true if it changed.
    pub(crate) fn note_rate(
        &mut self,
        endpoint: &str,
        incarnation: Uuid,
        observed: ObservedRate,
        now: Instant,
    ) -> bool {
        let entry = self.entries.get(endpoint);
        let entry = entry.filter(|e| e.endpoint.announced.incarnation == incarnation);
        let is_changed = entry.is_some_and(|entry| entry.endpoint.live.record_rate(observed));
        if is_changed {
            self.publish_entry(endpoint, now);
        }
        is_changed
    }

    /// Makes a change of the state of `name` visible to readers; neighbours are not told.
    fn publish_entry(&mut self, name: &str, now: Instant) {
        let version = self.version + 1;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.published_state = entry.endpoint.state(now);
        let old = std::mem::replace(&mut entry.version, version);
        self.change_log.remove(&old);
        self.record_change(name);
    }

    fn expire(&mut self, entry: &Entry, now: Instant) {
        let a = &entry.endpoint.announced;
        self.entries.remove(&a.endpoint);
        self.change_log.remove(&entry.version);
        self.push_log.remove(&entry.push_version);
        self.stale_services.insert(a.service.clone());
        let version = self.record_change(&a.endpoint);
        let tombstone = Tombstone {
            incarnation: a.incarnation,
            seq: a.seq,
            seen_seq: entry.seen_seq,
            last_heartbeat: now
                .checked_sub(entry.endpoint.live.silence(now))
                .unwrap_or(now),
            created: now,
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
        self.change_log.remove(&version);
        self.tombstones_since = self.tombstones_since.max(version);
    }

    fn drop_old_tombstones(&mut self, now: Instant) {
        let retention = self.cfg.tombstone_retention;
        let mut tombstones_since = self.tombstones_since;
        let change_log = &mut self.change_log;
        self.tombstones.retain(|_, tombstone| {
            let is_kept = now.saturating_duration_since(tombstone.created) < retention;
            if !is_kept {
                tombstones_since = tombstones_since.max(tombstone.version);
                change_log.remove(&tombstone.version);
            }
            is_kept
        });
        self.tombstones_since = tombstones_since;
    }

    /// Returns the entries changed after `version` that are to be pushed to `neighbour`, which is at
    /// `position` among the active neighbours.
    ///
    /// A change is forwarded along a tree over the ring, so that each gate gets it about once. Only
    /// a departure goes to all neighbours of all gates, so that it arrives even if some are down.
    pub(crate) fn unsent(
        &self,
        version: u64,
        neighbour: &str,
        position: usize,
    ) -> impl Iterator<Item = &Entry> {
        let is_due = move |entry: &&Entry| {
            let a = &entry.endpoint.announced;
            let is_forwarded = position < entry.origin.reach || a.state == Readiness::Leaving;
            self.is_shared(a)
                && is_forwarded
                && entry.origin.neighbour.as_deref() != Some(neighbour)
        };
        self.push_log
            .range(version + 1..)
            .filter_map(|(_, name)| self.entries.get(name))
            .filter(is_due)
    }

    /// Returns the shared entry with `identity`.
    pub(crate) fn entry_by_identity(&self, identity: u64) -> Option<&Entry> {
        self.shared_entries().find(|e| e.identity == identity)
    }

    /// Returns the endpoints that changed and the names of those removed after `version`; `None` if
    /// the table no longer knows all of them.
    pub(crate) fn changes_since(&self, version: u64) -> Option<(Vec<Arc<Endpoint>>, Vec<String>)> {
        if version < self.tombstones_since || version > self.version {
            return None;
        }
        let mut changed = Vec::new();
        let mut departed = Vec::new();
        for name in self.change_log.range(version + 1..).map(|(_, name)| name) {
            match self.entries.get(name) {
                Some(entry) => changed.push(Arc::clone(&entry.endpoint)),
                None => departed.push(name.clone()),
            }
        }
        Some((changed, departed))
    }
}
