use link::{Identity, LinkConfig, Role};
use membership::Mirror;
use uuid::Uuid;

use super::{CollectorChoice, Gates};
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
async fn a_gate_that_reaches_no_other_collects_itself() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(3));
    assert_eq!(gates.count(), 3);
    // A link that was just asked for may come up; later it is clear that it does not.
    tokio::time::sleep(super::DIAL_TIMEOUT).await;
    assert!(matches!(
        gates.collector_for("ice", "a", 0),
        CollectorChoice::Local
    ));
    // None was linked, so none is cut off.
    assert!(gates.unreachable_zones().is_empty());
}

#[tokio::test]
async fn many_gates_are_linked_by_need_only() {
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

/// Links of many gates are reset at once: for a moment none is up, and a gate that turned to another
/// one, or to itself, would fill the calls of the one that collects.
#[tokio::test(start_paused = true)]
async fn a_gate_whose_link_was_just_lost_is_waited_for() {
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

/// A zone is cut off: none of its gates comes up, and this gate does not collect in their place.
#[tokio::test(start_paused = true)]
async fn nobody_collects_for_a_zone_whose_gates_cannot_be_reached() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    // Those that were just asked for are waited for; then the next ones are, until all have been.
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
async fn the_order_of_gates_follows_the_gates_that_are_known() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    let before = gates.known().order("ice", "a");
    assert_eq!(gates.known().order("ice", "a"), before);
    gates.update(&gates_of(30));
    assert_eq!(gates.known().order("ice", "a").len(), 10);
}

#[tokio::test(start_paused = true)]
async fn a_gate_that_goes_down_collects_only_where_no_other_does() {
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
