//! Whether calls to a new version are answered in time as often as those to the versions before.
//!
//! A look is taken whenever further calls to the new version were missed, over up to [`MANY_CALLS`]
//! and over up to [`FEW_CALLS`]; each counting then starts anew. A look finds a fall where Fisher's exact test
//! gives such a difference a probability of at most [`MAX_P`] under equal versions. The test is exact
//! for few calls too, and few is all that an endpoint gets which gates eject after its first failures.

use derives::{record, token};
use link::calls::CallCounts;

/// Calls to the new version without which nothing is judged.
pub const MIN_NEW_CALLS: u64 = 4;
/// Calls to the versions before without which nothing is judged.
pub const MIN_OLD_CALLS: u64 = 20;
/// Calls to the new version after which counting of many starts anew.
pub const LONG_WINDOW_CALLS: u64 = 1_024;
/// Calls to the new version after which counting of the last few starts anew.
pub const SHORT_WINDOW_CALLS: u64 = 64;
/// Greatest probability of so great a difference between equal versions, by look.
pub const MAX_P_VALUE: f64 = 1e-6;
/// Least fall of attainment that halts a rollout, as a share of calls.
pub const MIN_MISS_RATE_INCREASE: f64 = 0.05;
/// Terms of a sum that are smaller than this share of it are left out.
const NEGLIGIBLE_TERM: f64 = 1e-12;

/// Calls in a window, and those of them that were not answered in time.
#[token]
#[derive(Default)]
pub struct CallTally {
    /// All calls.
    pub calls: u64,
    /// Calls that failed or were late.
    pub missed: u64,
}

impl CallTally {
    /// Adds calls.
    pub fn add(&mut self, counts: &CallCounts) {
        self.calls += counts.total();
        self.missed += counts.late + counts.failed;
    }

    fn rate(&self) -> f64 {
        self.missed as f64 / self.calls.max(1) as f64
    }
}

/// A fall of attainment that halted a rollout.
#[record]
pub struct Regression {
    /// Calls to the new version.
    pub new: CallTally,
    /// Calls to the versions before, in the same time.
    pub old: CallTally,
    /// Probability of so great a difference between equal versions.
    pub probability: f64,
}

impl Regression {
    /// The fall that `new` shows against `old`, if it does.
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
            "{} of {} calls to it failed or were late, {} of {} to the versions before",
            new.missed, new.calls, old.missed, old.calls
        )
    }
}

/// Calls to the new version and to others since counting started.
#[derive(Clone, Copy, Debug, Default)]
struct CallWindow {
    new: CallTally,
    old: CallTally,
    /// Missed calls to the new version at the last look.
    missed_at_check: u64,
}

impl CallWindow {
    /// Takes the look that is due, if one is; starts anew after `max_calls`.
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

/// What is compared during a rollout: many calls, which show a small fall, and the last few, which
/// show one that comes late.
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

    /// Adds calls to another version.
    pub fn add_old(&mut self, counts: &CallCounts) {
        self.long.old.add(counts);
        self.short.old.add(counts);
    }

    /// Takes the looks that are due; the fall that one finds.
    pub fn check(&mut self) -> Option<Regression> {
        let in_short = self.short.check(SHORT_WINDOW_CALLS);
        self.long.check(LONG_WINDOW_CALLS).or(in_short)
    }
}

/// Fisher's exact test, one-sided: the probability that at least as many of the calls missed fall
/// on `new` as did, where each call was as likely to miss as any other.
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
        // The ratio of one term to the one before it.
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

/// Stirling's series; its error is below 0.003 at one and falls with the fifth power.
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
