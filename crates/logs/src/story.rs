//! The decisions on one request, kept until it ends.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};

use crate::{
    event::{Ending, Event},
    start::{now_ms, write, write_at},
};

/// Most decisions that are kept of one request.
const MAX_STEPS: usize = 64;

/// A decision and its moment, in milliseconds since the Unix epoch.
#[derive(Debug)]
struct Step {
    at_ms: u64,
    event: Event,
}

/// The decisions on one request. They are written where it fails; one that went well is one line.
#[derive(Debug)]
pub struct RequestLog {
    request: String,
    begun: tokio::time::Instant,
    steps: Mutex<Vec<Step>>,
    is_over: AtomicBool,
}

impl RequestLog {
    /// Nothing was decided yet on `request`.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            begun: tokio::time::Instant::now(),
            steps: Mutex::default(),
            is_over: AtomicBool::new(false),
        }
    }

    /// The request's id.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Notes a decision.
    pub fn note(&self, event: Event) {
        let mut steps = self.steps.lock().expect("no holder of this lock panics");
        if steps.len() < MAX_STEPS {
            let at_ms = now_ms();
            steps.push(Step { at_ms, event });
        }
    }

    /// Milliseconds since it began.
    pub fn elapsed_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// The request went well; `event` sums it up. One that missed its objective is written whole.
    pub fn served(&self, event: &Event) {
        if self.is_over.swap(true, Ordering::Relaxed) {
            return;
        }
        write(Some(&self.request), event);
        if matches!(event, Event::Served { is_late: true, .. }) {
            self.write_steps();
        }
    }

    /// The request ended without a whole answer of an endpoint.
    pub fn failed(&self, ending: Ending, status: u16, why: &str, retry_after_ms: Option<u64>) {
        if self.is_over.swap(true, Ordering::Relaxed) {
            return;
        }
        // The end comes first: where lines are left out it is the last to go.
        write(
            Some(&self.request),
            &Event::Failed {
                ending,
                status,
                why: why.to_owned(),
                retry_after_ms,
                took_ms: self.elapsed_ms(),
            },
        );
        self.write_steps();
    }

    fn write_steps(&self) {
        let mut steps = self.steps.lock().expect("no holder of this lock panics");
        for step in steps.drain(..) {
            write_at(Some(&self.request), &step.event, step.at_ms);
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.failed(Ending::Left, 0, "the caller left before the end", None);
    }
}
