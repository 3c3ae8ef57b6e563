use link::{Identity, LinkConfig, Role};
use membership::Mirror;
use uuid::Uuid;

use super::{Collecting, Gates};
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
    tokio::time::sleep(super::DIALING).await;
    assert!(matches!(gates.collecting("ice", "a", 0), Collecting::Own));
    // None was linked, so none is cut off.
    assert!(gates.cut_off().is_empty());
}

#[tokio::test]
async fn many_gates_are_linked_by_need_only() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    assert!(gates.is_by_zone());
    for az in ["a", "b", "c"] {
        gates.collecting("ice", az, 0);
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
        dialed: None,
        lost: None,
    };
    gate.dial(&cfg);
    gate.look();
    assert!(gate.is_usable());
    tokio::time::advance(super::REDIALING).await;
    gate.look();
    assert!(!gate.is_usable());
}

/// A zone is cut off: none of its gates comes up, and this gate does not collect in their place.
#[tokio::test(start_paused = true)]
async fn nobody_collects_for_a_zone_whose_gates_cannot_be_reached() {
    let gates = Gates::new(links("g0"));
    gates.update(&gates_of(60));
    // Those that were just asked for are waited for; then the next ones are, until all have been.
    for _ in 0..20 {
        gates.collecting("ice", "b", 0);
        tokio::time::advance(super::DIALING).await;
    }
    let collecting = |az| gates.collecting("ice", az, 0);
    assert!(matches!(collecting("b"), Collecting::Nobody));
    for _ in 0..20 {
        gates.collecting("ice", "a", 0);
        tokio::time::advance(super::DIALING).await;
    }
    assert!(matches!(collecting("a"), Collecting::Own));
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
    assert!(matches!(gates.collecting("ice", "a", 0), Collecting::Own));
    gates.leave();
    assert!(matches!(
        gates.collecting("ice", "a", 0),
        Collecting::Nobody
    ));
    gates.update(&gates_of(3));
    for service in ["ice", "roster", "feed", "desk"] {
        assert!(matches!(
            gates.collecting(service, "a", 0),
            Collecting::Other(_)
        ));
    }
}
