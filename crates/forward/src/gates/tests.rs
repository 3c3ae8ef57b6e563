use link::{Identity, LinkConfig, Role};
use membership::Mirror;
use uuid::Uuid;

use super::{Collecting, Gates};
use crate::{
    fleet::GATES,
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
    mirror((0..count).map(|n| view(&format!("g{n}"), GATES, ["a", "b", "c"][n % 3])))
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
