//! Waits that pools reported, weighted by age.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

/// Age from which a reported wait has no weight.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Time before that age in which its weight falls from 1.
const FADE_TIME: Duration = Duration::from_millis(750);

/// Longest wait that is kept.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// The latest wait of each pool by service, availability zone and urgency.
#[derive(Debug, Default)]
pub struct PoolWaits(HashMap<(String, String), Vec<ReportedWait>>);

#[derive(Clone, Copy, Debug)]
struct ReportedWait {
    urgency: u8,
    wait: Duration,
    at: Instant,
}

impl ReportedWait {
    /// Returns the wait with the weight of its age.
    fn weighted(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.at);
        let left = MAX_AGE.saturating_sub(age).as_secs_f64();
        let weight = left / FADE_TIME.as_secs_f64();
        self.wait.mul_f64(weight.min(1.0))
    }
}

impl PoolWaits {
    /// Records the wait that a collector expects for items of `urgency`, and forgets pools of which
    /// nothing recent is known.
    pub fn record(&mut self, service: &str, az: &str, urgency: u8, wait: Duration, now: Instant) {
        self.0
            .retain(|_, reported| reported.iter().any(|r| now < r.at + MAX_AGE));
        let key = (service.to_owned(), az.to_owned());
        let reported = self.0.entry(key).or_default();
        reported.retain(|r| r.urgency != urgency && now < r.at + MAX_AGE);
        reported.push(ReportedWait {
            urgency,
            wait: wait.min(MAX_WAIT),
            at: now,
        });
    }

    /// Returns the expected wait for items of `urgency`: the longest one that was reported for
    /// equally or more urgent items (which wait no longer), or zero if none is known.
    pub fn expected(&self, service: &str, az: &str, urgency: u8, now: Instant) -> Duration {
        let reported = self.0.get(&(service.to_owned(), az.to_owned()));
        let reported = reported.into_iter().flatten();
        let waits = reported.filter(|r| r.urgency <= urgency);
        waits.map(|r| r.weighted(now)).max().unwrap_or_default()
    }

    /// Returns the number of pools for which a wait is kept.
    pub fn pools(&self) -> usize {
        self.0.len()
    }
}
