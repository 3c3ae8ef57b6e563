//! Tests of the backoff after refusals of the weight store.

use std::time::Duration;

use controller::weight_store::{ModelVersion, StoreBackoff};
use tokio::time::Instant;

#[test]
fn delays_double_up_to_a_minute_with_jitter_over_the_whole_range() {
    let (mut store, now) = (StoreBackoff::default(), Instant::now());
    let model_version = ModelVersion {
        model: "m".to_owned(),
        version: 1,
    };
    let mut retry_delay = |jitter| {
        store.record_refusal(model_version.clone(), "503".to_owned(), jitter, now);
        store.refusals()[&model_version].retry_at - now
    };
    let seconds = [1, 2, 4, 8, 16, 32, 60, 60].map(Duration::from_secs);
    assert_eq!(seconds.map(|_| retry_delay(1.0)), seconds);
    assert_eq!(retry_delay(0.5), Duration::from_secs(30));
    assert_eq!(retry_delay(0.0), Duration::from_millis(200));
    assert!(store.blocked_reason(&model_version, now).is_some());
    assert!(
        store
            .blocked_reason(&model_version, now + Duration::from_secs(1))
            .is_none()
    );
    store.record_success(&model_version);
    assert!(store.refusals().is_empty());
}
