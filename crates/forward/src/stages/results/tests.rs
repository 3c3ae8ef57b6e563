use std::time::Duration;

use tokio::time::Instant;

use super::expires_at;
use crate::messages::StoredResult;

fn result(age_ms: u64) -> StoredResult {
    StoredResult {
        handle: "i-1/r1".to_owned(),
        endpoint: "i-1".to_owned(),
        az: "a".to_owned(),
        age: Duration::from_millis(age_ms),
    }
}

/// Guards against items that are submitted with a deadline at which the oldest of their inputs has
/// expired, since the inputs count as stored when the last one was.
#[tokio::test(start_paused = true)]
async fn inputs_expire_with_the_oldest_of_them() {
    let (keep, now) = (Duration::from_secs(4), Instant::now());
    let expires = |ages: &[u64]| {
        let stored: Vec<StoredResult> = ages.iter().map(|age| result(*age)).collect();
        expires_at(&stored, keep, now) - now
    };
    assert_eq!(expires(&[0, 1_500, 300]), Duration::from_millis(2_500));
    assert_eq!(expires(&[5_000]), Duration::ZERO);
    assert_eq!(expires(&[]), keep);
}
