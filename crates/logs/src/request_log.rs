//! The decisions on one request, kept until it ends.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};

use crate::{
    event::{Ending, Event},
    logger::{now_ms, write, write_at},
};

/// Most decisions that are kept of one request.
const MAX_ENTRIES: usize = 64;

/// A decision and its moment, in milliseconds since the Unix epoch.
#[derive(Debug)]
struct Entry {
    at_ms: u64,
    event: Event,
}

/// The decisions on one request. They are written where it fails; one that went well is one line.
#[derive(Debug)]
pub struct RequestLog {
    request_id: String,
    started_at: tokio::time::Instant,
    entries: Mutex<Vec<Entry>>,
    is_ended: AtomicBool,
}

impl RequestLog {
    /// Nothing was decided yet on `request`.
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            started_at: tokio::time::Instant::now(),
            entries: Mutex::default(),
            is_ended: AtomicBool::new(false),
        }
    }

    /// The request's id.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Notes a decision.
    pub fn note(&self, event: Event) {
        let mut entries = self.entries.lock().expect("no holder of this lock panics");
        if entries.len() < MAX_ENTRIES {
            let at_ms = now_ms();
            entries.push(Entry { at_ms, event });
        }
    }

    /// Milliseconds since it began.
    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// The request went well; `event` sums it up. One that missed its objective is written whole.
    pub fn served(&self, event: &Event) {
        if self.is_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        write(Some(&self.request_id), event);
        if matches!(event, Event::Served { is_late: true, .. }) {
            self.write_entries();
        }
    }

    /// The request ended without a whole answer of an endpoint.
    pub fn failed(&self, ending: Ending, status: u16, why: &str, retry_after_ms: Option<u64>) {
        if self.is_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        // The end comes first: where lines are left out it is the last to go.
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
        self.failed(Ending::Left, 0, "the caller left before the end", None);
    }
}
