use std::time::Duration;

use membership::ObservedRate;
use tokio::time::Instant;
use uuid::Uuid;

use super::{Grant, Limiter, MAX_ENDPOINTS, MISSING_SHARES_DELAY};

const MILLISECOND: Duration = Duration::from_millis(1);

fn limit(per_second: f64, observed_at: Instant) -> ObservedRate {
    ObservedRate {
        per_second: Some(per_second),
        observed_at,
    }
}

/// Counts the permits for `endpoint` that are granted in `time` to a caller that asks all the time.
fn permits_in(limiter: &mut Limiter, fraction: f64, from: Instant, time: Duration) -> u32 {
    let asks = (0..time.as_millis() as u32).map(|ms| from + MILLISECOND * ms);
    let grants = asks.map(|now| match limiter.grant("e", fraction, now) {
        Grant::Permits(permits) => permits,
        Grant::Refused(_) => 0,
    });
    grants.sum()
}

#[test]
fn permits_follow_the_rate_and_the_shares() {
    let start = Instant::now();
    for (rate, fraction, expected) in [
        (1.0, 1.0, 10),
        (1.5, 1.0, 15),
        (3.0, 1.0 / 3.0, 10),
        (40.0, 0.5, 200),
        (200.0, 1.0, 2_000),
        (1.0, 0.0, 0),
        // The rate is unreadably small or zero: the endpoint is asked now and then.
        (0.0, 1.0, 1),
        (0.001, 1.0, 1),
    ] {
        let mut limiter = Limiter::default();
        limiter.observe("e", Uuid::nil(), limit(rate, start), start);
        let permits = permits_in(&mut limiter, fraction, start, Duration::from_millis(10_050));
        let error = permits.abs_diff(expected);
        assert!(
            error <= expected / 20,
            "{rate} {fraction}: {permits}, not {expected}"
        );
    }
}

#[test]
fn a_refusal_says_when_the_next_call_is_allowed() {
    let start = Instant::now();
    let mut limiter = Limiter::default();
    limiter.observe("e", Uuid::nil(), limit(2.0, start), start);
    let Grant::Refused(after) = limiter.grant("e", 1.0, start) else {
        panic!("a new bucket is empty");
    };
    assert_eq!(after, 500 * MILLISECOND);
    // With too few shares it asks again sooner, as it may have borrowed them by then.
    for fraction in [0.0, 1.0 / 3.0] {
        let refused = limiter.grant("e", fraction, start);
        assert_eq!(refused, Grant::Refused(MISSING_SHARES_DELAY));
    }
    let early = start + after - MILLISECOND;
    assert!(matches!(limiter.grant("e", 1.0, early), Grant::Refused(_)));
    let in_time = start + after + MILLISECOND;
    assert_eq!(limiter.grant("e", 1.0, in_time), Grant::Permits(1));
}

#[test]
fn a_changed_rate_holds_at_once_and_an_ended_one_no_longer() {
    let start = Instant::now();
    let mut limiter = Limiter::default();
    limiter.observe("e", Uuid::nil(), limit(1_000.0, start), start);
    let second = Duration::from_secs(1);
    assert!(permits_in(&mut limiter, 1.0, start, second) > 900);
    let changed = start + second;
    limiter.observe("e", Uuid::nil(), limit(1.0, changed), changed);
    assert!(permits_in(&mut limiter, 1.0, changed, second) <= 2);
    // An observation of before the change is late.
    limiter.observe("e", Uuid::nil(), limit(1_000.0, start), changed);
    assert!(permits_in(&mut limiter, 1.0, changed + second, second) <= 2);
    let ended = ObservedRate {
        per_second: None,
        observed_at: changed + 2 * second,
    };
    limiter.observe("e", Uuid::nil(), ended, changed + 2 * second);
    assert_eq!(
        limiter.grant("e", 1.0, changed + 2 * second),
        Grant::Permits(1)
    );
}

/// A restarted endpoint names its own limit, and one of its former run does not count.
#[test]
fn a_later_incarnation_starts_anew() {
    let start = Instant::now();
    let (first, second) = (Uuid::from_u128(1), Uuid::from_u128(2));
    let mut limiter = Limiter::default();
    limiter.observe("e", first, limit(1.0, start), start);
    limiter.observe("e", second, limit(500.0, start), start);
    limiter.observe("e", first, limit(1.0, start + MILLISECOND), start);
    assert!(permits_in(&mut limiter, 1.0, start, Duration::from_secs(1)) > 450);
}

#[test]
fn the_number_of_buckets_is_bounded() {
    let start = Instant::now();
    let mut limiter = Limiter::default();
    for n in 0..2 * MAX_ENDPOINTS as u32 {
        let now = start + MILLISECOND * n;
        limiter.observe(&format!("e{n}"), Uuid::nil(), limit(1.0, now), now);
    }
    assert_eq!(limiter.endpoints.len(), MAX_ENDPOINTS);
    assert!(!limiter.endpoints.contains_key("e0"));
}
