//! Quantiles of the time that stages take, by service and size of input.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use derives::value;
use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Time after which the older half of the observations is forgotten.
const WINDOW: Duration = Duration::from_secs(30);
/// Observations before a quantile is believed.
const MIN_SAMPLES: u64 = 20;
const HEDGE_QUANTILE: f64 = 0.95;
/// A stage is expected to take its median: an estimate that refuses nobody who has even chances.
const ESTIMATE_QUANTILE: f64 = 0.5;
/// Longest time that computed quantiles are used.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(250);
const MAX_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Inputs of like size: a class holds sizes up to four times its smallest.
#[value]
#[derive(Copy, Default)]
pub struct SizeClass(u8);

impl SizeClass {
    /// The class of an empty input.
    pub const SMALLEST: Self = Self(0);

    /// The class of an input of `bytes`.
    pub fn of(bytes: usize) -> Self {
        let log2 = usize::BITS - bytes.leading_zeros();
        Self((log2 / 2) as u8)
    }
}

/// One stage and the size of its input.
#[value]
#[derive(Copy)]
pub struct Stage<'a> {
    /// The service that it calls.
    pub service: &'a str,
    /// The input's size.
    pub size: SizeClass,
}

#[derive(Debug)]
struct Window {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_at: Instant,
    summary: Option<Summary>,
}

/// Quantiles that every request asks for, computed now and then.
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

/// Latencies of stages; shared by all requests of a gate.
#[derive(Debug, Default)]
pub struct Latencies {
    windows: Mutex<HashMap<String, HashMap<SizeClass, Window>>>,
}

impl Latencies {
    /// Nothing known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `stage` took `elapsed`.
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

    /// The time within which a share `q` of calls like `stage` ended; `None` while too few are
    /// known.
    pub fn quantile(&self, stage: Stage<'_>, q: f64) -> Option<Duration> {
        let now = Instant::now();
        let windows = self.windows.lock();
        let mut windows = windows.expect("no holder of this lock panics");
        let window = windows.get_mut(stage.service)?.get_mut(&stage.size)?;
        window.rotate(now);
        window.quantile(q)
    }

    /// How long to wait for `stage` before a second try runs beside the first.
    pub fn hedge_after(&self, stage: Stage<'_>) -> Option<Duration> {
        self.summary(stage)?.hedge_delay
    }

    /// What `stages` are likely to take, one after the other; unknown ones count nothing.
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
