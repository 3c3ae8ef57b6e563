//! What a stand-in really ran, entry by entry.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derives::record;
use eyre::WrapErr;

/// What happened to a call or an order.
#[record]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The call began to run.
    Started,
    /// The call ran to its end.
    Finished {
        /// Digest of the output.
        output_digest: String,
        /// Time that it took, in microseconds.
        busy_us: u64,
        /// Tokens generated, for an engine.
        tokens: u64,
        /// Prompt tokens found in the prefix cache, for an engine.
        reused: u64,
    },
    /// The call was refused and did not run.
    Refused {
        /// Why.
        reason: String,
    },
    /// The call ran and answered an error.
    Failed {
        /// Time that it took, in microseconds.
        busy_us: u64,
    },
    /// The call was cancelled while it ran.
    Cancelled {
        /// Time that it took until then, in microseconds.
        busy_us: u64,
        /// Tokens generated until then, for an engine.
        tokens: u64,
    },
    /// A stream was taken up again.
    Resumed {
        /// Offset in bytes from which it goes on.
        offset: u64,
    },
    /// An order was carried out.
    Ordered {
        /// Its fencing number.
        fencing: u64,
        /// What it asked for.
        action: String,
    },
    /// An order was refused for its old fencing number.
    StaleOrder {
        /// Its fencing number.
        fencing: u64,
    },
    /// A batched call was run.
    Batched {
        /// Its items: request, stage and number, joined by `-`.
        items: Vec<String>,
    },
    /// Results were given up.
    Freed {
        /// Their handles.
        handles: Vec<String>,
    },
    /// The endpoint announced that it leaves.
    Leaving,
}

/// One entry of a journal.
#[record]
pub struct JournalEntry {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The endpoint's name.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// The call's id, or the order's.
    pub call: String,
    /// The caller's request, known by its mark in the input.
    pub subject: Option<String>,
    /// The idempotency key that came along.
    pub key: Option<String>,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What names a call in the journal.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallName {
    pub(crate) call: String,
    pub(crate) subject: Option<String>,
    pub(crate) key: Option<String>,
}

/// A journal that its owner appends to.
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
            file.wrap_err_with(|| format!("open the journal {}", path.display()))
        };
        let file = file.map(open).transpose()?;
        Ok(Self {
            endpoint: endpoint.to_owned(),
            service: service.to_owned(),
            entries: Arc::default(),
            file: file.map(|f| Arc::new(Mutex::new(f))),
        })
    }

    pub(crate) fn add(&self, name: &CallName, event: Event) {
        let entry = JournalEntry {
            at_ms: now_ms(),
            endpoint: self.endpoint.clone(),
            service: self.service.clone(),
            call: name.call.clone(),
            subject: name.subject.clone(),
            key: name.key.clone(),
            event,
        };
        if let Some(file) = &self.file {
            let mut line = serde_json::to_vec(&entry).unwrap_or_default();
            line.push(b'\n');
            let mut f = file.lock().expect("no panic under this lock");
            if let Err(e) = f.write_all(&line) {
                eprintln!("journal of {}: {e}", self.endpoint);
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

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}
