//! Finds the part of prompts under which endpoints crash.
//!
//! All calls in flight at an endpoint that crashes are suspects, and so are the parts of their
//! prompts. A part is the culprit once enough crashes have it in common while no answer with it has
//! ended well. A crash that is explained by a known culprit counts against no other part.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 64;
/// Time after which a crash no longer counts.
const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of parts of one suspect.
const MAX_PARTS: usize = 64;
/// Reports of one endpoint within this time are about the same crash.
const SAME_CRASH: Duration = Duration::from_secs(2);
/// Crashes closer together count once for a part, since a rack that loses power crashes all its
/// endpoints at once, whatever their requests.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Weight of a crash for a part of a request whose answer had begun.
const BEGUN_WEIGHT: u32 = 2;
/// The same if the answer had not begun.
const WAITING_WEIGHT: u32 = 1;
/// Minimum number of crashes of a culprit.
const MIN_CRASHES: u32 = 3;
/// Number of crashes that suffice for a part that was in flight in almost all of them.
const MAX_CRASHES_NEEDED: u32 = 6;
/// Share of the crashes that counts as almost all.
const ALMOST_ALL: f64 = 0.8;
/// Accepted probability that any part meets the crashes of a culprit by chance.
const MAX_CHANCE: f64 = 1e-4;
/// Number of lost requests assumed before any is seen, so that a process that has just started needs
/// more crashes.
const PRIOR_LOSSES: f64 = 4.0;
/// Time over which good and lost answers are counted to estimate that probability.
const RATE_WINDOW: Duration = Duration::from_mins(1);
/// Length of one counting interval.
const RATE_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the crashes that make a part a suspect.
const SUSPECT_WEIGHT: u32 = 3;
/// Factor of all weights for a part that was answered well within `GOOD_RECENCY` before the first
/// of the crashes.
const KNOWN_GOOD_FACTOR: u32 = 2;
/// How recent a good answer has to be to count in favour of its parts.
const GOOD_RECENCY: Duration = Duration::from_mins(1);
/// Number of parts whose last good answer is remembered.
const MAX_GOOD_PARTS: usize = 4_096;
/// Crashes of a culprit hit at least this number of addresses, or all of the service, so that one
/// broken machine blames no part.
const MIN_ADDRESSES: usize = 3;

/// A call that was in flight at an endpoint when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Id of the request.
    pub request: String,
    /// Hashes of the parts that other requests may share: all but the last.
    pub parts: Vec<u64>,
    /// True if the endpoint had begun to answer.
    pub has_begun: bool,
}

/// The crash of an endpoint, as one gate saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Name of the endpoint's incarnation.
    pub endpoint: String,
    /// Its address.
    pub address: SocketAddr,
    /// Time of the crash.
    pub at: Instant,
    /// The gate's calls that were in flight there.
    pub suspects: Vec<Suspect>,
}

/// A part under which endpoints crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// Hash of the part.
    pub part: u64,
    /// Number of crashes that count against it.
    pub crashes: u32,
    /// The endpoints that crashed.
    pub endpoints: Vec<String>,
    /// Requests with the part that were in flight there.
    pub requests: Vec<String>,
    /// Time of the first of the crashes.
    pub since: Instant,
}

/// Crashes of endpoints and good answers, from which culprits are found.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Ordered by time.
    crashes: VecDeque<StoredCrash>,
    last_good: HashMap<u64, Instant>,
    /// Good answers by the start of their interval, in order.
    good_counts: VecDeque<(Instant, u32)>,
    /// Culprits that are known and therefore explain crashes.
    known: BTreeSet<u64>,
}

#[derive(Debug)]
struct StoredCrash {
    endpoint: String,
    address: SocketAddr,
    at: Instant,
    /// Suspects by request; the value is true if an answer had begun.
    requests: BTreeMap<String, bool>,
    /// Requests by part.
    parts: HashMap<u64, BTreeSet<String>>,
    is_explained: bool,
}

/// Crashes that count against one part.
#[derive(Debug, Default)]
struct Case<'a> {
    crashes: Vec<&'a StoredCrash>,
    requests: BTreeSet<&'a str>,
    weight: u32,
    is_known_good: bool,
    /// Answers that had begun beyond the one that each crash needs; the others did no harm.
    harmless: usize,
}

