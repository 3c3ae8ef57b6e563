use super::{Clock, lower_median};

const YEAR_MS: i64 = 365 * 24 * 3_600 * 1_000;

#[test]
fn one_clock_a_year_off_does_not_move_the_median() {
    assert_eq!(lower_median(&[YEAR_MS, 3]), 3);
    assert_eq!(lower_median(&[-YEAR_MS, 3]), 0);
    // The local clock is the wrong one.
    assert_eq!(lower_median(&[-YEAR_MS, -YEAR_MS]), -YEAR_MS);
    // The lower of two middle offsets is used.
    assert_eq!(lower_median(&[YEAR_MS]), 0);
    assert_eq!(lower_median(&[-YEAR_MS]), -YEAR_MS);
}

#[test]
fn time_is_unset_until_a_majority_responded() {
    let clock = Clock::default();
    assert!(!clock.synchronize(&[0], 5));
    assert_eq!(clock.now_ms(), None);
    assert!(clock.synchronize(&[0], 3));
    assert!(clock.now_ms().is_some());
}
