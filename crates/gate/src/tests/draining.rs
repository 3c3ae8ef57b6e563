//! Expiry and bounds of draining endpoints.

use std::time::Duration;

use link::calls::MAX_DRAINING;
use tokio::time::advance;

use crate::draining::DrainingEndpoints;

#[tokio::test(start_paused = true)]
async fn a_drain_expires_unless_its_controller_repeats_it() {
    let draining = DrainingEndpoints::default();
    let avoid = ["a".to_owned()];
    assert_eq!(draining.with_draining(&avoid), None);
    draining.record(vec!["b".to_owned()]);
    assert_eq!(draining.with_draining(&avoid).unwrap(), ["a", "b"]);
    advance(Duration::from_secs(4)).await;
    draining.record(vec!["b".to_owned()]);
    advance(Duration::from_secs(4)).await;
    assert!(draining.with_draining(&avoid).is_some());
    advance(Duration::from_secs(1)).await;
    assert_eq!(draining.with_draining(&avoid), None);
}

#[tokio::test(start_paused = true)]
async fn the_number_of_draining_endpoints_is_bounded() {
    let draining = DrainingEndpoints::default();
    draining.record((0..1_000).map(|at| at.to_string()).collect());
    assert_eq!(draining.with_draining(&[]).unwrap().len(), MAX_DRAINING);
}
