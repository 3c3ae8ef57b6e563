//! Invariants over all replicas of a group, checked as events are recorded.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
};

use ciborium::Value;
use replica::{Role, StateMachine, Status};

#[derive(Default)]
struct Observations {
    /// The entry first applied at each index, by any replica.
    applied: BTreeMap<u64, Vec<u8>>,
    leaders: BTreeMap<u64, String>,
    votes: BTreeMap<(String, u64), String>,
    acknowledged: BTreeMap<u64, Vec<u8>>,
    rejected: BTreeSet<Vec<u8>>,
    /// Number of `Differs` responses by each replica.
    log_mismatches: BTreeMap<String, usize>,
    violations: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Checks(Arc<Mutex<Observations>>);

/// State of a replica's state machine: every applied entry with its index.
pub type History = Arc<Mutex<Vec<(u64, Vec<u8>)>>>;

impl Checks {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap()
    }

    pub fn record_violation(&self, what: String) {
        self.observations().violations.push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        let mut observations = self.observations();
        let lost_entries = observations.acknowledged.iter();
        let lost_entries =
            lost_entries.filter(|(index, entry)| observations.applied.get(index) != Some(entry));
        let lost_entries: Vec<_> = lost_entries
            .map(|(i, _)| format!("acknowledged {i} lost"))
            .collect();
        let wrongly_rejected = observations
            .applied
            .values()
            .filter(|e| observations.rejected.contains(*e));
        let count = wrongly_rejected.count();
        observations.violations.extend(lost_entries);
        if count > 0 {
            observations
                .violations
                .push(format!("{count} refused entries were applied"));
        }
        observations.violations.clone()
    }

    /// Number of times `name` responded that its log differs.
    pub fn log_mismatches(&self, name: &str) -> usize {
        self.observations()
            .log_mismatches
            .get(name)
            .copied()
            .unwrap_or(0)
    }

    pub fn record_acknowledged(&self, index: u64, entry: Vec<u8>) {
        self.observations().acknowledged.insert(index, entry);
    }

    pub fn record_rejected(&self, entry: Vec<u8>) {
        self.observations().rejected.insert(entry);
    }

    /// Every acknowledged entry with its index.
    pub fn acknowledged(&self) -> Vec<(u64, Vec<u8>)> {
        self.observations()
            .acknowledged
            .clone()
            .into_iter()
            .collect()
    }

    pub fn last_acknowledged(&self) -> u64 {
        let observations = self.observations();
        observations
            .acknowledged
            .keys()
            .next_back()
            .copied()
            .unwrap_or(0)
    }

    /// Checks that each term has at most one leader.
    pub fn record_status(&self, status: &Status) {
        if status.role != Role::Leader {
            return;
        }
        let mut observations = self.observations();
        let leader = observations
            .leaders
            .entry(status.term)
            .or_insert(status.name.clone());
        if *leader != status.name {
            let what = format!("term {}: {leader} and {} lead", status.term, status.name);
            observations.violations.push(what);
        }
    }

    /// Creates a state machine that keeps all entries and compares them with the other replicas'.
    pub fn machine(&self, history: &History) -> StateMachine {
        let state = || Arc::clone(history);
        let (apply, snapshot, restore, digest) = (state(), state(), state(), state());
        let (checks, restored) = (self.clone(), self.clone());
        StateMachine {
            apply: Box::new(move |index, entry| {
                checks.record_applied(index, entry);
                let mut history = apply.lock().unwrap();
                history.push((index, entry.to_vec()));
                history.len().to_le_bytes().to_vec()
            }),
            snapshot: Box::new(move || {
                let view = snapshot.lock().unwrap().clone();
                Box::new(move || link::encode(&view))
            }),
            restore: Box::new(move |_, bytes| {
                let entries: Vec<(u64, Vec<u8>)> =
                    link::decode(bytes).map_err(|e| e.to_string())?;
                for (index, entry) in &entries {
                    restored.record_applied(*index, entry);
                }
                *restore.lock().unwrap() = entries;
                Ok(())
            }),
            digest: Box::new(move || {
                u64::from(crc32fast::hash(&link::encode(&*digest.lock().unwrap())))
            }),
        }
    }

    fn record_applied(&self, index: u64, entry: &[u8]) {
        let mut observations = self.observations();
        let first = observations
            .applied
            .entry(index)
            .or_insert_with(|| entry.to_vec());
        if first != entry {
            let what = format!("two entries at index {index}");
            observations.violations.push(what);
        }
    }

    /// Checks that nobody votes for two candidates in a term. Returns true if a vote is granted.
    pub fn record_response(&self, voter: &str, body: &[u8], response: &[u8]) -> bool {
        let (request, response) = (decode(body), decode(response));
        if field(&response, "tell").is_some_and(|tell| field(tell, "Differs").is_some()) {
            *self
                .observations()
                .log_mismatches
                .entry(voter.to_owned())
                .or_default() += 1;
        }
        let is_granted = field(&response, "tell") == Some(&Value::Text("Granted".to_owned()));
        if request_kind(body) != "Vote" || !is_granted {
            return false;
        }
        let term = field(&request, "term").and_then(Value::as_integer).unwrap();
        let term = u64::try_from(term).unwrap();
        let candidate = field(&request, "from").and_then(Value::as_text).unwrap();
        let mut observations = self.observations();
        let key = (voter.to_owned(), term);
        let first = observations
            .votes
            .entry(key)
            .or_insert(candidate.to_owned());
        if first != candidate {
            let what = format!("{voter} voted for {first} and {candidate} in term {term}");
            observations.violations.push(what);
        }
        true
    }
}

/// Returns the variant name of a request's body.
pub fn request_kind(body: &[u8]) -> String {
    let request = decode(body);
    match field(&request, "ask") {
        Some(Value::Map(request_body)) => {
            request_body[0].0.as_text().unwrap_or_default().to_owned()
        }
        Some(Value::Text(request_body)) => request_body.clone(),
        _ => String::new(),
    }
}

/// Returns the index before the entries of an append request, if it has entries.
pub fn prev_of_entries(body: &[u8]) -> Option<u64> {
    let request = decode(body);
    let append = field(field(&request, "ask")?, "Append")?;
    let entries = field(append, "entries")?.as_bytes()?;
    let prev = u64::try_from(field(append, "prev")?.as_integer()?).ok()?;
    (!entries.is_empty()).then_some(prev)
}

fn decode(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).unwrap_or(Value::Null)
}

fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let mut fields = value.as_map()?.iter();
    let is_named = |(key, _): &&(Value, Value)| key.as_text() == Some(name);
    fields.find(is_named).map(|(_, value)| value)
}
