//! Records of a run: journals, replies to callers, observed revisions and ledger entries.

use std::collections::BTreeMap;

use declaration::Declaration;
use derives::{record, token};
use serde_json::Value;

use crate::stand_in::JournalEntry;

/// Outcome of a request as reported to the caller.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request completed with an output.
    Completed,
    /// Nothing ran.
    NotRun,
    /// The request failed; no call that may not be repeated ran.
    Failed,
    /// A call that may not be repeated was sent; its result is not known.
    Unknown,
    /// The reply has no known outcome.
    Error,
    /// The connection closed before the reply was complete.
    #[serde(rename = "broken")]
    Disconnected,
    /// No reply arrived long after the deadline.
    #[serde(rename = "nothing")]
    NoReply,
}

/// A reply as received by a caller.
#[record]
pub struct Reply {
    /// Outcome reported to the caller.
    #[serde(rename = "told")]
    pub outcome: Outcome,
    /// HTTP status; 0 if none was received.
    pub status: u16,
    /// Output of a completed request.
    pub output: Option<Value>,
    /// Text received as a stream, if it was one.
    pub streamed: Option<String>,
    /// Requested delay before a retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Detail of the problem, or description of the error.
    pub detail: String,
}

/// One attempt to send a request.
#[record]
pub struct Attempt {
    /// Name of the gate.
    pub gate: String,
    /// Time of sending, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// End of the reply, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// The reply.
    pub reply: Reply,
}

/// A caller's request with all its attempts.
#[record]
pub struct Request {
    /// Identifier of the request, which its input carries as the marker `[#…]`.
    pub subject: String,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Idempotency key, if the pipeline needs one.
    pub key: Option<String>,
    /// Input of the pipeline.
    pub input: Value,
    /// Attempts in order; they do not overlap.
    pub attempts: Vec<Attempt>,
}

/// A revision that a gate reported to be in force.
#[record]
pub struct ObservedRevision {
    /// Name of the gate.
    pub gate: String,
    /// Time of the report, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Reported revision; 0 if the gate knows none yet.
    pub revision: u64,
}

/// The ledger's state of a key, queried after the run.
#[record]
pub struct LedgerEntry {
    /// Idempotency key.
    pub key: String,
    /// Recorded outcome; `None` if the ledger does not have the key.
    #[serde(rename = "told")]
    pub outcome: Option<Outcome>,
}

/// Input of the checks.
#[record]
#[derive(Default)]
pub struct Evidence {
    /// Declaration in force during the run.
    pub declaration: Declaration,
    /// Journal entries of all endpoints; those of one endpoint are in order.
    pub journals: Vec<JournalEntry>,
    /// Requests of the callers.
    pub requests: Vec<Request>,
    /// Revisions in order of observation.
    pub revisions: Vec<ObservedRevision>,
    /// Ledger entries of the keys that were queried.
    pub ledger: Vec<LedgerEntry>,
    /// True if a gate was killed or cut off from its callers, so that connections may close early.
    #[serde(rename = "may_break")]
    pub allows_disconnects: bool,
}

impl Evidence {
    /// Returns the journal entries by the request that they belong to.
    pub(crate) fn by_subject(&self) -> BTreeMap<&str, Vec<&JournalEntry>> {
        let mut entries: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
        for entry in &self.journals {
            if let Some(subject) = &entry.subject {
                entries.entry(subject).or_default().push(entry);
            }
        }
        entries
    }

    /// Returns true if calls of `service` may not be repeated.
    pub(crate) fn is_non_repeatable(&self, service: &str) -> bool {
        let services = &self.declaration.services;
        services.get(service).is_some_and(|s| !s.repeatable)
    }
}