impl CrashEvidence {
    /// Records a good answer to a request with `parts`: a complete one, or a stream that goes on long
    /// after its first part.
    pub fn record_good(&mut self, parts: &[u64], at: Instant) {
        for part in parts.iter().take(MAX_PARTS) {
            let last = self.last_good.entry(*part).or_insert(at);
            *last = (*last).max(at);
        }
        if self.last_good.len() > MAX_GOOD_PARTS {
            self.drop_old_good();
        }
        match self.good_counts.back_mut() {
            Some((since, count)) if at.saturating_duration_since(*since) < RATE_INTERVAL => {
                *count += 1;
            }
            _ => self.good_counts.push_back((at, 1)),
        }
        let is_old =
            |(since, _): &mut (Instant, u32)| at.saturating_duration_since(*since) > RATE_WINDOW;
        while self.good_counts.pop_front_if(is_old).is_some() {}
    }

    /// Records a crash. Reports of the same crash from several gates are merged.
    pub fn record_crash(&mut self, crash: Crash) {
        let is_same = |c: &&mut StoredCrash| {
            let apart = crash.at.max(c.at) - crash.at.min(c.at);
            c.endpoint == crash.endpoint && c.address == crash.address && apart < SAME_CRASH
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            known.add(crash.suspects, &self.known);
            return;
        }
        let mut stored = StoredCrash {
            endpoint: crash.endpoint,
            address: crash.address,
            at: crash.at,
            requests: BTreeMap::new(),
            parts: HashMap::new(),
            is_explained: false,
        };
        stored.add(crash.suspects, &self.known);
        let index = self.crashes.partition_point(|c| c.at <= stored.at);
        self.crashes.insert(index, stored);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Returns the part that accounts best for the crashes, if there is enough evidence against any.
    /// `endpoints` is the number of endpoints of the service.
    pub fn culprit(&self, endpoints: usize, now: Instant) -> Option<Culprit> {
        let min_addresses = MIN_ADDRESSES.min(endpoints).max(1);
        let open = self.open_crashes(now);
        let parts: BTreeSet<u64> = open
            .iter()
            .flat_map(|crash| crash.parts.keys().copied())
            .collect();
        let candidates = parts.len();
        let cases = parts.into_iter().filter_map(|part| {
            let case = self.case(part, now);
            let since = case.crashes.first()?.at;
            let all = open.iter().filter(|crash| crash.at >= since).count();
            let chance = self.chance_of_loss(part, &open, now);
            let needed = crashes_needed(chance, candidates);
            let is_in_almost_all = case.crashes.len() as f64 >= all as f64 * ALMOST_ALL;
            let needed = match is_in_almost_all {
                true => needed.min(MAX_CRASHES_NEEDED),
                false => needed,
            };
            let is_culprit =
                case.is_reached(needed * BEGUN_WEIGHT) && case.addresses() >= min_addresses;
            let missed = all - case.crashes.len();
            is_culprit.then_some((missed + case.harmless, part, case))
        });
        // The culprit is in all crashes since its first one, and each of its answers ended an endpoint.
        let (_, part, case) = cases.min_by_key(|(unaccounted, ..)| *unaccounted)?;
        Some(Culprit {
            part,
            crashes: case.crashes.len() as u32,
            endpoints: case.crashes.iter().map(|c| c.endpoint.clone()).collect(),
            requests: case.requests.iter().map(|id| (*id).to_owned()).collect(),
            since: case.crashes[0].at,
        })
    }

    /// Returns true if several crashes speak against one of `parts`, and no good answer for it.
    pub fn is_suspect(&self, parts: &[u64], now: Instant) -> bool {
        let mut shared = parts.iter().take(MAX_PARTS);
        !self.crashes.is_empty()
            && shared.any(|part| {
                let case = self.case(*part, now);
                case.crashes.len() > 1 && case.is_reached(SUSPECT_WEIGHT)
            })
    }

    /// Returns when an answer to a request with `part` last ended well.
    pub fn last_good(&self, part: u64) -> Option<Instant> {
        self.last_good.get(&part).copied()
    }

    /// Records that `part` is known as a culprit, which explains the crashes of requests with it.
    pub fn explain(&mut self, part: u64) {
        self.known.insert(part);
        for crash in &mut self.crashes {
            crash.is_explained |= crash.parts.contains_key(&part);
        }
    }

    /// Drops all evidence against `part`, which is no longer a known culprit.
    pub fn forgive(&mut self, part: u64) {
        self.known.remove(&part);
        for crash in &mut self.crashes {
            crash.parts.remove(&part);
        }
    }

    fn open_crashes(&self, now: Instant) -> Vec<&StoredCrash> {
        let is_open = |crash: &&StoredCrash| {
            !crash.is_explained && now.saturating_duration_since(crash.at) < CRASH_RETENTION
        };
        self.crashes.iter().filter(is_open).collect()
    }

    /// Estimates the probability that a request is lost in a crash that has nothing to do with
    /// `part`.
    fn chance_of_loss(&self, part: u64, open: &[&StoredCrash], now: Instant) -> f64 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RATE_WINDOW;
        let others = open
            .iter()
            .filter(|crash| is_recent(crash.at) && !crash.parts.contains_key(&part));
        let lost: usize = others.map(|crash| crash.requests.len()).sum();
        let counts = self
            .good_counts
            .iter()
            .filter(|(since, _)| is_recent(*since));
        let good: u32 = counts.map(|(_, count)| count).sum();
        let lost = lost as f64 + PRIOR_LOSSES;
        lost / (lost + f64::from(good) + PRIOR_LOSSES)
    }

