use std::time::Duration;

use membership::{ColdState, ObservedRate};
use tokio::time::Instant;

use super::{COLD_MARGIN, CallPermission, PERMIT_TTL, Permits};

const SECOND: Duration = Duration::from_secs(1);

fn rate(per_second: Option<f64>, observed_at: Instant) -> ObservedRate {
    ObservedRate {
        per_second,
        observed_at,
    }
}

fn limited(now: Instant) -> Permits {
    let mut permits = Permits::default();
    assert!(permits.record_rate(rate(Some(2.0), now)));
    permits
}

#[test]
fn without_a_limit_no_permit_is_needed() {
    let now = Instant::now();
    let mut permits = Permits::default();
    assert_eq!(permits.try_take(now), CallPermission::Granted);
    // Nothing is recorded of an endpoint that never named a limit.
    assert!(!permits.record_rate(rate(None, now)));
    assert_eq!(permits.observed(), None);
}

#[test]
fn each_permit_allows_one_call_for_a_short_time() {
    let now = Instant::now();
    let mut permits = limited(now);
    assert_eq!(permits.try_take(now), CallPermission::Needed);
    permits.grant(2, now, now);
    assert_eq!(permits.try_take(now), CallPermission::Granted);
    assert_eq!(permits.try_take(now + PERMIT_TTL), CallPermission::Needed);
    permits.grant(1, now + SECOND, now + SECOND);
    assert_eq!(permits.try_take(now + SECOND), CallPermission::Granted);
    assert_eq!(permits.try_take(now + SECOND), CallPermission::Needed);
}

#[test]
fn a_refusal_holds_until_its_time_is_over_or_the_rate_changes() {
    let now = Instant::now();
    let mut permits = limited(now);
    permits.refuse(now + SECOND);
    assert_eq!(permits.refused_until(now), Some(now + SECOND));
    assert_eq!(permits.try_take(now), CallPermission::Refused(now + SECOND));
    assert_eq!(permits.try_take(now + SECOND), CallPermission::Needed);
    permits.refuse(now + 9 * SECOND);
    // A new rate needs another answer, as after a limit of 0.
    assert!(permits.record_rate(rate(Some(5.0), now + SECOND)));
    assert_eq!(permits.try_take(now + SECOND), CallPermission::Needed);
    permits.refuse(now + 9 * SECOND);
    assert!(permits.record_rate(rate(None, now + 2 * SECOND)));
    assert_eq!(permits.try_take(now + 2 * SECOND), CallPermission::Granted);
    assert_eq!(permits.refused_until(now + 2 * SECOND), None);
}

/// A response that was under way when the limit was named, and a late report of another gate, must
/// not end it.
#[test]
fn an_earlier_observation_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut permits = limited(now);
    assert!(!permits.record_rate(rate(None, now)));
    assert!(!permits.record_rate(rate(Some(9.0), now - SECOND)));
    assert_eq!(permits.limit(now), Some(2.0));
    // The same rate again is later, but no change.
    assert!(!permits.record_rate(rate(Some(2.0), now + SECOND)));
    assert!(!permits.record_rate(rate(None, now + SECOND)));
    assert!(permits.record_rate(rate(Some(0.0), now + 2 * SECOND)));
    assert_eq!(permits.limit(now), Some(0.0));
}

/// Guards against calls without a permit to an endpoint that has just turned cold, and against permits
/// that a higher rate allowed.
#[test]
fn a_cold_endpoint_has_the_lesser_of_both_limits() {
    let now = Instant::now();
    let cold = |seq, until| Some(ColdState { seq, until });
    let mut permits = Permits::default();
    assert!(!permits.record_cold(None, Some(9.1), now));
    assert_eq!(permits.limit(now), None);
    assert!(permits.record_cold(cold(1, now + SECOND), Some(9.1), now));
    assert_eq!(permits.try_take(now), CallPermission::Needed);
    assert!(permits.record_rate(rate(Some(40.0), now)));
    assert_eq!(permits.limit(now), Some(9.1));
    assert_eq!(permits.named_limit(), Some(40.0));
    assert!(permits.record_rate(rate(Some(4.0), now + SECOND)));
    assert_eq!(permits.limit(now), Some(4.0));
    permits.record_rate(rate(None, now + 2 * SECOND));
    // It ends by itself.
    assert_eq!(permits.limit(now + SECOND), Some(9.1));
    assert_eq!(permits.limit(now + SECOND + COLD_MARGIN), None);
    let later = now + 3 * SECOND;
    permits.record_rate(rate(Some(400.0), later));
    permits.grant(8, later, later);
    assert!(permits.record_cold(cold(2, later + SECOND), Some(9.1), later));
    assert_eq!(permits.try_take(later), CallPermission::Needed);
}

/// Guards against a keeper that lost its table, or lists an earlier announcement, and ends a cold time.
#[test]
fn only_a_later_announcement_ends_a_cold_time() {
    let now = Instant::now();
    let cold = |seq, until| Some(ColdState { seq, until });
    let mut permits = Permits::default();
    assert!(permits.record_cold(cold(5, now + 3 * SECOND), Some(9.1), now));
    assert!(!permits.record_cold(None, Some(9.1), now));
    assert!(!permits.record_cold(cold(4, now), Some(9.1), now + SECOND));
    assert!(!permits.record_cold(cold(5, now + 2 * SECOND), Some(9.1), now + SECOND));
    assert_eq!(permits.limit(now + 3 * SECOND), Some(9.1));
    assert!(permits.record_cold(cold(6, now), Some(9.1), now + SECOND));
    // Without a declared rate there is no limit.
    assert!(!permits.record_cold(cold(7, now + 9 * SECOND), None, now + SECOND));
    assert_eq!(permits.limit(now + SECOND), None);
}
