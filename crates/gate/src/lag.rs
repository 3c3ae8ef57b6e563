//! The pace of streams: how fast a service's chunks usually come, and whether one stream lags so far
//! that its deadline is at risk.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use bytes::Bytes;
use routing::{Latencies, SizeClass, Stage};
use tokio::time::{Instant, timeout_at};

use crate::{error::CallError, exchange::Exchange};

/// Chunks over which a pace is taken.
const WINDOW: u32 = 16;
/// How many times the usual pause between two chunks counts as lag.
const LAG_FACTOR: u32 = 4;
/// Shortest pause between two chunks that counts as lag.
const SHORTEST_LAG: Duration = Duration::from_millis(50);
/// Weight of the newest stream in the usual number of chunks.
const NEWEST: f64 = 0.1;

/// What is usual for the streams of each service.
#[derive(Debug, Default)]
pub(crate) struct StreamStats {
    /// Pauses between two chunks, as means over a window.
    pauses: Latencies,
    /// Chunks of a whole stream.
    lengths: Mutex<HashMap<String, f64>>,
}

impl StreamStats {
    fn usual(&self, service: &str) -> Option<TypicalStream> {
        let pause = self.pauses.estimate(&[stage(service)]);
        let lengths = self.lengths.lock();
        let lengths = lengths.expect("no holder of this lock panics");
        let chunks = *lengths.get(service)?;
        (!pause.is_zero()).then_some(TypicalStream { pause, chunks })
    }

    fn paused(&self, service: &str, mean: Duration) {
        self.pauses.observe(stage(service), mean);
    }

    /// Notes that a stream of `service` was whole after `chunks`.
    pub(crate) fn ended(&self, service: &str, chunks: u64) {
        let lengths = self.lengths.lock();
        let mut lengths = lengths.expect("no holder of this lock panics");
        match lengths.get_mut(service) {
            Some(usual) => *usual += (chunks as f64 - *usual) * NEWEST,
            None => {
                lengths.insert(service.to_owned(), chunks as f64);
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
    pause: Duration,
    chunks: f64,
}

/// Finds another endpoint for a stream with this prompt and pays for the move; false where it has to
/// stay.
pub(crate) type MoveFn<'a> = &'a (dyn Fn(&str) -> bool + Send + Sync);

/// Watches one stream.
pub(crate) struct LagDetector<'a> {
    paces: &'a StreamStats,
    service: &'a str,
    deadline: Instant,
    move_on: MoveFn<'a>,
    prompt: &'a str,
    usual: Option<TypicalStream>,
    /// Chunks of the window so far, and the time waited for them.
    window: (u32, Duration),
}

impl<'a> LagDetector<'a> {
    /// A watch over a stream of `service` that has to end before `deadline`.
    pub(crate) fn new(
        paces: &'a StreamStats,
        service: &'a str,
        deadline: Instant,
        move_on: MoveFn<'a>,
    ) -> Self {
        Self {
            paces,
            service,
            deadline,
            move_on,
            prompt: "",
            usual: paces.usual(service),
            window: (0, Duration::ZERO),
        }
    }

    /// The same for a stream with `prompt`.
    pub(crate) fn over(self, prompt: &'a str) -> Self {
        Self { prompt, ..self }
    }

    fn may_move(&self) -> bool {
        (self.move_on)(self.prompt)
    }

    /// The next part of the stream, of which `held` chunks are there already, unless it is to move.
    pub(crate) async fn next(
        &mut self,
        exchange: &mut Exchange,
        held: u64,
    ) -> Result<Option<Bytes>, CallError> {
        let from = Instant::now();
        let part = match self.longest_pause(held, from) {
            Some(longest) => match timeout_at(from + longest, exchange.next()).await {
                Ok(part) => part,
                Err(_) if self.may_move() => return Err(CallError::Lagging),
                // It stays for this chunk.
                Err(_) => exchange.next().await,
            },
            None => exchange.next().await,
        };
        self.window.1 += from.elapsed();
        part
    }

    /// Notes that `new` chunks came and `held` are there.
    pub(crate) fn came(&mut self, new: u64, held: u64) -> Result<(), CallError> {
        self.window.0 += new as u32;
        let (chunks, waited) = self.window;
        if chunks < WINDOW {
            return Ok(());
        }
        let mean = waited / chunks;
        self.window = (0, Duration::ZERO);
        let longest = self.longest_pause(held, Instant::now());
        let is_lagging = longest.is_some_and(|longest| mean > longest);
        if is_lagging && self.may_move() {
            return Err(CallError::Lagging);
        }
        self.paces.paused(self.service, mean);
        self.usual = self.paces.usual(self.service);
        Ok(())
    }

    /// The longest pause between two chunks that is no lag or does not put the deadline at risk;
    /// none where too little is known, or where another endpoint could not meet the deadline either.
    fn longest_pause(&self, held: u64, now: Instant) -> Option<Duration> {
        let usual = self.usual?;
        let missing = (usual.chunks - held as f64).max(1.0);
        let left = self.deadline.saturating_duration_since(now);
        let lag = (usual.pause * LAG_FACTOR).max(SHORTEST_LAG);
        let can_move = usual.pause.mul_f64(missing) < left;
        can_move.then(|| lag.max(left.div_f64(missing)))
    }
}
