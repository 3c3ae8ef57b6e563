//! Bounded queue between tasks and the writer thread. Tasks never wait for it.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use spdlog::{
    ErrorHandler, LevelFilter, Record,
    formatter::Formatter,
    sink::{AsyncPoolSink, Sink, SinkPropAccess},
};

use crate::{event::Event, kind::Kind, rate_limit::RATE_LIMITS};

/// Capacity of the queue in lines.
pub(crate) const CAPACITY: usize = 2_048;

static ENQUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Numbers of lines since the start of the process, by what became of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Lines written.
    pub written: u64,
    /// Lines left out because of the rate limit of their kind.
    pub left_out: u64,
    /// Lines dropped because the queue was full.
    pub dropped: u64,
}

/// Returns the numbers of lines since the start of the process.
pub fn counts() -> Counts {
    Counts {
        written: WRITTEN.load(Ordering::Relaxed),
        left_out: RATE_LIMITS.total_left_out(),
        dropped: DROPPED.load(Ordering::Relaxed),
    }
}

/// Returns the number of lines in the queue.
pub(crate) fn queued() -> u64 {
    let written = WRITTEN.load(Ordering::Relaxed);
    ENQUEUED.load(Ordering::Relaxed).saturating_sub(written)
}

/// Counts a dropped line.
pub(crate) fn count_dropped() {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// Returns true if the queue has capacity for a line of `kind`. Successes may fill only half of the
/// queue, so that other kinds are dropped last.
pub(crate) fn has_capacity(kind: Kind) -> bool {
    let max = match kind.is_success() {
        true => CAPACITY / 2,
        false => CAPACITY,
    };
    queued() < max as u64
}

/// Enqueues records. Applies the rate limit of [`Kind::Text`] to records without an event.
pub(crate) struct QueueSink {
    pub(crate) queue: Arc<AsyncPoolSink>,
}

impl Sink for QueueSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let has_no_event = !record
            .key_values()
            .into_iter()
            .any(|(key, _)| key.as_str() == EVENT_KEY);
        if has_no_event && !RATE_LIMITS.try_acquire(Kind::Text) {
            return Ok(());
        }
        if !has_capacity(Kind::Text) {
            count_dropped();
            return Ok(());
        }
        ENQUEUED.fetch_add(1, Ordering::Relaxed);
        if self.queue.log(record).is_err() {
            ENQUEUED.fetch_sub(1, Ordering::Relaxed);
            count_dropped();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

impl SinkPropAccess for QueueSink {
    fn level_filter(&self) -> LevelFilter {
        self.queue.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.queue.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.queue.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.queue.set_error_handler(handler);
    }
}

/// Key of the event in the key-value pairs of a line.
pub(crate) const EVENT_KEY: &str = "event";

/// Counts the lines that the writer thread has written.
pub(crate) struct CountingSink<S> {
    pub(crate) sink: S,
}

impl<S: Sink> Sink for CountingSink<S> {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let logged = self.sink.log(record);
        WRITTEN.fetch_add(1, Ordering::Relaxed);
        logged
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.sink.flush()
    }
}

impl<S: SinkPropAccess> SinkPropAccess for CountingSink<S> {
    fn level_filter(&self) -> LevelFilter {
        self.sink.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.sink.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.sink.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.sink.set_error_handler(handler);
    }
}

/// Returns the event that reports `count` lines left out.
pub(crate) fn left_out_event(of: &str, count: u64) -> Event {
    Event::LeftOut {
        of: of.to_owned(),
        count,
    }
}

#[cfg(test)]
mod tests;
