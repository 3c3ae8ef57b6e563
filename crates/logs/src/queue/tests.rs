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

use super::{CAPACITY, CountingSink, QueueSink, counts, has_capacity, queued};
use crate::kind::Kind;

/// A writer that blocks while the lock is held, and counts writes.
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
fn full_queue_drops_and_counts_lines_and_drops_successes_first() {
    let lines = Arc::new(Mutex::new(0));
    let sink = WriteSink::builder().target(Stalled(Arc::clone(&lines)));
    let sink = sink.formatter(JsonFormatter::new()).build().unwrap();
    let capacity = NonZeroUsize::new(CAPACITY).unwrap();
    let thread = ThreadPool::builder()
        .capacity(capacity)
        .build_arc()
        .unwrap();
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(CountingSink { sink }))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(thread)
        .build_arc()
        .unwrap();
    let sink = Arc::new(QueueSink { queue });
    let logger = Logger::builder().sink(sink).build().unwrap();
    let stalled = lines.lock().unwrap();
    let total = CAPACITY * 3;
    for n in 0..total {
        spdlog::info!(logger: logger, "line", kv: { event = n });
        if n == CAPACITY / 2 {
            assert!(!has_capacity(Kind::Served) && has_capacity(Kind::Failed));
        }
    }
    assert!(!has_capacity(Kind::Failed));
    let dropped = counts().dropped as usize;
    assert_eq!(dropped, total - CAPACITY);
    drop(stalled);
    while queued() > 0 {
        std::thread::yield_now();
    }
    assert_eq!(counts().written as usize, CAPACITY);
    assert!(has_capacity(Kind::Served));
}
