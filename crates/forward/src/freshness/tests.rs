use std::time::Duration;

use super::Freshness;

#[test]
fn a_confirmation_counts_from_the_question_and_never_backwards() {
    let fresh = Freshness::new(Duration::from_secs(4));
    assert_eq!(fresh.age_at(Duration::from_secs(100)), None);
    fresh.confirm(Duration::from_secs(100));
    // The answer to an earlier question came late.
    fresh.confirm(Duration::from_secs(98));
    let age = fresh.age_at(Duration::from_secs(103));
    assert_eq!(age, Some(Duration::from_secs(3)));
}
