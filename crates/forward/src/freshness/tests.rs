use std::time::Duration;

use super::Freshness;

#[test]
fn a_confirmation_counts_from_its_request_and_never_goes_back() {
    let freshness = Freshness::new(Duration::from_secs(4));
    assert_eq!(freshness.age_at(Duration::from_secs(100)), None);
    freshness.confirm(Duration::from_secs(100));
    // The reply to an earlier request arrives late.
    freshness.confirm(Duration::from_secs(98));
    let age = freshness.age_at(Duration::from_secs(103));
    assert_eq!(age, Some(Duration::from_secs(3)));
}
