//! Admission of a request over the graph of its stages.
//!
//! A stage needs the results of earlier ones, and the request needs those of the last stages. If a
//! later pool is too full to be passed in time, the work of the earlier ones is wasted. So the
//! expected waits of all pools are compared with the time that is left before the first stage starts.

mod announced;
mod pool_waits;

use std::time::Duration;

pub use announced::{Announced, Announcement};
pub use pool_waits::PoolWaits;

/// A request whose expected time exceeds this share of the time left is checked with the pools.
const SUSPECT_SHARE: f64 = 0.5;
/// Share of the remaining time for which callers wait before they retry.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Where it is decided whether the stages of a request can be completed in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StageAdmission {
    /// At each pool, when the items of its stage are submitted.
    #[default]
    Pool,
    /// Also before the first stage, for all stages together.
    Graph,
}

impl StageAdmission {
    /// Parses the setting `[routing] stage_admission`, absent for the default. The error says what to
    /// write.
    pub fn parse(text: Option<&str>) -> Result<Self, String> {
        match text {
            None | Some("pool") => Ok(Self::Pool),
            Some("graph") => Ok(Self::Graph),
            Some(other) => Err(format!("`{other}` is unknown; write pool or graph")),
        }
    }
}

/// Expected times of one stage of a request.
#[derive(Clone, Copy, Debug)]
pub struct StageEstimate<'a> {
    /// Indexes of the stages whose results it needs.
    pub after: &'a [usize],
    /// Expected wait at its pool.
    pub wait: Duration,
    /// Expected duration of its calls; zero if it has no items.
    pub duration: Duration,
}

/// The estimates of all stages of a request, and the time that is left.
#[derive(Clone, Debug)]
pub struct GraphEstimate<'a> {
    /// The stages, each after those that it needs.
    pub stages: Vec<StageEstimate<'a>>,
    /// Expected duration of the request after its stages.
    pub request_time: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
}

/// The time from which a wait is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitFrom {
    /// The submission to the pool, whose queue is assumed to stay as long as it is.
    Submission,
    /// Now; items that have not arrived yet are included.
    Now,
}

/// Why a request can't be completed in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooFull {
    /// The stage with the longest wait.
    pub stage: usize,
    /// Its expected wait.
    pub wait: Duration,
    /// By how much the request would miss its deadline, and so the time after which the pool has
    /// capacity for it.
    pub excess: Duration,
}

impl GraphEstimate<'_> {
    /// Returns true if the pools have to be asked for their present waits before the first stage
    /// starts: with the known waits, the request could come near its deadline.
    pub fn is_suspect(&self) -> bool {
        let has_waits = self.stages.iter().any(|stage| !stage.wait.is_zero());
        has_waits && self.total(WaitFrom::Submission) > self.remaining.mul_f64(SUSPECT_SHARE)
    }

    /// Decides whether the request may start. The waits are present ones, counted from now, and
    /// include items that were announced.
    pub fn admit(&self) -> Result<(), TooFull> {
        let total = self.total(WaitFrom::Now);
        let is_active = |n: &usize| !self.stages[*n].duration.is_zero();
        let stages = (0..self.stages.len()).filter(is_active);
        match stages.max_by_key(|n| self.stages[*n].wait) {
            Some(stage) if total > self.remaining && !self.stages[stage].wait.is_zero() => {
                Err(TooFull {
                    stage,
                    wait: self.stages[stage].wait,
                    excess: total.saturating_sub(self.remaining),
                })
            }
            _ => Ok(()),
        }
    }

    /// Returns the expected time until each stage is submitted.
    pub fn submitted_in(&self) -> Vec<Duration> {
        let ends = self.ends(WaitFrom::Submission);
        let stages = self.stages.iter();
        stages.map(|stage| ready(stage.after, &ends)).collect()
    }

    /// Returns the length of the critical path.
    fn total(&self, from: WaitFrom) -> Duration {
        let last = self.ends(from).into_iter().max();
        last.unwrap_or_default().saturating_add(self.request_time)
    }

    /// Returns the expected time until each stage ends.
    fn ends(&self, from: WaitFrom) -> Vec<Duration> {
        let mut ends = Vec::with_capacity(self.stages.len());
        for stage in &self.stages {
            let ready = ready(stage.after, &ends);
            ends.push(match from {
                _ if stage.duration.is_zero() => ready,
                WaitFrom::Submission => ready
                    .saturating_add(stage.wait)
                    .saturating_add(stage.duration),
                WaitFrom::Now => ready.max(stage.wait).saturating_add(stage.duration),
            });
        }
        ends
    }
}

/// Returns the time until the stages in `after` have ended.
fn ready(after: &[usize], ends: &[Duration]) -> Duration {
    let before = after.iter().filter_map(|n| ends.get(*n));
    before.max().copied().unwrap_or_default()
}

/// Returns when a refused caller may retry. Requests that are refused together are spread by
/// `random`, which is in 0..1, over the time from `free_after`, when there is capacity, to the time
/// for which the caller waits with `remaining` until its deadline.
pub fn retry_after(free_after: Duration, remaining: Duration, random: f64) -> Duration {
    let latest = remaining.mul_f64(MAX_RETRY_SHARE);
    let earliest = free_after.min(latest / 2);
    earliest + latest.saturating_sub(earliest).mul_f64(random)
}

#[cfg(test)]
mod tests;
