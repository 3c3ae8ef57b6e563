//! Tests of snapshots of earlier versions.

use super::*;

/// Head of the snapshots written before there were evacuations.
#[record]
struct HeadWithoutEvacuations {
    declared: DeclarationSnapshot,
    leases: Leases,
    replaced: Option<StoredReplacement>,
    blocked_parts: BlockedParts,
    departures: DeparturesSnapshot,
}

/// Guards against keepers that don't start with the data of the version before.
#[test]
fn snapshot_without_evacuations_is_restored() {
    let state = State {
        clock_ms: 7,
        ..State::default()
    };
    let mut bytes = Vec::new();
    put_u64(&mut bytes, SNAPSHOT_MAGIC);
    put_u64(&mut bytes, state.clock_ms);
    put_u64(&mut bytes, state.digest);
    let head = HeadWithoutEvacuations {
        declared: state.declaration.to_snapshot(),
        leases: state.leases.clone(),
        replaced: None,
        blocked_parts: state.blocked_parts.clone(),
        departures: state.departures.to_snapshot(),
    };
    put_encoded(&mut bytes, &head);
    state.ledger.write(&mut bytes);
    assert_eq!(State::restore(&bytes).unwrap(), state);
}
