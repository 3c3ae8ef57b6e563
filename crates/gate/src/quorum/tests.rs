use std::time::Duration;

use link::{keeper::KeeperRequest, keepers::Keepers};
use tokio::time::Instant;
use uuid::Uuid;

use super::{LOST_AFTER, PROBE_TIMEOUT, Quorum};

const DEADLINE: Duration = Duration::from_mins(1);

#[tokio::test(start_paused = true)]
async fn requests_fail_at_once_when_the_quorum_is_lost() {
    let quorum = Quorum::new(Keepers::new(Vec::new()));
    let req = KeeperRequest::Lookup(Uuid::now_v7());
    let start = Instant::now();
    assert!(quorum.request(&req, DEADLINE).await.is_err());
    let max = LOST_AFTER * 2 + PROBE_TIMEOUT * 2;
    assert!(start.elapsed() < max, "{:?}", start.elapsed());
    let again = Instant::now();
    assert!(quorum.request(&req, DEADLINE).await.is_err());
    assert_eq!(again.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_quorum_until_it_is_lost_or_the_deadline() {
    let quorum = Quorum::new(Keepers::new(Vec::new()));
    let req = KeeperRequest::Lookup(Uuid::now_v7());
    assert!(quorum.wait_until_back(Instant::now() + DEADLINE).await);
    let limit = Duration::from_millis(100);
    assert!(quorum.request(&req, limit).await.is_err());
    let start = Instant::now();
    assert!(!quorum.wait_until_back(start + limit).await);
    assert_eq!(start.elapsed(), limit);
    assert!(!quorum.wait_until_back(start + DEADLINE).await);
    let max = LOST_AFTER + PROBE_TIMEOUT * 2;
    assert!(start.elapsed() < max, "{:?}", start.elapsed());
}
