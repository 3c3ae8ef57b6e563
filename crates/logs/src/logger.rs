//! Start of the logger and writing of events.

use std::{
    num::NonZeroUsize,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use spdlog::{
    Level, LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, WriteSink},
};

use crate::{
    event::Event,
    output::Output,
    queue::{self, CAPACITY, CountingSink, QueueSink},
    rate_limit::RATE_LIMITS,
};

/// Longest wait for the queue to drain at the end of the process.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Stream that lines are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that print their result to standard output.
    Stderr,
}

static IS_ENDING: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Stops the logger when dropped, after writing the last lines as far as the reader accepts them in
/// time.
#[derive(Debug)]
#[must_use = "the last lines are written when it is dropped"]
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        report_left_out();
        let end = std::time::Instant::now() + DRAIN_TIMEOUT;
        while queue::queued() > 0 && std::time::Instant::now() < end {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        if let Some(is_ending) = IS_ENDING.get() {
            is_ending.store(true, Ordering::Relaxed);
        }
    }
}

/// Makes the default logger write records of at least `level` to `stream` as JSON lines that name
/// the process's `vm`.
pub fn start(vm: Option<&str>, level: Level, stream: Stream) -> eyre::Result<LogGuard> {
    let is_ending = Arc::clone(IS_ENDING.get_or_init(Arc::default));
    let output = WriteSink::builder()
        .target(Output::new(stream, is_ending))
        .formatter(JsonFormatter::new())
        .build()?;
    let capacity = NonZeroUsize::new(CAPACITY).unwrap_or(NonZeroUsize::MIN);
    let thread = ThreadPool::builder().capacity(capacity).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(CountingSink { sink: output }))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(thread)
        .error_handler(|_| {})
        .build_arc()?;
    let mut builder = Logger::builder();
    if let Some(vm) = vm {
        builder.name(vm);
    }
    let logger = builder
        .sink(Arc::new(QueueSink { queue }))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::Off)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(LogGuard(()))
}

/// Changes the lowest level that is written.
pub fn set_level(level: Level) {
    let filter = LevelFilter::MoreSevereEqual(level);
    spdlog::default_logger().set_level_filter(filter);
}

/// Writes a line with `event`, about the request with the id `request` if given, unless the rate
/// limit of its kind is reached or the queue is full.
pub fn write(request: Option<&str>, event: &Event) {
    write_at(request, event, now_ms());
}

/// Like [`write`], for an event that occurred at `at_ms`, in milliseconds since the Unix epoch.
pub(crate) fn write_at(request: Option<&str>, event: &Event, at_ms: u64) {
    let kind = event.kind();
    if !spdlog::default_logger().should_log(kind.level()) {
        return;
    }
    if !queue::has_capacity(kind) {
        queue::count_dropped();
        return;
    }
    if !RATE_LIMITS.try_acquire(kind) {
        return;
    }
    let name = kind.name();
    match request {
        Some(request) => {
            spdlog::log!(kind.level(), "{name}", kv: { request, at_ms, event:serde = event });
        }
        None => spdlog::log!(kind.level(), "{name}", kv: { at_ms, event:serde = event }),
    }
}

static DROPPED_REPORTED: AtomicU64 = AtomicU64::new(0);

/// Writes a line for each kind with lines left out since the last call. Meant to be called once per
/// second.
pub fn report_left_out() {
    for (kind, count) in RATE_LIMITS.take_left_out() {
        write(None, &queue::left_out_event(kind.name(), count));
    }
    let dropped = queue::counts().dropped;
    let reported = DROPPED_REPORTED.swap(dropped, Ordering::Relaxed);
    if dropped > reported {
        write(None, &queue::left_out_event("queue", dropped - reported));
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
