//! The queue between tasks and the thread that writes: bounded, never waited for.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use spdlog::{
    ErrorHandler, LevelFilter, Record,
    formatter::Formatter,
    sink::{AsyncPoolSink, Sink, SinkPropAccess},
};

use crate::{budget::BUDGETS, event::Event, kind::Kind};

/// Lines that may wait for the reader.
pub(crate) const CAPACITY: usize = 2_048;

static ENTERED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// What became of lines since the process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Lines that were written.
    pub written: u64,
    /// Lines that were left out since their kind had spent its budget.
    pub left_out: u64,
    /// Lines that were dropped since the reader of the log was too slow.
    pub dropped: u64,
}

/// What became of lines since the process's start.
pub fn counts() -> Counts {
    Counts {
        written: WRITTEN.load(Ordering::Relaxed),
        left_out: BUDGETS.total_left_out(),
        dropped: DROPPED.load(Ordering::Relaxed),
    }
}

/// Lines that wait now.
pub(crate) fn waiting() -> u64 {
    let written = WRITTEN.load(Ordering::Relaxed);
    ENTERED.load(Ordering::Relaxed).saturating_sub(written)
}

/// Counts a line that was dropped.
pub(crate) fn drop_one() {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// Whether a line of `kind` finds room: what went well leaves half of the queue to the rest.
pub(crate) fn has_room(kind: Kind) -> bool {
    let most = match kind.is_success() {
        true => CAPACITY / 2,
        false => CAPACITY,
    };
    waiting() < most as u64
}

/// Gives records to the queue; lines without an event keep to the budget of their own.
pub(crate) struct Entrance {
    pub(crate) queue: Arc<AsyncPoolSink>,
}

impl Sink for Entrance {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let is_text = !record
            .key_values()
            .into_iter()
            .any(|(key, _)| key.as_str() == EVENT);
        if is_text && !BUDGETS.take(Kind::Text) {
            return Ok(());
        }
        if !has_room(Kind::Text) {
            drop_one();
            return Ok(());
        }
        ENTERED.fetch_add(1, Ordering::Relaxed);
        if self.queue.log(record).is_err() {
            ENTERED.fetch_sub(1, Ordering::Relaxed);
            drop_one();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

impl SinkPropAccess for Entrance {
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

/// Key of the event in a line's values.
pub(crate) const EVENT: &str = "event";

/// Counts lines that the thread has written.
pub(crate) struct Exit<S> {
    pub(crate) sink: S,
}

impl<S: Sink> Sink for Exit<S> {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let logged = self.sink.log(record);
        WRITTEN.fetch_add(1, Ordering::Relaxed);
        logged
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.sink.flush()
    }
}

impl<S: SinkPropAccess> SinkPropAccess for Exit<S> {
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

/// The event that tells of lines left out.
pub(crate) fn left_out(of: &str, count: u64) -> Event {
    Event::LeftOut {
        of: of.to_owned(),
        count,
    }
}

#[cfg(test)]
mod tests {
    use std::{
        io::{self, Write},
        num::NonZeroUsize,
        sync::{Arc, Mutex},
    };

    use spdlog::{
        Logger, ThreadPool,
        formatter::JsonFormatter,
        sink::{AsyncPoolSink, OverflowPolicy, WriteSink},
    };

    use super::{CAPACITY, Entrance, Exit, counts, has_room, waiting};
    use crate::kind::Kind;

    /// A reader that takes nothing while the lock is held.
    struct Stalled(Arc<Mutex<usize>>);

    impl Write for Stalled {
        fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
            *self.0.lock().unwrap() += 1;
            Ok(buf.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_full_queue_drops_and_counts_and_what_went_well_goes_first() {
        let lines = Arc::new(Mutex::new(0));
        let sink = WriteSink::builder().target(Stalled(Arc::clone(&lines)));
        let sink = sink.formatter(JsonFormatter::new()).build().unwrap();
        let capacity = NonZeroUsize::new(CAPACITY).unwrap();
        let thread = ThreadPool::builder()
            .capacity(capacity)
            .build_arc()
            .unwrap();
        let queue = AsyncPoolSink::builder()
            .sink(Arc::new(Exit { sink }))
            .overflow_policy(OverflowPolicy::DropIncoming)
            .thread_pool(thread)
            .build_arc()
            .unwrap();
        let entrance = Arc::new(Entrance { queue });
        let logger = Logger::builder().sink(entrance).build().unwrap();
        let stalled = lines.lock().unwrap();
        let total = CAPACITY * 3;
        for n in 0..total {
            spdlog::info!(logger: logger, "line", kv: { event = n });
            if n == CAPACITY / 2 {
                assert!(!has_room(Kind::Served) && has_room(Kind::Failed));
            }
        }
        assert!(!has_room(Kind::Failed));
        let dropped = counts().dropped as usize;
        assert_eq!(dropped, total - CAPACITY);
        drop(stalled);
        while waiting() > 0 {
            std::thread::yield_now();
        }
        assert_eq!(counts().written as usize, CAPACITY);
        assert!(has_room(Kind::Served));
    }
}
