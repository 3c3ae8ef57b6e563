use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use call_permits::{CallPermission, ColdLimit};
use membership::{RateReport, ReportedRate};
use tokio::time::{Instant, advance};
use uuid::Uuid;

use crate::{
    call::CallError,
    fleet::{Fleet, Target},
    testing::{mirror, view},
};

const RATE: f64 = 9.1;

fn fleet() -> Fleet {
    let fleet = Fleet::default();
    fleet.set_cold_rates(HashMap::from([("desk".to_owned(), RATE)]));
    let views = [view("i-1", "desk", "a"), view("any", "other", "a")];
    fleet.update(&mirror(views), |_| None);
    fleet
}

fn target(fleet: &Fleet, service: &str) -> Arc<Target> {
    Arc::clone(&fleet.pool(service).unwrap().targets[0])
}

fn permission(fleet: &Fleet) -> CallPermission {
    target(fleet, "desk").try_take_permit(Instant::now())
}

fn report(incarnation: u128) -> RateReport {
    RateReport {
        endpoint: "i-1".to_owned(),
        service: "desk".to_owned(),
        incarnation: Uuid::from_u128(incarnation),
        source: "other".to_owned(),
        rate: ReportedRate {
            per_second: None,
            age: Duration::ZERO,
        },
    }
}

fn lost() -> CallError {
    CallError::Lost("reset".to_owned())
}

/// Guards against a gate without contact to the keepers that sends to an endpoint as before after its
/// connections ended, and against limits of services that declare none.
#[tokio::test(start_paused = true)]
async fn restart_signs_count_without_contact() {
    let fleet = fleet();
    fleet.record_table_contact(Instant::now());
    advance(Duration::from_millis(900)).await;
    fleet.record_call_error(&target(&fleet, "desk"), &lost());
    assert_eq!(permission(&fleet), CallPermission::Granted);
    advance(Duration::from_millis(200)).await;
    fleet.record_call_error(&target(&fleet, "desk"), &CallError::TimedOut);
    assert_eq!(permission(&fleet), CallPermission::Granted);
    for service in ["desk", "other"] {
        fleet.record_call_error(&target(&fleet, service), &lost());
    }
    assert_eq!(permission(&fleet), CallPermission::Needed);
    let other = target(&fleet, "other").try_take_permit(Instant::now());
    assert_eq!(other, CallPermission::Granted);
    // The granting gate hears of it with the request for permits.
    let (_, cold) = target(&fleet, "desk")
        .permit_report("g", Instant::now())
        .unwrap();
    assert_eq!(cold.map(|cold| cold.per_second), Some(RATE));
    fleet.record_table_contact(Instant::now());
    advance(Duration::from_millis(900)).await;
    assert_eq!(permission(&fleet), CallPermission::Needed);
    advance(Duration::from_millis(200)).await;
    assert_eq!(permission(&fleet), CallPermission::Granted);
}

/// Guards against a gate without contact that finds out with its first call only, on a new connection,
/// that an endpoint restarted.
#[tokio::test(start_paused = true)]
async fn idle_connections_that_ended_are_a_restart_sign() {
    let fleet = fleet();
    let address = target(&fleet, "desk").address;
    assert!(!fleet.is_informed_of_cold());
    fleet.record_closed_connections(&BTreeSet::from([address]));
    assert_eq!(permission(&fleet), CallPermission::Needed);
}

/// Guards against a gate without contact that grants permits for an endpoint that restarted, and sends
/// to it without permits itself.
#[tokio::test(start_paused = true)]
async fn other_gates_tell_a_gate_without_contact_of_cold_endpoints() {
    let cold = ColdLimit {
        per_second: RATE,
        left: Duration::from_secs(2),
    };
    // It may have restarted without this gate hearing of it.
    for incarnation in [0, 1] {
        let told = fleet();
        told.record_reported_cold(&report(incarnation), cold);
        assert_eq!(permission(&told), CallPermission::Needed);
        advance(Duration::from_secs(2)).await;
        assert_eq!(permission(&told), CallPermission::Granted);
    }
    let informed = fleet();
    informed.record_table_contact(Instant::now());
    informed.record_reported_cold(&report(0), cold);
    assert_eq!(permission(&informed), CallPermission::Granted);
}
