//! What a run left behind: journals, callers' answers, revisions seen, the ledger's words.

use std::collections::BTreeMap;

use declaration::Declaration;
use derives::{record, token};
use serde_json::Value;

use crate::stand_in::JournalEntry;

/// What a caller was told.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Completed, with an output.
    Completed,
    /// Not run.
    NotRun,
    /// Failed; nothing that may not be repeated ran.
    Failed,
    /// A call that may not be repeated was sent, its result is not known.
    Unknown,
    /// An answer without an outcome.
    Error,
    /// The connection broke before the whole answer.
    #[serde(rename = "broken")]
    Disconnected,
    /// No answer came long after the deadline.
    #[serde(rename = "nothing")]
    NoReply,
}

/// An answer as a caller got it.
#[record]
pub struct Reply {
    /// What the caller was told.
    #[serde(rename = "told")]
    pub outcome: Outcome,
    /// HTTP status, 0 where none came.
    pub status: u16,
    /// The output, where it completed.
    pub output: Option<Value>,
    /// The text streamed, where it was a stream.
    pub streamed: Option<String>,
    /// When the caller was told to come back, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The problem's own words.
    pub detail: String,
}

/// One sending of a request.
#[record]
pub struct Attempt {
    /// The gate asked.
    pub gate: String,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When its answer ended.
    pub ended_ms: u64,
    /// The answer.
    pub reply: Reply,
}

/// A caller's request with all its sendings.
#[record]
pub struct Request {
    /// The mark that its input carries.
    pub subject: String,
    /// The pipeline called.
    pub pipeline: String,
    /// The idempotency key, where the pipeline needs one.
    pub key: Option<String>,
    /// The input.
    pub input: Value,
    /// Sendings, first to last, one after the other.
    pub attempts: Vec<Attempt>,
}

/// A revision that a gate said was in force.
#[record]
pub struct ObservedRevision {
    /// The gate.
    pub gate: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The revision.
    pub revision: u64,
}

/// The ledger's word on a key, asked after the run.
#[record]
pub struct LedgerEntry {
    /// The idempotency key.
    pub key: String,
    /// The outcome that it has, none where the key is not there.
    #[serde(rename = "told")]
    pub outcome: Option<Outcome>,
}

/// Everything that is compared.
#[record]
#[derive(Default)]
pub struct Evidence {
    /// What was declared.
    pub declaration: Declaration,
    /// What the endpoints ran.
    pub journals: Vec<JournalEntry>,
    /// What callers asked and were told.
    pub requests: Vec<Request>,
    /// Revisions, in the order in which they were seen.
    pub revisions: Vec<ObservedRevision>,
    /// The ledger's words.
    pub ledger: Vec<LedgerEntry>,
    /// Whether a gate was killed or cut from its callers, so that connections may break.
    #[serde(rename = "may_break")]
    pub allows_disconnects: bool,
}

impl Evidence {
    /// Journal entries by the mark of their request.
    pub(crate) fn by_subject(&self) -> BTreeMap<&str, Vec<&JournalEntry>> {
        let mut entries: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
        for entry in &self.journals {
            if let Some(subject) = &entry.subject {
                entries.entry(subject).or_default().push(entry);
            }
        }
        entries
    }

    /// Whether calls of `service` may not be repeated.
    pub(crate) fn is_unrepeatable(&self, service: &str) -> bool {
        let services = &self.declaration.services;
        services.get(service).is_some_and(|s| !s.repeatable)
    }
}
