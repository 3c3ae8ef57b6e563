//! Tests of the detection of versions that answer fewer calls in time.

use std::collections::BTreeMap;

use controller::{
    attainment::{
        CallTally, LONG_WINDOW_CALLS, MAX_P_VALUE, MIN_NEW_CALLS, Regression, RegressionDetector,
        fisher_p_value,
    },
    comparison::RolloutComparisons,
    tracker::Release,
};
use link::calls::{CallCounts, CallsReply, ReleaseCalls};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use uuid::Uuid;

const SEED: u64 = 20_261_204;
/// A p-value at which false alarms are frequent enough to be counted.
const COUNTABLE_P: f64 = 0.01;
const CHECKS: u32 = 20_000;

fn tally(calls: u64, missed: u64) -> CallTally {
    CallTally { calls, missed }
}

fn random_tally(rng: &mut StdRng, calls: u64, rate: f64) -> CallTally {
    let missed = (0..calls).filter(|_| rng.random_bool(rate)).count() as u64;
    tally(calls, missed)
}

/// Returns the p-value computed by counting every distribution of the missed calls.
fn exact_p_value(new: CallTally, old: CallTally) -> f64 {
    let choose = |n: u64, k: u64| (0..k).fold(1.0, |c, i| c * (n - i) as f64 / (i + 1) as f64);
    let missed = new.missed + old.missed;
    let answered = new.calls + old.calls - missed;
    let missed_new = new.missed..=missed.min(new.calls);
    let ways = missed_new.filter(|k| new.calls - k <= answered);
    let ways: f64 = ways
        .map(|k| choose(missed, k) * choose(answered, new.calls - k))
        .sum();
    ways / choose(new.calls + old.calls, new.calls)
}

proptest! {
    #[test]
    fn the_p_value_matches_exhaustive_counting(
        new in (1_u64..40, 0_u64..40), old in (1_u64..40, 0_u64..40),
    ) {
        let new = tally(new.0, new.1.min(new.0));
        let old = tally(old.0, old.1.min(old.0));
        let (got, want) = (fisher_p_value(new, old), exact_p_value(new, old));
        prop_assert!((got - want).abs() <= want * 0.02 + 1e-9, "{got} {want}");
    }
}

#[test]
fn false_alarms_stay_within_the_p_value() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for rate in [0.01, 0.1, 0.4] {
        let mut false_alarms = 0;
        for _ in 0..CHECKS {
            let (new, old) = (
                random_tally(&mut rng, 40, rate),
                random_tally(&mut rng, 160, rate),
            );
            false_alarms += u32::from(fisher_p_value(new, old) <= COUNTABLE_P);
            assert_eq!(Regression::detect(new, old), None, "{new:?} {old:?}");
        }
        assert!(
            f64::from(false_alarms) <= f64::from(CHECKS) * COUNTABLE_P,
            "{false_alarms}"
        );
    }
}

#[test]
fn equal_versions_never_halt_a_rollout() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for rate in [0.01, 0.1, 0.4] {
        for _ in 0..300 {
            let mut detector = RegressionDetector::default();
            for _ in 0..LONG_WINDOW_CALLS / 4 {
                detector.add_new(&counts(random_tally(&mut rng, 4, rate)));
                detector.add_old(&counts(random_tally(&mut rng, 12, rate)));
                assert_eq!(detector.check(), None);
            }
        }
    }
}

#[test]
fn a_version_that_misses_a_third_of_its_calls_is_detected_within_160() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..200 {
        let mut detector = RegressionDetector::default();
        let detected = (0..160).find_map(|_| {
            let (new, old) = (
                random_tally(&mut rng, 1, 0.35),
                random_tally(&mut rng, 3, 0.01),
            );
            detector.add_new(&counts(new));
            detector.add_old(&counts(old));
            detector.check()
        });
        assert!(detected.is_some_and(|regression| regression.probability <= MAX_P_VALUE));
    }
}

