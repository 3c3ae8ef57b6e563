use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

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

#[tokio::test(start_paused = true)]
async fn what_comes_before_the_first_confirmation_can_wait_for_it() {
    let fresh = Freshness::new(Duration::from_secs(4));
    let start = Instant::now();
    let limit = Duration::from_secs(1);
    assert!(timeout(limit, fresh.begun()).await.is_err());
    let confirming = fresh.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        confirming.confirm(Duration::from_secs(100));
    });
    fresh.begun().await;
    assert_eq!(start.elapsed(), limit + Duration::from_millis(300));
    fresh.begun().await;
    assert_eq!(start.elapsed(), limit + Duration::from_millis(300));
}
