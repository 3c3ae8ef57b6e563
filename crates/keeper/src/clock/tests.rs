use super::{Clock, middle};

const YEAR_MS: i64 = 365 * 24 * 3_600 * 1_000;

#[test]
fn one_clock_that_is_a_year_off_is_outvoted() {
    assert_eq!(middle(&[YEAR_MS, 3]), 3);
    assert_eq!(middle(&[-YEAR_MS, 3]), 0);
    // The own clock is the wrong one.
    assert_eq!(middle(&[-YEAR_MS, -YEAR_MS]), -YEAR_MS);
    // Of two clocks the earlier counts.
    assert_eq!(middle(&[YEAR_MS]), 0);
    assert_eq!(middle(&[-YEAR_MS]), -YEAR_MS);
}

#[test]
fn there_is_no_time_before_a_majority_was_heard() {
    let clock = Clock::default();
    assert!(!clock.agree(&[0], 5));
    assert_eq!(clock.now_ms(), None);
    assert!(clock.agree(&[0], 3));
    assert!(clock.now_ms().is_some());
}
