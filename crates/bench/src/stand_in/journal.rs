//! Journal of the calls and orders that a stand-in ran or refused.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derives::record;
use eyre::WrapErr;

/// Event in the life of a call or an order.
#[record]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The call started to run.
    Started,
    /// The call completed.
    Finished {
        /// Digest of the output text.
        output_digest: String,
        /// Duration of the work, in microseconds.
        busy_us: u64,
        /// Tokens generated; 0 unless it is an engine.
        tokens: u64,
        /// Prompt tokens found in the prefix cache; 0 unless it is an engine.
        reused: u64,
    },
    /// The call was refused and did not run.
    Refused {
        /// Reason, in words.
        reason: String,
    },
    /// The call ran and returned an error.
    Failed {
        /// Duration of the work, in microseconds.
        busy_us: u64,
    },
    /// The call was cancelled while it ran.
    Cancelled {
        /// Duration of the work until then, in microseconds.
        busy_us: u64,
        /// Tokens generated until then; 0 unless it is an engine.
        tokens: u64,
    },
    /// A stream was resumed.
    Resumed {
        /// Offset at which it resumes, in bytes.
        offset: u64,
    },
    /// An order was accepted.
    Ordered {
        /// Its fencing token.
        fencing: u64,
        /// Its action, model and version.
        action: String,
    },
    /// An order was refused for an old fencing token.
    StaleOrder {
        /// Its fencing token.
        fencing: u64,
    },
    /// A batched call started to run.
    Batched {
        /// Its items, each as `{request}-{stage}-{number}`.
        items: Vec<String>,
    },
    /// Results were released.
    Freed {
        /// Handles of the results.
        handles: Vec<String>,
    },
    /// The endpoint announced that it is leaving.
    Leaving,
}

/// A journal entry.
#[record]
pub struct JournalEntry {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// Id of the call or order; empty for a batched call and for `Freed` and `Leaving`.
    pub call: String,
    /// The caller's request, from the `[#…]` marker in the input.
    pub subject: Option<String>,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Identifiers of a call in the journal.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallIdentity {
    pub(crate) call: String,
    pub(crate) subject: Option<String>,
    pub(crate) key: Option<String>,
}

/// In-memory journal, optionally appended to a file as JSON lines; clones share the entries.
#[derive(Clone, Debug)]
pub(crate) struct Journal {
    endpoint: String,
    service: String,
    entries: Arc<Mutex<Vec<JournalEntry>>>,
    file: Option<Arc<Mutex<File>>>,
}

impl Journal {
    pub(crate) fn new(endpoint: &str, service: &str, file: Option<&Path>) -> eyre::Result<Self> {
        let open = |path: &Path| {
            let file = File::options().create(true).append(true).open(path);
            file.wrap_err_with(|| format!("open the journal file {}", path.display()))
        };
        let file = file.map(open).transpose()?;
        Ok(Self {
            endpoint: endpoint.to_owned(),
            service: service.to_owned(),
            entries: Arc::default(),
            file: file.map(|f| Arc::new(Mutex::new(f))),
        })
    }

    pub(crate) fn add(&self, identity: &CallIdentity, event: Event) {
        let entry = JournalEntry {
            at_ms: now_ms(),
            endpoint: self.endpoint.clone(),
            service: self.service.clone(),
            call: identity.call.clone(),
            subject: identity.subject.clone(),
            key: identity.key.clone(),
            event,
        };
        if let Some(file) = &self.file {
            let mut line = serde_json::to_vec(&entry).unwrap_or_default();
            line.push(b'\n');
            let mut f = file.lock().expect("no panic under this lock");
            if let Err(e) = f.write_all(&line) {
                eprintln!("cannot write to the journal file of {}: {e}", self.endpoint);
            }
        }
        let mut entries = self.entries.lock().expect("no panic under this lock");
        entries.push(entry);
    }

    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        let entries = self.entries.lock().expect("no panic under this lock");
        entries.clone()
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}
