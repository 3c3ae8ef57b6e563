//! What gates and controllers ask of a gate's table on `Channel::Membership`, and the answers.

use std::{collections::HashMap, time::Duration};

use derives::record;
use tokio::time::{Instant, timeout};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Announcement, EndpointState, EndpointView, Table,
    delta::{CompactDelta, Delta},
    entry_digest::{self, EntryDigest},
    state::{Entry, Origin, State},
    vitals::{self, Bucket, ExchangeReply, bucket_of},
};

/// Longest time that an answer to [`Request::Since`] is held back.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A request on `Channel::Membership`.
#[record]
pub enum Request {
    /// New endpoints and changes, pushed to a neighbour at once.
    Deltas {
        /// The sending gate's VM.
        from: String,
        /// The receiver passes them on to so many of its neighbours, the nearest first.
        reach: usize,
        /// What changed.
        deltas: Vec<Delta>,
    },
    /// Changes of endpoints that a neighbour should hold: the sending gate's VM, to how many of
    /// its neighbours the receiver passes them on, and what changed.
    #[serde(rename = "b")]
    CompactDeltas(String, usize, Vec<CompactDelta>),
    /// Compares tables and exchanges signs of life with a neighbour.
    #[serde(rename = "x")]
    Exchange(Vec<Bucket>),
    /// Asks for what differs in some buckets.
    Repair {
        /// The buckets.
        buckets: Vec<u8>,
        /// What the asking gate holds of them.
        #[serde(with = "entry_digest", rename = "held")]
        digests: Vec<EntryDigest>,
    },
    /// What a process of ours announces of itself, over its link.
    Announce(Box<Announcement>),
    /// Tells of endpoints that are leaving, as their answers said.
    Leaving(Vec<LeavingNotice>),
    /// Asks which endpoints get no new work from the gate that is asked, and why.
    #[serde(rename = "Absent")]
    Unavailable,
    /// Asks for the whole table of the availability zone; a gate that has just started.
    Pull,
    /// Asks a gate of another availability zone for a bounded part of its endpoints, and gives the
    /// digest of the part that the asking gate holds.
    #[serde(rename = "s")]
    Sample(u64),
    /// The same with what the asking gate holds, after an answer that the digests differ.
    #[serde(rename = "SampleAnew")]
    RefreshSample(#[serde(with = "entry_digest")] Vec<EntryDigest>),
    /// Asks for the endpoints that changed; from a controller.
    Since {
        /// The table that gave `version`.
        table: Option<Uuid>,
        /// The version up to which the asker knows the table.
        version: u64,
        /// Longest time that the answer may be held back while nothing changes.
        wait: Duration,
    },
}

/// An endpoint that said in an answer that it is leaving.
#[record]
#[derive(Eq)]
pub struct LeavingNotice {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Its incarnation; a later one is not leaving.
    #[serde(rename = "i")]
    pub incarnation: Uuid,
    /// The gate that had the answer.
    #[serde(rename = "g")]
    pub source: String,
    /// How long ago that was.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// An endpoint that gets no new work.
#[record]
#[derive(Eq)]
pub struct UnavailableEndpoint {
    /// The endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub az: String,
    /// Why.
    pub reason: String,
    /// For how long still, where that is known.
    #[serde(rename = "left")]
    pub remaining: Option<Duration>,
}

/// Most endpoints in an answer to [`Request::Unavailable`].
pub const MAX_UNAVAILABLE: usize = 200;

/// The answer to a [`Request`].
#[record]
pub enum Reply {
    /// To [`Request::Deltas`] and [`Request::CompactDeltas`]: identities that the receiver does not hold.
    #[serde(rename = "t")]
    Merged(Vec<u64>),
    /// To [`Request::Exchange`].
    #[serde(rename = "x")]
    Exchanged(ExchangeReply),
    /// To [`Request::Repair`]: what the asking gate lacks, and what this one wants of it.
    Repaired {
        /// What the asking gate lacks or holds differently.
        deltas: Vec<Delta>,
        /// Vitals of what both hold, one byte for each endpoint that the asking gate named.
        #[serde(with = "serde_bytes")]
        vitals: Vec<u8>,
        /// Hashes of names whose deltas are wanted.
        wanted: Vec<u32>,
    },
    /// To [`Request::Pull`].
    Pulled(Vec<Delta>),
    /// To [`Request::Sample`] where digests agree: the vitals in order of the names' hashes.
    #[serde(rename = "s")]
    Sampled(#[serde(with = "serde_bytes")] Vec<u8>),
    /// To [`Request::Sample`] where digests differ.
    SampleDiffers,
    /// To [`Request::RefreshSample`].
    #[serde(rename = "SampledAnew")]
    SampleRefreshed {
        /// Hashes of the names in the sample.
        names: Vec<u64>,
        /// Their vitals.
        #[serde(with = "serde_bytes")]
        vitals: Vec<u8>,
        /// What the asking gate lacks or holds differently.
        deltas: Vec<Delta>,
    },
    /// To [`Request::Since`].
    Since(Changes),
    /// To [`Request::Announce`] and [`Request::Leaving`]: taken, or known already.
    #[serde(rename = "Announced")]
    Acknowledged,
    /// To [`Request::Unavailable`]: up to [`MAX_UNAVAILABLE`].
    #[serde(rename = "Absent")]
    Unavailable(Vec<UnavailableEndpoint>),
    /// The request could not be read.
    Malformed(String),
}

/// What changed in a table.
#[record]
pub struct Changes {
    /// Distinguishes tables: a restarted gate has another one.
    pub table: Uuid,
    /// The version up to which these changes lead.
    pub version: u64,
    /// Whether `endpoints` is the whole table rather than what changed.
    pub is_whole: bool,
    /// Endpoints, new or changed.
    pub endpoints: Vec<EndpointView>,
    /// Names of endpoints that departed.
    pub departed: Vec<String>,
}

/// Answers `req` from `table`.
pub(crate) async fn respond(table: &Table, req: Request) -> Vec<u8> {
    let now = Instant::now();
    let reply = match req {
        Request::Deltas {
            from,
            reach,
            deltas,
        } => {
            let neighbour = Some(from);
            merge_all(table, deltas, &Origin { neighbour, reach });
            Reply::Merged(Vec::new())
        }
        Request::CompactDeltas(from, reach, compact_deltas) => {
            let neighbour = Some(from);
            Reply::Merged(merge_compact_deltas(
                table,
                compact_deltas,
                &Origin { neighbour, reach },
            ))
        }
        Request::Announce(announcement) => match table.announce(*announcement) {
            Ok(_) => Reply::Acknowledged,
            Err(e) => Reply::Malformed(e.to_string()),
        },
        Request::Leaving(leaving) => {
            for l in leaving {
                table.note_leaving(&l.endpoint, l.incarnation);
            }
            Reply::Acknowledged
        }
        Request::Unavailable => Reply::Unavailable(unavailable(&table.lock(), now)),
        Request::Exchange(theirs) => {
            Reply::Exchanged(vitals::apply_exchange(&table.lock(), &theirs, now))
        }
        Request::Repair { buckets, digests } => repair(&table.lock(), &buckets, &digests, now),
        Request::Pull => {
            let state = table.lock();
            let entries = state.shared_entries();
            Reply::Pulled(entries.map(|e| Delta::of(&e.endpoint, now)).collect())
        }
        Request::Sample(digest) => sample(&table.lock(), digest, now),
        Request::RefreshSample(held) => refresh_sample(&table.lock(), &held, now),
        Request::Since {
            table: known,
            version,
            wait,
        } => Reply::Since(since(table, known, version, wait).await),
    };
    link::encode(&reply)
}

/// Merges deltas that came by `origin` into `table` and wakes its readers.
pub(crate) fn merge_all(table: &Table, deltas: Vec<Delta>, origin: &Origin) {
    let now = Instant::now();
    let mut state = table.lock();
    for delta in deltas {
        state.merge(delta, now, origin);
    }
    table.publish(state);
}

/// Merges those of `compact_deltas` whose endpoints are held; the identities of the others.
fn merge_compact_deltas(
    table: &Table,
    compact_deltas: Vec<CompactDelta>,
    origin: &Origin,
) -> Vec<u64> {
    let mut lacking = Vec::new();
    let mut deltas = Vec::new();
    {
        let state = table.lock();
        for compact in compact_deltas {
            match state.of_identity(compact.identity()) {
                Some(entry) => deltas.push(compact.complete(&entry.endpoint.announced)),
                None => lacking.push(compact.identity()),
            }
        }
    }
    merge_all(table, deltas, origin);
    lacking
}

/// What a gate lacks that holds `held` of `entries`.
fn lacking(entries: &[&Entry], held: &[EntryDigest], now: Instant) -> Vec<Delta> {
    let theirs: HashMap<u32, EntryDigest> = held.iter().map(|h| (h.name_hash, *h)).collect();
    let is_other =
        |e: &&&Entry| theirs.get(&EntryDigest::of(e).name_hash) != Some(&EntryDigest::of(e));
    let other = entries.iter().filter(is_other);
    other.map(|e| Delta::of(&e.endpoint, now)).collect()
}

fn repair(state: &State, buckets: &[u8], held: &[EntryDigest], now: Instant) -> Reply {
    let is_asked = |e: &&Entry| buckets.contains(&(bucket_of(e.name_hash) as u8));
    let asked: Vec<&Entry> = state.shared_entries().filter(is_asked).collect();
    let ours: HashMap<u32, &Entry> = asked
        .iter()
        .map(|e| (EntryDigest::of(e).name_hash, *e))
        .collect();
    let same = |h: &EntryDigest| {
        ours.get(&h.name_hash)
            .filter(|entry| EntryDigest::of(entry) == *h)
    };
    let wanted = held.iter().filter(|h| same(h).is_none());
    let vitals = held
        .iter()
        .map(|h| same(h).map(|entry| vitals::of(entry, now)));
    Reply::Repaired {
        deltas: lacking(&asked, held, now),
        vitals: vitals.map(|v| v.unwrap_or(vitals::UNKNOWN)).collect(),
        wanted: wanted.map(|h| h.name_hash).collect(),
    }
}

/// A bounded number of ready endpoints of each service of this availability zone, the same ones
/// as long as they stay, in order of the names' hashes.
fn sampled(state: &State, now: Instant) -> Vec<&Entry> {
    let mut taken: HashMap<&str, usize> = HashMap::new();
    let ready = state.shared_entries().filter(|e| e.endpoint.is_ready(now));
    let chosen = ready.filter(|entry| {
        let count = taken.entry(&entry.endpoint.announced.service).or_default();
        *count += 1;
        *count <= state.max_remote_per_service()
    });
    let mut chosen: Vec<&Entry> = chosen.collect();
    chosen.sort_unstable_by_key(|entry| entry.name_hash);
    chosen
}

/// The digest of a sample, in order of the names' hashes.
pub(crate) fn sample_digest(entries: &[&Entry]) -> u64 {
    let stamps: Vec<u8> = entries
        .iter()
        .flat_map(|e| e.announcement_hash.to_le_bytes())
        .collect();
    xxh3_64(&stamps)
}

fn sample(state: &State, digest: u64, now: Instant) -> Reply {
    let chosen = sampled(state, now);
    match sample_digest(&chosen) == digest {
        true => Reply::Sampled(chosen.iter().map(|entry| vitals::of(entry, now)).collect()),
        false => Reply::SampleDiffers,
    }
}

fn refresh_sample(state: &State, held: &[EntryDigest], now: Instant) -> Reply {
    let chosen = sampled(state, now);
    Reply::SampleRefreshed {
        names: chosen.iter().map(|entry| entry.name_hash).collect(),
        vitals: chosen.iter().map(|entry| vitals::of(entry, now)).collect(),
        deltas: lacking(&chosen, held, now),
    }
}

/// Endpoints that get no new work by the table.
fn unavailable(state: &State, now: Instant) -> Vec<UnavailableEndpoint> {
    let views = state.endpoints().map(|e| EndpointView::of(e, now));
    let unavailable = views.filter_map(|view| {
        let reason = match view.state {
            EndpointState::Ready => return None,
            EndpointState::Leaving => "leaving",
            EndpointState::Suspect => "suspect",
        };
        Some(UnavailableEndpoint {
            endpoint: view.endpoint,
            service: view.service,
            az: view.az,
            reason: reason.to_owned(),
            remaining: None,
        })
    });
    unavailable.take(MAX_UNAVAILABLE).collect()
}

async fn since(table: &Table, known: Option<Uuid>, version: u64, wait: Duration) -> Changes {
    let is_known = known == Some(table.shared.id);
    if is_known {
        let mut changes = table.changes();
        // Nothing new within the wait is an answer as well.
        let _ = timeout(wait.min(MAX_WAIT), changes.wait_for(|v| *v > version)).await;
    }
    let now = Instant::now();
    let state = table.lock();
    let changed = match is_known {
        true => state.since(version),
        false => None,
    };
    let is_whole = changed.is_none();
    let (endpoints, departed) =
        changed.unwrap_or_else(|| (state.endpoints().cloned().collect(), Vec::new()));
    Changes {
        table: table.shared.id,
        version: state.version(),
        is_whole,
        endpoints: endpoints.iter().map(|e| EndpointView::of(e, now)).collect(),
        departed,
    }
}