#[test]
fn a_version_that_fails_after_a_thousand_good_calls_is_detected_within_a_dozen() {
    for answered_calls in 900..1_100 {
        let mut detector = RegressionDetector::default();
        for _ in 0..answered_calls {
            detector.add_new(&counts(tally(1, 0)));
            detector.add_old(&counts(tally(3, 0)));
            assert_eq!(detector.check(), None);
        }
        let detected = (0..12).any(|_| {
            detector.add_new(&counts(tally(1, 1)));
            detector.add_old(&counts(tally(20, 0)));
            detector.check().is_some()
        });
        assert!(detected, "{answered_calls}");
    }
}

#[test]
fn few_calls_or_a_small_difference_are_no_regression() {
    let mut detector = RegressionDetector::default();
    detector.add_new(&counts(tally(MIN_NEW_CALLS - 1, MIN_NEW_CALLS - 1)));
    detector.add_old(&counts(tally(1_000, 0)));
    assert_eq!(detector.check(), None);
    detector.add_new(&counts(tally(1, 1)));
    assert!(detector.check().is_some());
    assert_eq!(
        Regression::detect(tally(100_000, 3_000), tally(100_000, 0)),
        None
    );
}

fn counts(tally: CallTally) -> CallCounts {
    CallCounts {
        answered: tally.calls - tally.missed,
        late: tally.missed / 2,
        failed: tally.missed - tally.missed / 2,
    }
}

fn release(version: u32) -> Release {
    Release {
        service: "s".to_owned(),
        model: "m".to_owned(),
        version,
    }
}

fn reply(counter: u128, releases: &[(u32, CallTally)]) -> CallsReply {
    let calls = |(version, tally): &(u32, CallTally)| ReleaseCalls {
        service: "s".to_owned(),
        model: "m".to_owned(),
        version: *version,
        counts: counts(*tally),
    };
    CallsReply {
        counter: Uuid::from_u128(counter),
        releases: releases.iter().map(calls).collect(),
    }
}

fn rollouts(version: u32) -> BTreeMap<String, Release> {
    BTreeMap::from([("s".to_owned(), release(version))])
}

#[test]
fn calls_from_before_the_rollout_do_not_count_and_those_of_a_restarted_gate_do() {
    let mut comparisons = RolloutComparisons::default();
    let services = vec!["s".to_owned()];
    comparisons.set_rollouts(rollouts(2));
    // Version 1 missed many calls before the rollout.
    comparisons.record_reply("g", &services, reply(1, &[(1, tally(5_000, 5_000))]));
    assert!(comparisons.check().is_empty());
    let more = [(1, tally(5_015, 5_000)), (2, tally(10, 10))];
    comparisons.record_reply("g", &services, reply(1, &more));
    // Too few calls to the old version.
    assert!(comparisons.check().is_empty());
    // The gate restarts: its counters start from zero and count only new calls.
    comparisons.record_reply(
        "g",
        &services,
        reply(2, &[(1, tally(30, 0)), (2, tally(15, 15))]),
    );
    let regressions = comparisons.check();
    assert_eq!(regressions.len(), 1);
    assert_eq!(regressions[0].0, release(2));
    assert_eq!(
        (regressions[0].1.new, regressions[0].1.old),
        (tally(25, 25), tally(45, 0))
    );
}

#[test]
fn another_declaration_restarts_the_comparison() {
    let mut comparisons = RolloutComparisons::default();
    let services = vec!["s".to_owned()];
    comparisons.set_rollouts(rollouts(2));
    comparisons.record_reply("g", &services, reply(1, &[]));
    comparisons.record_reply(
        "g",
        &services,
        reply(1, &[(1, tally(50, 0)), (2, tally(50, 50))]),
    );
    comparisons.set_rollouts(rollouts(3));
    assert!(comparisons.check().is_empty());
}
