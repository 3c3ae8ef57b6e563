//! Tests of evacuated availability zones.

use std::time::Duration;

use tokio::time::Instant;

use super::Fleet;
use crate::{
    availability::UnavailableReason,
    error::Refusal,
    placement::{EVACUATED_RETRY_AFTER, PlacementError},
    requirements::Requirements,
    testing::{mirror, view},
};

/// A gate in zone `a` with an endpoint in each of the zones `a` and `b`.
fn fleet() -> Fleet {
    let fleet = Fleet::default();
    let views = [view("i-a", "desk", "a"), view("i-b", "desk", "b")];
    fleet.update(&mirror(views), |_| None);
    fleet
}

fn place(fleet: &Fleet) -> Result<String, PlacementError> {
    let requirements = Requirements {
        service: "desk",
        az: "a",
        prompt: None,
        inputs: &[],
        avoid: &[],
    };
    let placed = fleet.place(&requirements)?;
    Ok(placed.ready().target.name.clone())
}

fn evacuate(fleet: &Fleet, version: u64, zones: &[&str]) {
    fleet.set_evacuated(version, zones.iter().map(ToString::to_string).collect());
}

/// Guards against requests, retries or fallbacks that reach an endpoint of an evacuated zone, also
/// while links between zones are cut and return.
#[tokio::test(start_paused = true)]
async fn no_request_is_placed_in_an_evacuated_zone() {
    let fleet = fleet();
    assert_eq!(place(&fleet).unwrap(), "i-a");
    evacuate(&fleet, 1, &["a"]);
    for _ in 0..3 {
        assert_eq!(place(&fleet).unwrap(), "i-b");
    }
    assert_eq!(fleet.healthy_by_zone("desk"), [("b".to_owned(), 1)].into());
    // What keeps the other endpoint from work for a moment doesn't make this one a fallback.
    let pool = fleet.pool("desk").unwrap();
    let other = pool.targets.iter().find(|t| t.az == "b").unwrap();
    other.mark_full();
    assert_eq!(place(&fleet).unwrap(), "i-b");
    fleet.set_unreachable(["b".to_owned()].into());
    assert!(place(&fleet).is_err());
    fleet.set_unreachable(["a".to_owned()].into());
    fleet.set_unreachable([].into());
    assert_eq!(place(&fleet).unwrap(), "i-b");
    evacuate(&fleet, 2, &[]);
    assert_eq!(place(&fleet).unwrap(), "i-a");
}

/// Guards against a refusal that names another reason, or no time to come back.
#[tokio::test(start_paused = true)]
async fn request_is_refused_if_all_zones_are_evacuated() {
    let fleet = fleet();
    evacuate(&fleet, 2, &["a", "b"]);
    let refused = PlacementError {
        reason: Refusal::Evacuated,
        retry_after: Some(EVACUATED_RETRY_AFTER),
    };
    assert_eq!(place(&fleet), Err(refused));
    let pool = fleet.pool("desk").unwrap();
    for target in &pool.targets {
        let now = Instant::now();
        target
            .stats()
            .availability
            .pause(Duration::from_secs(9), now);
        let reason = target.unavailable_reason(&fleet.reachable(), now);
        assert_eq!(reason, Some(UnavailableReason::Evacuated));
        assert!(!fleet.may_release_on(Some(target)));
    }
    assert!(!fleet.may_release_on(None));
    assert_eq!(place(&fleet), Err(refused));
}

/// Guards against a restarted gate that serves before it has heard of an order.
#[tokio::test(start_paused = true)]
async fn nothing_is_placed_before_the_evacuated_zones_are_known() {
    let fleet = fleet();
    fleet.await_evacuations();
    assert!(!fleet.knows_evacuations());
    assert!(place(&fleet).is_err());
    fleet.set_unreachable(["b".to_owned()].into());
    assert!(place(&fleet).is_err());
    evacuate(&fleet, 0, &[]);
    assert!(fleet.knows_evacuations());
    assert_eq!(place(&fleet).unwrap(), "i-a");
}
