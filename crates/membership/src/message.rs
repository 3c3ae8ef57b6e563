//! Requests that gates and controllers send on `Channel::Membership`, and the replies.

use std::{collections::HashMap, time::Duration};

use derives::record;
use spdlog::warn;
use tokio::time::{Instant, timeout};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Announcement, EndpointState, EndpointView, RateReport, Table,
    delta::{ColdTimes, CompactDelta, Delta, cold_times, with_cold_times},
    entry_digest::{self, EntryDigest},
    state::{Entry, Origin, State},
    table::validate,
    vitals::{self, Bucket, ExchangeReply, bucket_of},
};

/// Upper bound on the `wait` of [`Request::Since`].
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A request on `Channel::Membership`.
#[record]
pub enum Request {
    /// New endpoints and changes, pushed to a neighbour at once.
    Deltas {
        /// The sending gate's VM.
        from: String,
        /// Number of its neighbours that the receiver forwards them to, nearest on the ring first.
        reach: usize,
        /// The changes.
        deltas: Vec<Delta>,
        /// Their cold times.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        cold: ColdTimes,
    },
    /// Changes of endpoints that the neighbour should already have: the sending gate's VM, the
    /// number of neighbours that the receiver forwards them to, and the changes.
    #[serde(rename = "b")]
    CompactDeltas(String, usize, Vec<CompactDelta>),
    /// Compares bucket digests and exchanges vitals with a neighbour.
    #[serde(rename = "x")]
    Exchange(Vec<Bucket>),
    /// Requests the entries that differ in some buckets.
    Repair {
        /// The buckets.
        buckets: Vec<u8>,
        /// Digests of the requester's entries in these buckets.
        #[serde(with = "entry_digest", rename = "held")]
        digests: Vec<EntryDigest>,
    },
    /// Announcement of an internal process over its link.
    Announce(Box<Announcement>),
    /// Reports endpoints whose responses said that they are leaving.
    Leaving(Vec<LeavingNotice>),
    /// Reports request rates that endpoints named in their responses.
    Rates(Vec<RateReport>),
    /// Requests the endpoints that get no new work from the receiving gate, with the reasons.
    #[serde(rename = "Absent")]
    Unavailable,
    /// Requests the whole table of the availability zone, without cold times; sent by gates of earlier
    /// versions that have just started.
    Pull,
    /// Requests a sample of the endpoints of another availability zone; carries the digest of the
    /// sample that the requester has.
    #[serde(rename = "s")]
    Sample(u64),
    /// Repeats the request with digests of the requester's entries, after
    /// [`Reply::SampleDiffers`].
    #[serde(rename = "SampleAnew")]
    RefreshSample(#[serde(with = "entry_digest")] Vec<EntryDigest>),
    /// Requests the endpoints that changed since a version; sent by controllers.
    Since {
        /// Id of the table that `version` belongs to.
        table: Option<Uuid>,
        /// Version up to which the requester knows the table.
        version: u64,
        /// Maximum time to delay the reply while nothing changes.
        wait: Duration,
    },
}

impl Request {
    /// Returns a push of `deltas` by the gate `from`.
    pub fn push(from: String, reach: usize, deltas: Vec<Delta>) -> Self {
        Self::Deltas {
            from,
            reach,
            cold: cold_times(&deltas),
            deltas,
        }
    }