    /// Returns the crashes that count against `part`.
    fn case(&self, part: u64, now: Instant) -> Case<'_> {
        let good_at = self.last_good(part);
        let mut case = Case::default();
        let since_good = |crash: &&StoredCrash| good_at.is_none_or(|good_at| crash.at > good_at);
        for crash in self.open_crashes(now).into_iter().filter(since_good) {
            case.add(crash, part);
        }
        let first = case.crashes.first().map(|crash| crash.at);
        case.is_known_good = first
            .zip(good_at)
            .is_some_and(|(first, good_at)| first - good_at < GOOD_RECENCY);
        case
    }

    /// Keeps the half of the good answers that are the most recent.
    fn drop_old_good(&mut self) {
        let mut times: Vec<Instant> = self.last_good.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last_good.retain(|_, at| *at > median);
    }
}

/// Returns how many crashes have to have a part in common, if each request is lost with the
/// probability `chance` anyway and there are `candidates` parts that might be struck.
fn crashes_needed(chance: f64, candidates: usize) -> u32 {
    let crashes = (MAX_CHANCE / candidates.max(1) as f64).ln() / chance.ln();
    (crashes.ceil() as u32).max(MIN_CRASHES)
}

impl StoredCrash {
    fn add(&mut self, suspects: Vec<Suspect>, known: &BTreeSet<u64>) {
        let room = MAX_SUSPECTS.saturating_sub(self.requests.len());
        for suspect in suspects.into_iter().take(room) {
            for part in suspect.parts.iter().take(MAX_PARTS) {
                self.is_explained |= known.contains(part);
                let requests = self.parts.entry(*part).or_default();
                requests.insert(suspect.request.clone());
            }
            *self.requests.entry(suspect.request).or_default() |= suspect.has_begun;
        }
    }
}

impl<'a> Case<'a> {
    /// Counts `crash` if `part` was in flight in a request that no earlier crash has used up.
    fn add(&mut self, crash: &'a StoredCrash, part: u64) {
        let Some(requests) = crash.parts.get(&part) else {
            return;
        };
        let is_begun = |id: &str| crash.requests.get(id).copied().unwrap_or_default();
        let new = requests.iter().map(String::as_str);
        let new: Vec<&str> = new.filter(|id| !self.requests.contains(id)).collect();
        let begun = new.iter().filter(|id| is_begun(id)).count();
        let is_apart = self
            .crashes
            .last()
            .is_none_or(|last| crash.at - last.at >= MIN_INTERVAL);
        if new.is_empty() || !is_apart {
            return;
        }
        self.weight += if begun > 0 {
            BEGUN_WEIGHT
        } else {
            WAITING_WEIGHT
        };
        self.harmless += begun.saturating_sub(1);
        self.requests.extend(new);
        self.crashes.push(crash);
    }

    fn is_reached(&self, weight: u32) -> bool {
        let factor = if self.is_known_good {
            KNOWN_GOOD_FACTOR
        } else {
            1
        };
        self.weight >= weight * factor
    }

    fn addresses(&self) -> usize {
        let addresses: BTreeSet<SocketAddr> = self.crashes.iter().map(|c| c.address).collect();
        addresses.len()
    }
}
