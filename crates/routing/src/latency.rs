//! Latency quantiles of stages, by service and input size.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use derives::value;
use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Time after which the previous histogram is discarded and the current one takes its place.
const WINDOW: Duration = Duration::from_secs(30);
/// Fewest observations for which quantiles are reported.
const MIN_SAMPLES: u64 = 20;
const HEDGE_QUANTILE: f64 = 0.95;
/// Stages are estimated at their median, so that no request with an even chance to complete in time
/// is refused.
const ESTIMATE_QUANTILE: f64 = 0.5;
/// Longest time that computed quantiles are cached.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(250);
const MAX_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Class of inputs of similar size. The largest size in a class is about four times its smallest.
#[value]
#[derive(Copy, Default)]
pub struct SizeClass(u8);

impl SizeClass {
    /// Class of an empty input.
    pub const SMALLEST: Self = Self(0);

    /// Returns the class of an input of `bytes`.
    pub fn of(bytes: usize) -> Self {
        let log2 = usize::BITS - bytes.leading_zeros();
        Self((log2 / 2) as u8)
    }
}

/// A stage, identified by its service and the size of its input.
#[value]
#[derive(Copy)]
pub struct Stage<'a> {
    /// Name of the service that the stage calls.
    pub service: &'a str,
    /// Size class of the input.
    pub size: SizeClass,
}

#[derive(Debug)]
struct Window {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_at: Instant,
    summary: Option<Summary>,
}

/// Cached quantiles, since every request reads them.
#[derive(Clone, Copy, Debug)]
struct Summary {
    computed_at: Instant,
    median: Option<Duration>,
    hedge_delay: Option<Duration>,
}

impl Window {
    fn new(now: Instant) -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid")
        };
        Self {
            current: empty(),
            previous: empty(),
            started_at: now,
            summary: None,
        }
    }

    fn summary(&mut self, now: Instant) -> Summary {
        match self.summary {
            Some(known) if now.saturating_duration_since(known.computed_at) < MAX_SUMMARY_AGE => {
                known
            }
            _ => {
                self.rotate(now);
                let summary = Summary {
                    computed_at: now,
                    median: self.quantile(ESTIMATE_QUANTILE),
                    hedge_delay: self.quantile(HEDGE_QUANTILE),
                };
                self.summary = Some(summary);
                summary
            }
        }
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started_at);
        if age >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.started_at = now;
        }
        if age >= WINDOW * 2 {
            self.previous.reset();
        }
    }

    fn quantile(&self, q: f64) -> Option<Duration> {
        let mut all = self.current.clone();
        all.add(&self.previous).ok()?;
        (all.len() >= MIN_SAMPLES).then(|| Duration::from_micros(all.value_at_quantile(q)))
    }
}

/// Latency histograms of stages, shared by all requests of a gate.
#[derive(Debug, Default)]
pub struct Latencies {
    windows: Mutex<HashMap<String, HashMap<SizeClass, Window>>>,
}

impl Latencies {
    /// Creates histograms without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `stage` took `elapsed`.
    pub fn observe(&self, stage: Stage<'_>, elapsed: Duration) {
        let now = Instant::now();
        let micros = (elapsed.as_micros() as u64).clamp(1, MAX_MICROS);
        let windows = self.windows.lock();
        let mut windows = windows.expect("no holder of this lock panics");
        if !windows.contains_key(stage.service) {
            windows.insert(stage.service.to_owned(), HashMap::new());
        }
        let by_size = windows
            .get_mut(stage.service)
            .expect("it was just inserted");
        let window = by_size
            .entry(stage.size)
            .or_insert_with(|| Window::new(now));
        window.rotate(now);
        window.current.saturating_record(micros);
    }

    /// Returns quantile `q` (0 to 1) of the latency of `stage`, or `None` if there are too few
    /// observations.
    pub fn quantile(&self, stage: Stage<'_>, q: f64) -> Option<Duration> {
        let now = Instant::now();
        let windows = self.windows.lock();
        let mut windows = windows.expect("no holder of this lock panics");
        let window = windows.get_mut(stage.service)?.get_mut(&stage.size)?;
        window.rotate(now);
        window.quantile(q)
    }

    /// Returns the time after which to hedge a call of `stage`, or `None` if there are too few
    /// observations.
    pub fn hedge_after(&self, stage: Stage<'_>) -> Option<Duration> {
        self.summary(stage)?.hedge_delay
    }

    /// Returns the estimated duration of running `stages` in sequence. Stages with too few
    /// observations count as zero.
    pub fn estimate(&self, stages: &[Stage<'_>]) -> Duration {
        let known = stages.iter().filter_map(|s| self.summary(*s)?.median);
        known.sum()
    }

    fn summary(&self, stage: Stage<'_>) -> Option<Summary> {
        let windows = self.windows.lock();
        let mut windows = windows.expect("no holder of this lock panics");
        let window = windows.get_mut(stage.service)?.get_mut(&stage.size)?;
        Some(window.summary(Instant::now()))
    }
}
