//! Detects streams that lag so far that they may miss their deadline, by comparison with the usual
//! chunk intervals of their service.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use bytes::Bytes;
use routing::{Latencies, SizeClass, Stage};
use tokio::time::{Instant, timeout_at};

use crate::{error::CallError, exchange::Exchange};

/// Chunks over which the mean interval is measured.
const WINDOW_CHUNKS: u32 = 16;
/// Multiple of the typical chunk interval that counts as lag.
const LAG_FACTOR: u32 = 4;
/// Shortest chunk interval that counts as lag.
const MIN_LAG: Duration = Duration::from_millis(50);
/// Weight of the newest stream in the moving average of chunks per stream.
const NEWEST_WEIGHT: f64 = 0.1;

/// Typical chunk intervals and lengths of streams, by service.
#[derive(Debug, Default)]
pub(crate) struct StreamStats {
    /// Intervals between chunks, as means over a window.
    chunk_intervals: Latencies,
    /// Moving average of chunks per stream.
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

    /// Records that a stream of `service` completed with `chunks`.
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

/// Typical values for the streams of a service.
#[derive(Clone, Copy, Debug)]
struct TypicalStream {
    chunk_interval: Duration,
    chunks: f64,
}

/// Finds another endpoint for a stream with this prompt and takes a retry from the budget; returns
/// false if the stream has to stay.
pub(crate) type MoveFn<'a> = &'a (dyn Fn(&str) -> bool + Send + Sync);

/// Watches one stream for lag.
pub(crate) struct LagDetector<'a> {
    stats: &'a StreamStats,
    service: &'a str,
    deadline: Instant,
    move_stream: MoveFn<'a>,
    prompt: &'a str,
    typical: Option<TypicalStream>,
    /// Chunks in the current window, and the time spent waiting for them.
    window: (u32, Duration),
}

impl<'a> LagDetector<'a> {
    /// Creates a detector for a stream of `service` that has to end before `deadline`.
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

    /// Sets the prompt of the stream.
    pub(crate) fn with_prompt(self, prompt: &'a str) -> Self {
        Self { prompt, ..self }
    }

    fn try_move(&self) -> bool {
        (self.move_stream)(self.prompt)
    }

    /// Reads the next part of the stream, of which `received` chunks have arrived. Fails with
    /// [`CallError::Lagging`] if the stream should move to another endpoint.
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
                // The stream can't move; wait on for this chunk.
                Err(_) => exchange.next().await,
            },
            None => exchange.next().await,
        };
        self.window.1 += started.elapsed();
        part
    }

    /// Records `new` chunks; `received` is the total so far.
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

    /// Longest chunk interval that is neither lag nor a risk to the deadline. `None` if too little
    /// is known, or if another endpoint could not meet the deadline either.
    fn max_chunk_interval(&self, received: u64, now: Instant) -> Option<Duration> {
        let typical = self.typical?;
        let remaining_chunks = (typical.chunks - received as f64).max(1.0);
        let remaining = self.deadline.saturating_duration_since(now);
        let lag = (typical.chunk_interval * LAG_FACTOR).max(MIN_LAG);
        let can_move = typical.chunk_interval.mul_f64(remaining_chunks) < remaining;
        can_move.then(|| lag.max(remaining.div_f64(remaining_chunks)))
    }
}
