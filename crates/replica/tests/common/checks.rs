//! What must hold over all replicas of a group, noted as it happens.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
};

use ciborium::Value;
use replica::{Role, StateMachine, Status};

#[derive(Default)]
struct Seen {
    /// The entry applied at each index, by whoever applied it first.
    applied: BTreeMap<u64, Vec<u8>>,
    leaders: BTreeMap<u64, String>,
    votes: BTreeMap<(String, u64), String>,
    acknowledged: BTreeMap<u64, Vec<u8>>,
    refused: BTreeSet<Vec<u8>>,
    /// Answers by each replica that its log differs.
    differs: BTreeMap<String, usize>,
    violations: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Checks(Arc<Mutex<Seen>>);

/// The state of one replica's machine: every entry with its index.
pub type History = Arc<Mutex<Vec<(u64, Vec<u8>)>>>;

impl Checks {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap()
    }

    pub fn violate(&self, what: String) {
        self.seen().violations.push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        let mut seen = self.seen();
        let lost = seen.acknowledged.iter();
        let lost = lost.filter(|(index, entry)| seen.applied.get(index) != Some(entry));
        let lost: Vec<_> = lost
            .map(|(i, _)| format!("acknowledged {i} lost"))
            .collect();
        let false_refusals = seen.applied.values().filter(|e| seen.refused.contains(*e));
        let count = false_refusals.count();
        seen.violations.extend(lost);
        if count > 0 {
            seen.violations
                .push(format!("{count} refused entries were applied"));
        }
        seen.violations.clone()
    }

    /// How often `name` answered that its log differs.
    pub fn differs(&self, name: &str) -> usize {
        self.seen().differs.get(name).copied().unwrap_or(0)
    }

    pub fn acknowledge(&self, index: u64, entry: Vec<u8>) {
        self.seen().acknowledged.insert(index, entry);
    }

    pub fn refuse(&self, entry: Vec<u8>) {
        self.seen().refused.insert(entry);
    }

    pub fn last_acknowledged(&self) -> u64 {
        let seen = self.seen();
        seen.acknowledged.keys().next_back().copied().unwrap_or(0)
    }

    /// One leader a term.
    pub fn note_status(&self, status: &Status) {
        if status.role != Role::Leader {
            return;
        }
        let mut seen = self.seen();
        let leader = seen
            .leaders
            .entry(status.term)
            .or_insert(status.name.clone());
        if *leader != status.name {
            let what = format!("term {}: {leader} and {} lead", status.term, status.name);
            seen.violations.push(what);
        }
    }

    /// A machine that keeps the entries and compares them with everyone's.
    pub fn machine(&self, history: &History) -> StateMachine {
        let h = || Arc::clone(history);
        let (apply, snapshot, restore, digest) = (h(), h(), h(), h());
        let (checks, restored) = (self.clone(), self.clone());
        StateMachine {
            apply: Box::new(move |index, entry| {
                checks.note_applied(index, entry);
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
                    restored.note_applied(*index, entry);
                }
                *restore.lock().unwrap() = entries;
                Ok(())
            }),
            digest: Box::new(move || {
                u64::from(crc32fast::hash(&link::encode(&*digest.lock().unwrap())))
            }),
        }
    }

    fn note_applied(&self, index: u64, entry: &[u8]) {
        let mut seen = self.seen();
        let first = seen.applied.entry(index).or_insert_with(|| entry.to_vec());
        if first != entry {
            let what = format!("two entries at index {index}");
            seen.violations.push(what);
        }
    }

    /// No vote for two candidates of one term. Returns whether the answer gives a vote.
    pub fn note_answer(&self, voter: &str, body: &[u8], answer: &[u8]) -> bool {
        let (request, response) = (decode(body), decode(answer));
        if field(&response, "tell").is_some_and(|tell| field(tell, "Differs").is_some()) {
            *self.seen().differs.entry(voter.to_owned()).or_default() += 1;
        }
        let is_granted = field(&response, "tell") == Some(&Value::Text("Granted".to_owned()));
        if ask_of(body) != "Vote" || !is_granted {
            return false;
        }
        let term = field(&request, "term").and_then(Value::as_integer).unwrap();
        let term = u64::try_from(term).unwrap();
        let candidate = field(&request, "from").and_then(Value::as_text).unwrap();
        let mut seen = self.seen();
        let key = (voter.to_owned(), term);
        let first = seen.votes.entry(key).or_insert(candidate.to_owned());
        if first != candidate {
            let what = format!("{voter} voted for {first} and {candidate} in term {term}");
            seen.violations.push(what);
        }
        true
    }
}

/// The word for what a request asks.
pub fn ask_of(body: &[u8]) -> String {
    let request = decode(body);
    match field(&request, "ask") {
        Some(Value::Map(ask)) => ask[0].0.as_text().unwrap_or_default().to_owned(),
        Some(Value::Text(ask)) => ask.clone(),
        _ => String::new(),
    }
}

/// The index before the entries of a request, where it carries any.
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