    /// Requests all entries of the availability zone; sent by a gate that has just started.
    pub(crate) fn whole_table() -> Self {
        Self::Repair {
            buckets: (0..vitals::BUCKETS as u8).collect(),
            digests: Vec::new(),
        }
    }
}

/// An endpoint whose response said that it is leaving.
#[record]
#[derive(Eq)]
pub struct LeavingNotice {
    /// The endpoint's name.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The leaving incarnation; a later one is unaffected.
    #[serde(rename = "i")]
    pub incarnation: Uuid,
    /// The gate that received the response.
    #[serde(rename = "g")]
    pub source: String,
    /// Time since the response.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// An endpoint that gets no new work.
#[record]
#[derive(Eq)]
pub struct UnavailableEndpoint {
    /// The endpoint's name.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub az: String,
    /// Machine-readable reason, such as `leaving`.
    pub reason: String,
    /// Time until it gets new work again, if known.
    #[serde(rename = "left")]
    pub remaining: Option<Duration>,
}

/// Maximum number of endpoints in the reply to [`Request::Unavailable`].
pub const MAX_UNAVAILABLE: usize = 200;

/// The reply to a [`Request`].
#[record]
pub enum Reply {
    /// To [`Request::Deltas`] and [`Request::CompactDeltas`]: identities that the
    /// receiver does not know.
    #[serde(rename = "t")]
    Merged(Vec<u64>),
    /// To [`Request::Exchange`].
    #[serde(rename = "x")]
    Exchanged(ExchangeReply),
    /// To [`Request::Repair`]: entries for the requester, and those requested from it.
    Repaired {
        /// Entries that the requester lacks or has in another version.
        deltas: Vec<Delta>,
        /// Their cold times.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        cold: ColdTimes,
        /// Vitals of equal entries: one byte for each digest in the request.
        #[serde(with = "serde_bytes")]
        vitals: Vec<u8>,
        /// Name hashes of the entries whose deltas are requested.
        wanted: Vec<u32>,
    },
    /// To [`Request::Pull`]: the whole table.
    Pulled(Vec<Delta>),
    /// To [`Request::Sample`] if the digests are equal: the vitals, ordered by name hash.
    #[serde(rename = "s")]
    Sampled(#[serde(with = "serde_bytes")] Vec<u8>),
    /// To [`Request::Sample`] if the digests differ.
    SampleDiffers,
    /// To [`Request::RefreshSample`].
    #[serde(rename = "SampledAnew")]
    SampleRefreshed {
        /// Name hashes of the endpoints in the sample.
        names: Vec<u64>,
        /// Their vitals, in the same order.
        #[serde(with = "serde_bytes")]
        vitals: Vec<u8>,
        /// Entries that the requester lacks or has in another version.
        deltas: Vec<Delta>,
        /// Their cold times.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        cold: ColdTimes,
    },
    /// To [`Request::Since`].
    Since(Changes),
    /// To [`Request::Announce`], [`Request::Leaving`] and [`Request::Rates`]: applied, or already
    /// known.
    #[serde(rename = "Announced")]
    Acknowledged,
    /// To [`Request::Unavailable`]: up to [`MAX_UNAVAILABLE`] endpoints.
    #[serde(rename = "Absent")]
    Unavailable(Vec<UnavailableEndpoint>),
    /// The request could not be read.
    Malformed(String),
}

/// Changes of a table.
#[record]
pub struct Changes {
    /// Id of the table; a restarted gate's table has a new one.
    pub table: Uuid,
    /// The table's version including these changes.
    pub version: u64,
    /// True if `endpoints` is the whole table rather than the changes.
    pub is_whole: bool,
    /// New or changed endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Names of removed endpoints.
    pub departed: Vec<String>,
}

/// Handles `req` and returns the encoded reply.
pub(crate) async fn respond(table: &Table, req: Request) -> Vec<u8> {
    let now = Instant::now();
    let reply = match req {
        Request::Deltas {
            from,
            reach,
            deltas,
            cold,
        } => {
            let neighbour = Some(from);
            let deltas = with_cold_times(deltas, &cold);
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
        Request::Rates(reports) => {
            table.note_rates(&reports);
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
        Request::RefreshSample(digests) => refresh_sample(&table.lock(), &digests, now),
        Request::Since {
            table: known,
            version,
            wait,
        } => Reply::Since(changes_since(table, known, version, wait).await),
    };
    link::encode(&reply)
}

/// Merges deltas received by way of `origin` into `table` and notifies its readers. Deltas that no
/// endpoint could have announced are left out.
pub(crate) fn merge_all(table: &Table, deltas: Vec<Delta>, origin: &Origin) {
    let now = Instant::now();
    let mut state = table.lock();
    for delta in deltas {
        match validate(&delta.announced) {
            Ok(()) => drop(state.merge(delta, now, origin)),
            Err(e) if state.may_log_invalid(now) => {
                let from = origin.neighbour.as_deref().unwrap_or_default();
                warn!("invalid endpoint ignored", kv: { from, why = e.to_string() });
            }
            Err(_) => {}
        }
    }
    table.publish(state);
}

/// Merges the compact deltas of known endpoints; returns the identities of the others.
fn merge_compact_deltas(
    table: &Table,
    compact_deltas: Vec<CompactDelta>,
    origin: &Origin,
) -> Vec<u64> {
    let mut unknown = Vec::new();
    let mut deltas = Vec::new();
    {
        let state = table.lock();
        for compact in compact_deltas {
            match state.entry_by_identity(compact.identity()) {
                Some(entry) => deltas.push(compact.into_delta(&entry.endpoint.announced)),
                None => unknown.push(compact.identity()),
            }
        }
    }
    merge_all(table, deltas, origin);
    unknown
}

/// Returns deltas of those `entries` that a gate with `digests` lacks or has in another version.
fn missing_deltas(entries: &[&Entry], digests: &[EntryDigest], now: Instant) -> Vec<Delta> {
    let theirs: HashMap<u32, EntryDigest> = digests
        .iter()
        .map(|digest| (digest.name_hash, *digest))
        .collect();
    let is_missing =
        |e: &&&Entry| theirs.get(&EntryDigest::of(e).name_hash) != Some(&EntryDigest::of(e));
    let missing = entries.iter().filter(is_missing);
    missing.map(|e| Delta::of(&e.endpoint, now)).collect()
}

fn repair(state: &State, buckets: &[u8], digests: &[EntryDigest], now: Instant) -> Reply {
    let is_requested = |e: &&Entry| buckets.contains(&(bucket_of(e.name_hash) as u8));
    let requested: Vec<&Entry> = state.shared_entries().filter(is_requested).collect();
    let ours: HashMap<u32, &Entry> = requested
        .iter()
        .map(|e| (EntryDigest::of(e).name_hash, *e))
        .collect();
    let matching = |digest: &EntryDigest| {
        ours.get(&digest.name_hash)
            .filter(|entry| EntryDigest::of(entry) == *digest)
    };
    let wanted = digests.iter().filter(|digest| matching(digest).is_none());
    let vitals = digests
        .iter()
        .map(|digest| matching(digest).map(|entry| vitals::of(entry, now)));
    let deltas = missing_deltas(&requested, digests, now);
    Reply::Repaired {
        cold: cold_times(&deltas),
        deltas,
        vitals: vitals.map(|v| v.unwrap_or(vitals::UNKNOWN)).collect(),
        wanted: wanted.map(|digest| digest.name_hash).collect(),
    }
}

/// Returns a bounded number of ready endpoints of each service of this availability zone, ordered
/// by name hash. The selection is stable while these endpoints stay ready.
fn sample_entries(state: &State, now: Instant) -> Vec<&Entry> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let ready = state.shared_entries().filter(|e| e.endpoint.is_ready(now));
    let chosen = ready.filter(|entry| {
        let count = counts.entry(&entry.endpoint.announced.service).or_default();
        *count += 1;
        *count <= state.max_remote_per_service()
    });
    let mut chosen: Vec<&Entry> = chosen.collect();
    chosen.sort_unstable_by_key(|entry| entry.name_hash);
    chosen
}

/// Returns the digest of a sample, which must be ordered by name hash.
pub(crate) fn sample_digest(entries: &[&Entry]) -> u64 {
    let hashes: Vec<u8> = entries
        .iter()
        .flat_map(|e| e.announcement_hash.to_le_bytes())
        .collect();
    xxh3_64(&hashes)
}

fn sample(state: &State, digest: u64, now: Instant) -> Reply {
    let chosen = sample_entries(state, now);
    match sample_digest(&chosen) == digest {
        true => Reply::Sampled(chosen.iter().map(|entry| vitals::of(entry, now)).collect()),
        false => Reply::SampleDiffers,
    }
}

fn refresh_sample(state: &State, digests: &[EntryDigest], now: Instant) -> Reply {
    let chosen = sample_entries(state, now);
    let deltas = missing_deltas(&chosen, digests, now);
    Reply::SampleRefreshed {
        names: chosen.iter().map(|entry| entry.name_hash).collect(),
        vitals: chosen.iter().map(|entry| vitals::of(entry, now)).collect(),
        cold: cold_times(&deltas),
        deltas,
    }
}

/// Returns the endpoints that the table considers leaving or suspect.
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

async fn changes_since(
    table: &Table,
    known: Option<Uuid>,
    version: u64,
    wait: Duration,
) -> Changes {
    let is_known = known == Some(table.shared.id);
    if is_known {
        let mut changes = table.changes();
        // A timeout is not an error: the reply then carries no changes.
        let _ = timeout(wait.min(MAX_WAIT), changes.wait_for(|v| *v > version)).await;
    }
    let now = Instant::now();
    let state = table.lock();
    let changed = match is_known {
        true => state.changes_since(version),
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
