//! Detects new versions that answer fewer calls in time than the versions before.
//!
//! Calls are counted in a long window of up to [`LONG_WINDOW_CALLS`] and a short one of up to
//! [`SHORT_WINDOW_CALLS`] calls, which then restart. A window is checked whenever further calls to the
//! new version were missed. A check finds a regression if Fisher's exact test gives the difference a
//! probability of at most [`MAX_P_VALUE`] for equal versions. The test is exact for few calls too, and
//! an endpoint that gates eject after its first failures gets only few.

use derives::{record, token};
use link::calls::CallCounts;

/// Minimum number of calls to the new version for a check.
pub const MIN_NEW_CALLS: u64 = 4;
/// Minimum number of calls to the old versions for a check.
pub const MIN_OLD_CALLS: u64 = 20;
/// Calls to the new version after which the long window restarts.
pub const LONG_WINDOW_CALLS: u64 = 1_024;
/// Calls to the new version after which the short window restarts; it finds late regressions.
pub const SHORT_WINDOW_CALLS: u64 = 64;
/// Greatest p-value, per check, at which a difference counts as a regression.
pub const MAX_P_VALUE: f64 = 1e-6;
/// Smallest increase of the share of missed calls that halts a rollout.
pub const MIN_MISS_RATE_INCREASE: f64 = 0.05;
/// The sum stops at terms smaller than this share of it.
const NEGLIGIBLE_TERM: f64 = 1e-12;

/// Number of calls, and of those not answered in time.
#[token]
#[derive(Default)]
pub struct CallTally {
    /// All calls.
    pub calls: u64,
    /// Calls that failed or were late.
    pub missed: u64,
}

impl CallTally {
    /// Adds the calls in `counts`.
    pub fn add(&mut self, counts: &CallCounts) {
        self.calls += counts.total();
        self.missed += counts.late + counts.failed;
    }

    fn rate(&self) -> f64 {
        self.missed as f64 / self.calls.max(1) as f64
    }
}

/// A drop in attainment that halts a rollout.
#[record]
pub struct Regression {
    /// Calls to the new version.
    pub new: CallTally,
    /// Calls to the old versions in the same time.
    pub old: CallTally,
    /// Probability of a difference at least this large between equal versions.
    pub probability: f64,
}

impl Regression {
    /// Returns the regression of `new` compared with `old`, if there is one.
    pub fn detect(new: CallTally, old: CallTally) -> Option<Self> {
        if new.rate() - old.rate() < MIN_MISS_RATE_INCREASE {
            return None;
        }
        let probability = fisher_p_value(new, old);
        (probability <= MAX_P_VALUE).then_some(Self {
            new,
            old,
            probability,
        })
    }
}

impl std::fmt::Display for Regression {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { new, old, .. } = self;
        write!(
            f,
            "{} of {} calls to it failed or were late, compared with {} of {} to the old versions",
            new.missed, new.calls, old.missed, old.calls
        )
    }
}

/// Calls to the new and the old versions since the window started.
#[derive(Clone, Copy, Debug, Default)]
struct CallWindow {
    new: CallTally,
    old: CallTally,
    /// Missed calls to the new version at the last check.
    missed_at_check: u64,
}

impl CallWindow {
    /// Runs a check if one is due; restarts the window after `max_calls`.
    fn check(&mut self, max_calls: u64) -> Option<Regression> {
        let is_due = self.new.missed > self.missed_at_check
            && self.new.calls >= MIN_NEW_CALLS
            && self.old.calls >= MIN_OLD_CALLS;
        let regression = match is_due {
            true => {
                self.missed_at_check = self.new.missed;
                Regression::detect(self.new, self.old)
            }
            false => None,
        };
        if self.new.calls >= max_calls {
            *self = Self::default();
        }
        regression
    }
}

/// Detects regressions during a rollout: small ones in a long window, late ones in a short window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegressionDetector {
    long: CallWindow,
    short: CallWindow,
}

impl RegressionDetector {
    /// Adds calls to the new version.
    pub fn add_new(&mut self, counts: &CallCounts) {
        self.long.new.add(counts);
        self.short.new.add(counts);
    }

    /// Adds calls to an old version.
    pub fn add_old(&mut self, counts: &CallCounts) {
        self.long.old.add(counts);
        self.short.old.add(counts);
    }

    /// Runs the checks that are due and returns the regression found, if any.
    pub fn check(&mut self) -> Option<Regression> {
        let in_short = self.short.check(SHORT_WINDOW_CALLS);
        self.long.check(LONG_WINDOW_CALLS).or(in_short)
    }
}

/// Returns the p-value of Fisher's one-sided exact test: the probability that `new` has at least as
/// many of the missed calls as it does, if every call was equally likely to be missed.
pub fn fisher_p_value(new: CallTally, old: CallTally) -> f64 {
    let missed = new.missed + old.missed;
    let answered = new.calls + old.calls - missed;
    let ln_all = ln_choose(new.calls + old.calls, new.calls);
    let mut missed_new = new.missed;
    let first =
        ln_choose(missed, missed_new) + ln_choose(answered, new.calls - missed_new) - ln_all;
    let mut term = first.exp();
    let mut sum = term;
    while missed_new < missed.min(new.calls) && term > sum * NEGLIGIBLE_TERM {
        // Ratio of a term to the previous one.
        let above = (missed - missed_new) as f64 * (new.calls - missed_new) as f64;
        let below = (missed_new + 1) as f64 * (answered + missed_new + 1 - new.calls) as f64;
        term *= above / below;
        sum += term;
        missed_new += 1;
    }
    sum.min(1.0)
}

fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

/// Computes Stirling's series; its error is below 0.003 at 1 and falls with the fifth power.
fn ln_factorial(n: u64) -> f64 {
    let x = n as f64;
    match n {
        0 | 1 => 0.0,
        _ => {
            let main = x * x.ln() - x + 0.5 * (std::f64::consts::TAU * x).ln();
            main + 1.0 / (12.0 * x) - 1.0 / (360.0 * x.powi(3))
        }
    }
}
