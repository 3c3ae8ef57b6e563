//! When calls to a new version count as worse than those to the versions before.

use std::collections::BTreeMap;

use controller::{
    attainment::{Fall, MANY_CALLS, MAX_P, MIN_NEW, Share, Window, probability},
    calls::Comparisons,
    tracker::Release,
};
use link::calls::{CallCounts, CallsReply, ReleaseCalls};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use uuid::Uuid;

const SEED: u64 = 20_261_204;
/// Probability at which the test's false alarms are frequent enough to be counted.
const COUNTABLE_P: f64 = 0.01;
const LOOKS: u32 = 20_000;

fn share(calls: u64, missed: u64) -> Share {
    Share { calls, missed }
}

fn drawn(rng: &mut StdRng, calls: u64, rate: f64) -> Share {
    let missed = (0..calls).filter(|_| rng.random_bool(rate)).count() as u64;
    share(calls, missed)
}

/// The test's probability by counting every way to spread the missed calls.
fn counted(new: Share, old: Share) -> f64 {
    let choose = |n: u64, k: u64| (0..k).fold(1.0, |c, i| c * (n - i) as f64 / (i + 1) as f64);
    let missed = new.missed + old.missed;
    let answered = new.calls + old.calls - missed;
    let on_new = new.missed..=missed.min(new.calls);
    let ways = on_new.filter(|k| new.calls - k <= answered);
    let ways: f64 = ways
        .map(|k| choose(missed, k) * choose(answered, new.calls - k))
        .sum();
    ways / choose(new.calls + old.calls, new.calls)
}

proptest! {
    #[test]
    fn the_probability_is_that_of_counting_all_ways(
        new in (1_u64..40, 0_u64..40), old in (1_u64..40, 0_u64..40),
    ) {
        let new = share(new.0, new.1.min(new.0));
        let old = share(old.0, old.1.min(old.0));
        let (got, want) = (probability(new, old), counted(new, old));
        prop_assert!((got - want).abs() <= want * 0.02 + 1e-9, "{got} {want}");
    }
}

#[test]
fn equal_versions_look_different_no_more_often_than_the_test_says() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for rate in [0.01, 0.1, 0.4] {
        let mut alarms = 0;
        for _ in 0..LOOKS {
            let (new, old) = (drawn(&mut rng, 40, rate), drawn(&mut rng, 160, rate));
            alarms += u32::from(probability(new, old) <= COUNTABLE_P);
            assert_eq!(Fall::of(new, old), None, "{new:?} {old:?}");
        }
        assert!(
            f64::from(alarms) <= f64::from(LOOKS) * COUNTABLE_P,
            "{alarms}"
        );
    }
}

#[test]
fn no_window_of_equal_versions_halts_a_rollout() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for rate in [0.01, 0.1, 0.4] {
        for _ in 0..300 {
            let mut window = Window::default();
            for _ in 0..MANY_CALLS / 4 {
                window.add_new(&counts(drawn(&mut rng, 4, rate)));
                window.add_old(&counts(drawn(&mut rng, 12, rate)));
                assert_eq!(window.look(), None);
            }
        }
    }
}

#[test]
fn a_version_that_misses_a_third_of_its_calls_is_found_within_160() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..200 {
        let mut window = Window::default();
        let found = (0..160).find_map(|_| {
            let (new, old) = (drawn(&mut rng, 1, 0.35), drawn(&mut rng, 3, 0.01));
            window.add_new(&counts(new));
            window.add_old(&counts(old));
            window.look()
        });
        assert!(found.is_some_and(|fall| fall.probability <= MAX_P));
    }
}

#[test]
fn a_version_that_fails_after_a_thousand_good_calls_is_found_within_a_dozen() {
    for good in 900..1_100 {
        let mut window = Window::default();
        for _ in 0..good {
            window.add_new(&counts(share(1, 0)));
            window.add_old(&counts(share(3, 0)));
            assert_eq!(window.look(), None);
        }
        let found = (0..12).any(|_| {
            window.add_new(&counts(share(1, 1)));
            window.add_old(&counts(share(20, 0)));
            window.look().is_some()
        });
        assert!(found, "{good}");
    }
}

#[test]
fn nothing_is_judged_from_a_few_calls_or_a_small_difference() {
    let mut window = Window::default();
    window.add_new(&counts(share(MIN_NEW - 1, MIN_NEW - 1)));
    window.add_old(&counts(share(1_000, 0)));
    assert_eq!(window.look(), None);
    window.add_new(&counts(share(1, 1)));
    assert!(window.look().is_some());
    assert_eq!(Fall::of(share(100_000, 3_000), share(100_000, 0)), None);
}

fn counts(share: Share) -> CallCounts {
    CallCounts {
        answered: share.calls - share.missed,
        late: share.missed / 2,
        failed: share.missed - share.missed / 2,
    }
}

fn release(version: u32) -> Release {
    Release {
        service: "s".to_owned(),
        model: "m".to_owned(),
        version,
    }
}

fn told(counter: u128, of: &[(u32, Share)]) -> CallsReply {
    let calls = |(version, share): &(u32, Share)| ReleaseCalls {
        service: "s".to_owned(),
        model: "m".to_owned(),
        version: *version,
        counts: counts(*share),
    };
    CallsReply {
        counter: Uuid::from_u128(counter),
        releases: of.iter().map(calls).collect(),
    }
}

fn rolling(version: u32) -> BTreeMap<String, Release> {
    BTreeMap::from([("s".to_owned(), release(version))])
}

#[test]
fn calls_from_before_the_rollout_do_not_count_and_those_of_a_restarted_gate_do() {
    let mut seen = Comparisons::default();
    let asked = vec!["s".to_owned()];
    seen.roll(rolling(2));
    // Version 1 failed much before the rollout.
    seen.take("g", &asked, told(1, &[(1, share(5_000, 5_000))]));
    assert!(seen.look().is_empty());
    let more = [(1, share(5_015, 5_000)), (2, share(10, 10))];
    seen.take("g", &asked, told(1, &more));
    // Too few calls to the version before.
    assert!(seen.look().is_empty());
    // The gate restarts; its counters start from zero, and what they count is new.
    seen.take(
        "g",
        &asked,
        told(2, &[(1, share(30, 0)), (2, share(15, 15))]),
    );
    let falls = seen.look();
    assert_eq!(falls.len(), 1);
    assert_eq!(falls[0].0, release(2));
    assert_eq!(
        (falls[0].1.new, falls[0].1.old),
        (share(25, 25), share(45, 0))
    );
}

#[test]
fn another_declaration_starts_the_comparison_anew() {
    let mut seen = Comparisons::default();
    let asked = vec!["s".to_owned()];
    seen.roll(rolling(2));
    seen.take("g", &asked, told(1, &[]));
    seen.take(
        "g",
        &asked,
        told(1, &[(1, share(50, 0)), (2, share(50, 50))]),
    );
    seen.roll(rolling(3));
    assert!(seen.look().is_empty());
}
