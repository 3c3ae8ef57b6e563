//! Buffer for the decisions on one request.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};

use crate::{
    event::{Ending, Event},
    logger::{now_ms, write, write_at},
};

/// Most decisions buffered for one request.
const MAX_ENTRIES: usize = 64;

/// A decision and its time, in milliseconds since the Unix epoch.
#[derive(Debug)]
struct Entry {
    at_ms: u64,
    event: Event,
}

/// Decisions on one request. They are written when the request fails or misses its objective; any
/// other request is one line. Dropping the log before the end records that the caller left.
#[derive(Debug)]
pub struct RequestLog {
    request_id: String,
    started_at: tokio::time::Instant,
    entries: Mutex<Vec<Entry>>,
    is_ended: AtomicBool,
}

impl RequestLog {
    /// Creates an empty log of the request with the id `request_id`.
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            started_at: tokio::time::Instant::now(),
            entries: Mutex::default(),
            is_ended: AtomicBool::new(false),
        }
    }

    /// Returns the request's id.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Adds a decision, unless the buffer is full.
    pub fn note(&self, event: Event) {
        let mut entries = self.entries.lock().expect("no holder of this lock panics");
        if entries.len() < MAX_ENTRIES {
            let at_ms = now_ms();
            entries.push(Entry { at_ms, event });
        }
    }

    /// Returns the milliseconds since the log was created.
    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Ends the log of a successful request with the summary `event`. Also writes the decisions if the
    /// request missed its objective.
    pub fn served(&self, event: &Event) {
        if self.is_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        write(Some(&self.request_id), event);
        if matches!(event, Event::Served { is_late: true, .. }) {
            self.write_entries();
        }
    }

    /// Ends the log of a request that got no complete response from an endpoint, and writes the
    /// decisions.
    pub fn failed(&self, ending: Ending, status: u16, why: &str, retry_after_ms: Option<u64>) {
        if self.is_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        // The summary goes first, since it is the most important line if some are left out.
        write(
            Some(&self.request_id),
            &Event::Failed {
                ending,
                status,
                why: why.to_owned(),
                retry_after_ms,
                took_ms: self.elapsed_ms(),
            },
        );
        self.write_entries();
    }

    fn write_entries(&self) {
        let mut entries = self.entries.lock().expect("no holder of this lock panics");
        for entry in entries.drain(..) {
            write_at(Some(&self.request_id), &entry.event, entry.at_ms);
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.failed(
            Ending::Left,
            0,
            "the caller disconnected before the request ended",
            None,
        );
    }
}
