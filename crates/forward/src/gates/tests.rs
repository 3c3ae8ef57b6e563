use link::{Identity, LinkConfig, Role};
use membership::Mirror;
use uuid::Uuid;

use super::{CollectorChoice, Gates, LimiterChoice, SHARE_RETENTION};
use crate::{
    fleet::GATE_SERVICE,
    testing::{mirror, view},
};

fn links(vm: &str) -> LinkConfig {
    LinkConfig::new(Identity {
        vm: vm.to_owned(),
        az: "a".to_owned(),
        role: Role::Gate,
        incarnation: Uuid::nil(),
    })
}

fn gates_of(count: usize) -> Mirror {
    mirror((0..count).map(|n| view(&format!("g{n}"), GATE_SERVICE, ["a", "b", "c"][n % 3])))
}

#[tokio::test(start_paused = true)]
async fn a_gate_that_reaches_no_other_collects_by_itself() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(3));
    assert_eq!(gates.count(), 3);
    // A newly requested link may still come up until the dial timeout.
    tokio::time::sleep(super::DIAL_TIMEOUT).await;
    assert!(matches!(
        gates.collector_for("ice", "a", 0),
        CollectorChoice::Local
    ));
    // No link was ever up, so no zone counts as unreachable.
    assert!(gates.unreachable_zones().is_empty());
}

#[tokio::test]
async fn many_gates_are_linked_on_demand() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    assert!(gates.collects_by_zone());
    for az in ["a", "b", "c"] {
        gates.collector_for("ice", az, 0);
    }
    let linked = gates
        .known()
        .gates
        .iter()
        .filter(|g| g.peer.is_some())
        .count();
    assert!(linked <= 6, "{linked}");
}

/// The links to many gates are reset at once. If a gate chose another collector, or itself, while
/// no link is up, two gates would fill calls to the same endpoints.
#[tokio::test(start_paused = true)]
async fn a_gate_whose_link_was_just_lost_stays_usable() {
    let cfg = links("g0");
    let mut gate = super::Gate {
        name: "g1".to_owned(),
        az: "a".to_owned(),
        address: Some("127.0.0.1:9".parse().unwrap()),
        peer: None,
        was_up: true,
        dialed_at: None,
        lost_at: None,
    };
    gate.dial(&cfg);
    gate.update_link_state();
    assert!(gate.is_usable());
    tokio::time::advance(super::REDIAL_TIMEOUT).await;
    gate.update_link_state();
    assert!(!gate.is_usable());
}

/// A zone is cut off: no link to its gates comes up, and this gate must not collect for them.
#[tokio::test(start_paused = true)]
async fn no_gate_collects_for_a_zone_whose_gates_are_unreachable() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    // Each round waits for the dialed gates and then dials the next ones, until all have been
    // tried.
    for _ in 0..20 {
        gates.collector_for("ice", "b", 0);
        tokio::time::advance(super::DIAL_TIMEOUT).await;
    }
    let collecting = |az| gates.collector_for("ice", az, 0);
    assert!(matches!(collecting("b"), CollectorChoice::Unavailable));
    for _ in 0..20 {
        gates.collector_for("ice", "a", 0);
        tokio::time::advance(super::DIAL_TIMEOUT).await;
    }
    assert!(matches!(collecting("a"), CollectorChoice::Local));
}

#[tokio::test]
async fn the_order_follows_changes_of_the_known_gates() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    let before = gates.known().order("ice", "a");
    assert_eq!(gates.known().order("ice", "a"), before);
    gates.update(&gates_of(30));
    assert_eq!(gates.known().order("ice", "a").len(), 10);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_gate_is_not_chosen_as_collector() {
    let gates = Gates::new(links("g0"));
    assert!(matches!(
        gates.collector_for("ice", "a", 0),
        CollectorChoice::Local
    ));
    gates.start_leaving();
    assert!(matches!(
        gates.collector_for("ice", "a", 0),
        CollectorChoice::Unavailable
    ));
    gates.update(&gates_of(3));
    for service in ["ice", "roster", "feed", "desk"] {
        assert!(matches!(
            gates.collector_for(service, "a", 0),
            CollectorChoice::Remote(_)
        ));
    }
}

/// Gates that the keepers no longer list may only be cut off from them, so their shares in the request
/// rates of their zone stay reserved for a while. After that, all gates share the rates.
#[tokio::test(start_paused = true)]
async fn shares_of_unlisted_gates_stay_reserved_for_a_while() {
    let sorted = |mut names: Vec<String>| {
        names.sort();
        names
    };
    // Zone a: g0, g3; b: g1, g4; c: g2, g5.
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(6));
    assert_eq!(sorted(gates.share_holders("b")), ["g1", "g4"]);
    let mut listed = gates_of(6);
    listed.endpoints.remove("g1");
    listed.endpoints.remove("g4");
    gates.update(&listed);
    assert_eq!(sorted(gates.share_holders("b")), ["g1", "g4"]);
    assert!(matches!(gates.limiter_for("b"), LimiterChoice::Unavailable));
    tokio::time::advance(SHARE_RETENTION).await;
    assert_eq!(sorted(gates.share_holders("b")), ["g0", "g2", "g3", "g5"]);
    assert!(!matches!(
        gates.limiter_for("b"),
        LimiterChoice::Unavailable
    ));
    // A gate that is listed again holds its share again.
    gates.update(&gates_of(6));
    assert_eq!(sorted(gates.share_holders("b")), ["g1", "g4"]);
    assert_eq!(sorted(gates.share_holders("nowhere")).len(), 6);
}
