use declaration::{Service, ServiceKind};
use tokio::time::advance;

use super::{QUERY_TTL, ROLLOUT_GRACE, Rollouts};

fn engine(version: u32) -> Service {
    Service {
        kind: ServiceKind::Engine,
        repeatable: true,
        model: Some("m".to_owned()),
        version: Some(version),
        adapters: Vec::new(),
        max_tokens: 16,
        roles: None,
        model_mb: None,
        endpoint_mb: None,
        capacity: declaration::Capacity::default(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_rollout_starts_with_a_change_and_ends_after_its_grace_period() {
    let rollouts = Rollouts::default();
    assert!(rollouts.is_in_progress("e", &engine(1)));
    advance(ROLLOUT_GRACE).await;
    assert!(!rollouts.is_in_progress("e", &engine(1)));
    assert!(rollouts.is_in_progress("e", &engine(2)));
}

#[tokio::test(start_paused = true)]
async fn a_halted_rollout_lasts_as_long_as_its_controller_queries_it() {
    let rollouts = Rollouts::default();
    assert!(rollouts.is_in_progress("e", &engine(1)));
    advance(ROLLOUT_GRACE).await;
    rollouts.record_query(&["e".to_owned()]);
    assert!(rollouts.is_in_progress("e", &engine(1)));
    advance(QUERY_TTL).await;
    assert!(!rollouts.is_in_progress("e", &engine(1)));
}
