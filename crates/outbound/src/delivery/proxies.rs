//! Estimates what proxies between the gate and an endpoint hold of a request, from the pace at which it was
//! sent.

use std::{ops::RangeInclusive, time::Duration};

/// Most bytes of a request that proxies hold, acknowledged and not yet passed on.
pub(super) const MAX_PROXY_BYTES: u64 = 256 << 10;
/// Longest time for which proxies are assumed to hold a part of a request.
pub(super) const MAX_PROXY_TIME: Duration = Duration::from_secs(1);
/// Most bytes that a proxy passes on at once.
const PROXY_BURST_BYTES: u64 = 64 << 10;
/// Bounds of the time that a proxy takes to pass on a burst and the end that may follow it.
pub(super) const BURST_TIME: RangeInclusive<Duration> =
    Duration::from_millis(20)..=Duration::from_millis(100);
/// Pace that is assumed if proxies may hold the whole request, which then shows only that they took it.
const ASSUMED_BYTES_PER_SEC: f64 = 800_000.0;
/// Longest time to pass on a request at the assumed pace.
const MAX_ASSUMED_TIME: Duration = Duration::from_millis(80);
/// The time of a request divided by this is that in which proxies take what they can hold.
const EARLY_DIVISOR: u32 = 8;
/// A peer that has not begun to respond gets its last byte later by at most this part of the time that
/// the rest took.
pub(super) const MAX_DELAY_DIVISOR: u32 = 4;
/// Requests above this size get time for an early response before their last byte.
pub(super) const LARGE_REQUEST_BYTES: u64 = 64 << 10;
/// Time from the first byte of a request in which a peer that responds to its head begins to.
pub(super) const EARLY_RESPONSE_TIME: Duration = Duration::from_millis(5);

/// Sent bytes of a request by time since its first byte.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// At times that at least double from one to the next.
    sparse: Vec<(Duration, u64)>,
    latest: (Duration, u64),
}

/// What proxies do with a request that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Proxies {
    /// Time in which they pass on what they hold, as far as the pace of the request shows.
    pub(super) drain: Duration,
    /// Time in which they pass on a burst.
    pub(super) burst: Duration,
    /// Longest delay of the last byte if no response has begun.
    pub(super) most_delay: Duration,
}

impl Progress {
    /// Records the bytes sent `elapsed` after the first was written.
    pub(super) fn record(&mut self, elapsed: Duration, bytes: u64) {
        self.latest = (elapsed, bytes);
        let last = self.sparse.last();
        if last.is_none_or(|(last, _)| elapsed >= *last * 2) {
            self.sparse.push(self.latest);
        }
    }

    /// Returns the last sample that is not from after `elapsed`.
    fn at(&self, elapsed: Duration) -> Option<(Duration, u64)> {
        let samples = self.sparse.iter().rev();
        samples.copied().find(|(at, _)| *at <= elapsed)
    }

    /// Returns the bytes per second from `start` until all of `bytes` were sent after `elapsed`; `None`
    /// if nothing was recorded by `start`.
    fn pace_since(&self, start: Duration, elapsed: Duration, bytes: u64) -> Option<f64> {
        let (at, sent) = self.at(start)?;
        let pace = (bytes - sent) as f64 / elapsed.saturating_sub(at).as_secs_f64();
        Some(pace).filter(|pace| pace.is_finite() && *pace > 0.0)
    }

    /// Returns by how many bytes the first ones were ahead of `pace`, that of the others, since proxies
    /// took them at once; all were sent after `elapsed`.
    fn bytes_ahead(&self, elapsed: Duration, pace: f64) -> f64 {
        let (at, sent) = self.at(elapsed / EARLY_DIVISOR).unwrap_or_default();
        (sent as f64 - pace * at.as_secs_f64()).clamp(0.0, MAX_PROXY_BYTES as f64)
    }

    /// Returns the time until all of `bytes` are sent at the pace so far.
    pub(super) fn time_left(&self, elapsed: Duration, bytes: u64) -> Option<Duration> {
        let (at, sent) = self.latest;
        let share = bytes as f64 / sent as f64;
        let whole = Duration::try_from_secs_f64(at.as_secs_f64() * share).ok()?;
        Some(whole.saturating_sub(elapsed))
    }
}

impl Proxies {
    /// Estimates what proxies do with `bytes` that were sent within `elapsed`.
    pub(super) fn estimate(elapsed: Duration, bytes: u64, progress: &Progress) -> Self {
        let pace = progress.pace_since(elapsed / EARLY_DIVISOR, elapsed, bytes);
        let drain = match pace {
            Some(pace) if bytes > MAX_PROXY_BYTES || pace < ASSUMED_BYTES_PER_SEC => {
                let held = progress.bytes_ahead(elapsed, pace);
                // A short request opens the window too rarely to tell its pace well.
                let most = MAX_PROXY_TIME.min(elapsed);
                Duration::try_from_secs_f64(held / pace).map_or(most, |drain| drain.min(most))
            }
            _ if bytes > MAX_PROXY_BYTES => Duration::ZERO,
            _ => {
                let whole = Duration::from_secs_f64(bytes as f64 / ASSUMED_BYTES_PER_SEC);
                whole.min(MAX_ASSUMED_TIME).saturating_sub(elapsed)
            }
        };
        let early = match bytes {
            ..=LARGE_REQUEST_BYTES => Duration::ZERO,
            _ => EARLY_RESPONSE_TIME.saturating_sub(elapsed),
        };
        Self {
            drain,
            burst: burst_time(pace.unwrap_or(f64::INFINITY), &BURST_TIME),
            most_delay: early.max(elapsed / MAX_DELAY_DIVISOR),
        }
    }
}

/// Returns the time that a proxy takes to pass on a burst at `pace`, in bytes per second, within `bounds`.
pub(super) fn burst_time(pace: f64, bounds: &RangeInclusive<Duration>) -> Duration {
    let time = Duration::try_from_secs_f64(PROXY_BURST_BYTES as f64 / pace);
    time.map_or(*bounds.end(), |time| {
        time.clamp(*bounds.start(), *bounds.end())
    })
}
