//! What gates and controllers ask of a gate's table on `Channel::Membership`, and the answers.

use std::{collections::HashMap, time::Duration};

use derives::{record, token};
use tokio::time::{Instant, timeout};
use uuid::Uuid;

use crate::{
    EndpointView, Table,
    delta::Delta,
    state::{Entry, State},
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
        held: Vec<Stamp>,
    },
    /// Asks for the whole table of the availability zone; a gate that has just started.
    Pull,
    /// Asks a gate of another availability zone for a bounded part of its endpoints.
    Sample {
        /// What the asking gate holds of that availability zone.
        held: Vec<Stamp>,
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

/// An endpoint's name and what it announced, hashed.
#[token]
pub struct Stamp {
    /// Hash of the name.
    pub name: u64,
    /// Hash of what it announced.
    pub content: u64,
}

/// An endpoint of a sample that the asking gate holds already.
#[token]
pub struct Sampled {
    /// Hash of the name.
    pub name: u64,
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
        unchanged: Vec<Sampled>,
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
        Request::Deltas { from, deltas } => {
            merge_all(table, deltas, Some(&from));
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

/// Merges deltas of `source` into `table` and wakes its readers.
pub(crate) fn merge_all(table: &Table, deltas: Vec<Delta>, source: Option<&str>) {
    let now = Instant::now();
    let mut state = table.lock();
    for delta in deltas {
        state.merge(delta, now, source);
    }
    table.publish(state);
}

fn stamps(held: &[Stamp]) -> HashMap<u64, u64> {
    held.iter().map(|s| (s.name, s.content)).collect()
}

fn repair(state: &State, buckets: &[u8], held: &[Stamp], now: Instant) -> Reply {
    let theirs = stamps(held);
    let is_asked = |e: &&Entry| buckets.contains(&(bucket_of(e.name_hash) as u8));
    let asked: Vec<&Entry> = state.shared_entries().filter(is_asked).collect();
    let ours: HashMap<u64, u64> = asked.iter().map(|e| (e.name_hash, e.stamp)).collect();
    let differs = |e: &&&Entry| theirs.get(&e.name_hash) != Some(&e.stamp);
    let deltas = asked.iter().filter(differs);
    let wanted = held
        .iter()
        .filter(|s| ours.get(&s.name) != Some(&s.content));
    Reply::Repaired {
        deltas: deltas.map(|e| Delta::of(&e.endpoint, now)).collect(),
        wanted: wanted.map(|s| s.name).collect(),
    }
}

/// A bounded number of ready endpoints of each service of this availability zone, the same ones
/// as long as they stay.
fn sample(table: &Table, held: &[Stamp], now: Instant) -> Reply {
    let state = table.lock();
    let cfg = table.config();
    let theirs = stamps(held);
    let mut taken: HashMap<&str, usize> = HashMap::new();
    let mut deltas = Vec::new();
    let mut unchanged = Vec::new();
    let is_lively = |e: &&Entry| {
        e.endpoint.is_ready(now) && e.endpoint.live.silence(now) < cfg.suspect_after / 2
    };
    for entry in state.shared_entries().filter(is_lively) {
        let count = taken.entry(&entry.endpoint.announced.service).or_default();
        if *count >= cfg.max_remote_per_service {
            continue;
        }
        *count += 1;
        match theirs.get(&entry.name_hash) {
            Some(stamp) if *stamp == entry.stamp => unchanged.push(Sampled {
                name: entry.name_hash,
                vitals: vitals::of(entry, now),
            }),
            _ => deltas.push(Delta::of(&entry.endpoint, now)),
        }
    }
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
