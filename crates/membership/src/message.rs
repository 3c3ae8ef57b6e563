//! What gates and controllers ask of a gate's table on `Channel::Membership`, and the answers.

use std::{collections::HashMap, time::Duration};

use derives::{record, token};
use tokio::time::{Instant, timeout};
use uuid::Uuid;

use crate::{
    EndpointView, Table,
    delta::Delta,
    state::{Entry, Origin, State},
    vitals::{self, Bucket, bucket_of},
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
    /// Compares tables and exchanges signs of life with a neighbour.
    Exchange(Vec<Bucket>),
    /// Asks for what differs in some buckets.
    Repair {
        /// The buckets.
        buckets: Vec<u8>,
        /// What the asking gate holds of them.
        held: Vec<Held>,
    },
    /// Asks for the whole table of the availability zone; a gate that has just started.
    Pull,
    /// Asks a gate of another availability zone for a bounded part of its endpoints.
    Sample {
        /// What the asking gate holds of that availability zone.
        held: Vec<Held>,
    },
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

/// An endpoint that the sending gate holds.
#[token]
pub struct Held {
    /// Hash of its name.
    pub name: u64,
    /// Hash of what it announced.
    pub stamp: u64,
    /// Age and load.
    pub vitals: u8,
}

/// The answer to a [`Request`].
#[record]
pub enum Reply {
    /// To [`Request::Deltas`].
    Taken,
    /// To [`Request::Exchange`].
    Exchanged(Vec<Bucket>),
    /// To [`Request::Repair`]: what the asking gate lacks, and what this one wants of it.
    Repaired {
        /// What the asking gate lacks or holds differently.
        deltas: Vec<Delta>,
        /// What both hold.
        unchanged: Vec<Held>,
        /// Hashes of names whose deltas are wanted.
        wanted: Vec<u64>,
    },
    /// To [`Request::Pull`].
    Pulled(Vec<Delta>),
    /// To [`Request::Sample`].
    Sample {
        /// What the asking gate lacks or holds differently.
        deltas: Vec<Delta>,
        /// What it holds already.
        unchanged: Vec<Held>,
    },
    /// To [`Request::Since`].
    Since(Changes),
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
            Reply::Taken
        }
        Request::Exchange(theirs) => {
            let state = table.lock();
            vitals::take(&state, &theirs, now);
            Reply::Exchanged(vitals::buckets(&state, now))
        }
        Request::Repair { buckets, held } => repair(&table.lock(), &buckets, &held, now),
        Request::Pull => {
            let state = table.lock();
            let entries = state.shared_entries();
            Reply::Pulled(entries.map(|e| Delta::of(&e.endpoint, now)).collect())
        }
        Request::Sample { held } => sample(table, &held, now),
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

/// What a gate lacks that holds `held` of `entries`, and what both hold.
fn differing(entries: &[&Entry], held: &[Held], now: Instant) -> (Vec<Delta>, Vec<Held>) {
    let theirs: HashMap<u64, u64> = held.iter().map(|h| (h.name, h.stamp)).collect();
    let is_same = |e: &&Entry| theirs.get(&e.name_hash) == Some(&e.stamp);
    let (same, other): (Vec<&Entry>, Vec<&Entry>) = entries.iter().partition(|e| is_same(e));
    let deltas = other.iter().map(|e| Delta::of(&e.endpoint, now)).collect();
    (deltas, State::held(same.into_iter(), now))
}

/// Takes the vitals of those of `entries` that both gates hold alike.
pub(crate) fn hear_held(entries: &[&Entry], held: &[Held], now: Instant) {
    let theirs: HashMap<u64, &Held> = held.iter().map(|h| (h.name, h)).collect();
    for entry in entries {
        match theirs.get(&entry.name_hash) {
            Some(held) if held.stamp == entry.stamp => vitals::apply(entry, held.vitals, now),
            _ => {}
        }
    }
}

fn repair(state: &State, buckets: &[u8], held: &[Held], now: Instant) -> Reply {
    let is_asked = |e: &&Entry| buckets.contains(&(bucket_of(e.name_hash) as u8));
    let asked: Vec<&Entry> = state.shared_entries().filter(is_asked).collect();
    hear_held(&asked, held, now);
    let ours: HashMap<u64, u64> = asked.iter().map(|e| (e.name_hash, e.stamp)).collect();
    let is_wanted = |h: &&Held| ours.get(&h.name) != Some(&h.stamp);
    let wanted = held.iter().filter(is_wanted).map(|h| h.name).collect();
    let (deltas, unchanged) = differing(&asked, held, now);
    Reply::Repaired {
        deltas,
        unchanged,
        wanted,
    }
}

/// A bounded number of ready endpoints of each service of this availability zone, the same ones
/// as long as they stay.
fn sample(table: &Table, held: &[Held], now: Instant) -> Reply {
    let state = table.lock();
    let cfg = table.config();
    let mut taken: HashMap<&str, usize> = HashMap::new();
    let is_lively = |e: &&Entry| {
        e.endpoint.is_ready(now) && e.endpoint.live.silence(now) < cfg.suspect_after / 2
    };
    let lively = state.shared_entries().filter(is_lively);
    let chosen = lively.filter(|entry| {
        let count = taken.entry(&entry.endpoint.announced.service).or_default();
        *count += 1;
        *count <= cfg.max_remote_per_service
    });
    let chosen: Vec<&Entry> = chosen.collect();
    let (deltas, unchanged) = differing(&chosen, held, now);
    Reply::Sample { deltas, unchanged }
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
