//! The pace of streams: how fast a service's chunks usually come, and whether one stream lags so far
//! that its deadline is at risk.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use bytes::Bytes;
use routing::{Latencies, SizeClass, Stage};
use tokio::time::{Instant, timeout_at};

use crate::{error::CallError, exchange::Exchange};

/// Chunks over which a pace is taken.
const WINDOW_CHUNKS: u32 = 16;
/// How many times the usual pause between two chunks counts as lag.
const LAG_FACTOR: u32 = 4;
/// Shortest pause between two chunks that counts as lag.
const MIN_LAG: Duration = Duration::from_millis(50);
/// Weight of the newest stream in the usual number of chunks.
const NEWEST_WEIGHT: f64 = 0.1;

/// What is usual for the streams of each service.
#[derive(Debug, Default)]
pub(crate) struct StreamStats {
    /// Pauses between two chunks, as means over a window.
    chunk_intervals: Latencies,
    /// Chunks of a whole stream.
    chunk_counts: Mutex<HashMap<String, f64>>,
}

impl StreamStats {
    fn typical(&self, service: &str) -> Option<TypicalStream> {
        let chunk_interval = self.chunk_intervals.estimate(&[stage(service)]);
        let chunk_counts = self.chunk_counts.lock();
        let chunk_counts = chunk_counts.expect("no holder of this lock panics");
        let chunks = *chunk_counts.get(service)?;
        (!chunk_interval.is_zero()).then_some(TypicalStream {
            chunk_interval,
            chunks,
        })
    }

    fn record_interval(&self, service: &str, mean: Duration) {
        self.chunk_intervals.observe(stage(service), mean);
    }

    /// Notes that a stream of `service` was whole after `chunks`.
    pub(crate) fn record_length(&self, service: &str, chunks: u64) {
        let chunk_counts = self.chunk_counts.lock();
        let mut chunk_counts = chunk_counts.expect("no holder of this lock panics");
        match chunk_counts.get_mut(service) {
            Some(typical) => *typical += (chunks as f64 - *typical) * NEWEST_WEIGHT,
            None => {
                chunk_counts.insert(service.to_owned(), chunks as f64);
            }
        }
    }
}

fn stage(service: &str) -> Stage<'_> {
    let size = SizeClass::SMALLEST;
    Stage { service, size }
}

/// What is usual for the streams of a service.
#[derive(Clone, Copy, Debug)]
struct TypicalStream {
    chunk_interval: Duration,
    chunks: f64,
}

/// Finds another endpoint for a stream with this prompt and pays for the move; false where it has to
/// stay.
pub(crate) type MoveFn<'a> = &'a (dyn Fn(&str) -> bool + Send + Sync);

/// Watches one stream.
pub(crate) struct LagDetector<'a> {
    stats: &'a StreamStats,
    service: &'a str,
    deadline: Instant,
    move_stream: MoveFn<'a>,
    prompt: &'a str,
    typical: Option<TypicalStream>,
    /// Chunks of the window so far, and the time waited for them.
    window: (u32, Duration),
}

impl<'a> LagDetector<'a> {
    /// A watch over a stream of `service` that has to end before `deadline`.
    pub(crate) fn new(
        stats: &'a StreamStats,
        service: &'a str,
        deadline: Instant,
        move_stream: MoveFn<'a>,
    ) -> Self {
        Self {
            stats,
            service,
            deadline,
            move_stream,
            prompt: "",
            typical: stats.typical(service),
            window: (0, Duration::ZERO),
        }
    }

    /// The same for a stream with `prompt`.
    pub(crate) fn with_prompt(self, prompt: &'a str) -> Self {
        Self { prompt, ..self }
    }

    fn try_move(&self) -> bool {
        (self.move_stream)(self.prompt)
    }

    /// The next part of the stream, of which `held` chunks are there already, unless it is to move.
    pub(crate) async fn next(
        &mut self,
        exchange: &mut Exchange,
        received: u64,
    ) -> Result<Option<Bytes>, CallError> {
        let started = Instant::now();
        let part = match self.max_chunk_interval(received, started) {
            Some(max_interval) => match timeout_at(started + max_interval, exchange.next()).await {
                Ok(part) => part,
                Err(_) if self.try_move() => return Err(CallError::Lagging),
                // It stays for this chunk.
                Err(_) => exchange.next().await,
            },
            None => exchange.next().await,
        };
        self.window.1 += started.elapsed();
        part
    }

    /// Notes that `new` chunks came and `held` are there.
    pub(crate) fn record_chunks(&mut self, new: u64, received: u64) -> Result<(), CallError> {
        self.window.0 += new as u32;
        let (chunks, waited) = self.window;
        if chunks < WINDOW_CHUNKS {
            return Ok(());
        }
        let mean = waited / chunks;
        self.window = (0, Duration::ZERO);
        let max_interval = self.max_chunk_interval(received, Instant::now());
        let is_lagging = max_interval.is_some_and(|max_interval| mean > max_interval);
        if is_lagging && self.try_move() {
            return Err(CallError::Lagging);
        }
        self.stats.record_interval(self.service, mean);
        self.typical = self.stats.typical(self.service);
        Ok(())
    }

    /// The longest pause between two chunks that is no lag or does not put the deadline at risk;
    /// none where too little is known, or where another endpoint could not meet the deadline either.
    fn max_chunk_interval(&self, received: u64, now: Instant) -> Option<Duration> {
        let typical = self.typical?;
        let remaining_chunks = (typical.chunks - received as f64).max(1.0);
        let remaining = self.deadline.saturating_duration_since(now);
        let lag = (typical.chunk_interval * LAG_FACTOR).max(MIN_LAG);
        let can_move = typical.chunk_interval.mul_f64(remaining_chunks) < remaining;
        can_move.then(|| lag.max(remaining.div_f64(remaining_chunks)))
    }
}
