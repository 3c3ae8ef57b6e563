//! Backoff after refusals of the weight store.

use std::time::Duration;

use controller::store::{Store, Weight};
use tokio::time::Instant;

#[test]
fn pauses_double_up_to_a_minute_and_are_drawn_from_the_whole_range() {
    let (mut store, now) = (Store::default(), Instant::now());
    let weight = Weight {
        model: "m".to_owned(),
        version: 1,
    };
    let mut pause = |drawn| {
        store.refused(weight.clone(), "503".to_owned(), drawn, now);
        store.refusals()[&weight].next - now
    };
    let seconds = [1, 2, 4, 8, 16, 32, 60, 60].map(Duration::from_secs);
    assert_eq!(seconds.map(|_| pause(1.0)), seconds);
    assert_eq!(pause(0.5), Duration::from_secs(30));
    assert_eq!(pause(0.0), Duration::from_millis(200));
    assert!(store.hindrance(&weight, now).is_some());
    assert!(
        store
            .hindrance(&weight, now + Duration::from_secs(1))
            .is_none()
    );
    store.gave(&weight);
    assert!(store.refusals().is_empty());
}
