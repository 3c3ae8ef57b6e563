//! Tests of conflicting information about the request rate of an endpoint.

use std::time::Duration;

use membership::{Mirror, ObservedRate, RateReport, ReportedRate};
use outbound::{NamedRate, Notice};
use tokio::time::{Instant, advance};
use uuid::Uuid;

use crate::{
    error::Refusal,
    fleet::Fleet,
    placement::{PlacedCall, PlacementError},
    requirements::Requirements,
    testing::{mirror, view},
};

const SECOND: Duration = Duration::from_secs(1);
const VM: &str = "gate-1";

fn listed() -> Mirror {
    mirror([view("one", "desk", "a"), view("two", "desk", "b")])
}

fn fleet() -> Fleet {
    let fleet = Fleet::default();
    fleet.update(&listed(), |_| None);
    fleet
}

fn limit(fleet: &Fleet, name: &str) -> Option<f64> {
    let pool = fleet.pool("desk").unwrap();
    let target = pool.targets.iter().find(|t| t.name == name).unwrap();
    target.stats().permits.limit(Instant::now())
}

/// A response of endpoint `one` to a request sent at `sent_at`.
fn respond(fleet: &Fleet, rate: NamedRate, sent_at: Option<Instant>) {
    let pool = fleet.pool("desk").unwrap();
    let target = pool.targets.iter().find(|t| t.name == "one").unwrap();
    let notice = Notice {
        rate,
        ..Notice::default()
    };
    fleet.apply_notice(target, notice, VM, sent_at);
}

/// What another gate reports about endpoint `one`.
fn report(per_second: Option<f64>, age: Duration) -> RateReport {
    RateReport {
        endpoint: "one".to_owned(),
        service: "desk".to_owned(),
        incarnation: Uuid::nil(),
        source: "gate-2".to_owned(),
        rate: ReportedRate { per_second, age },
    }
}

fn place(fleet: &Fleet) -> Result<PlacedCall, PlacementError> {
    fleet.place(&Requirements {
        service: "desk",
        az: "a",
        prompt: None,
        inputs: &[],
        avoid: &[],
    })
}

#[tokio::test(start_paused = true)]
async fn a_limit_ends_with_a_success_whose_request_was_sent_after_it_was_named() {
    let fleet = fleet();
    let before = Instant::now();
    advance(SECOND).await;
    respond(&fleet, NamedRate::PerSecond(2.0), None);
    advance(SECOND).await;
    // Under way when the limit was named; a failure; something that is no rate.
    respond(&fleet, NamedRate::Unlimited, Some(before));
    respond(&fleet, NamedRate::Unlimited, None);
    respond(&fleet, NamedRate::Unknown, Some(Instant::now()));
    assert_eq!(limit(&fleet, "one"), Some(2.0));
    respond(&fleet, NamedRate::Unlimited, Some(Instant::now()));
    assert_eq!(limit(&fleet, "one"), None);
}

#[tokio::test(start_paused = true)]
async fn the_latest_observation_of_any_gate_holds() {
    let fleet = fleet();
    advance(10 * SECOND).await;
    fleet.record_reported_rates(&[report(Some(3.0), 2 * SECOND)]);
    assert_eq!(limit(&fleet, "one"), Some(3.0));
    // Earlier ones, of another incarnation, and nonsense.
    fleet.record_reported_rates(&[
        report(None, 3 * SECOND),
        report(Some(9.0), 4 * SECOND),
        report(Some(-1.0), Duration::ZERO),
        report(Some(f64::NAN), Duration::ZERO),
        RateReport {
            incarnation: Uuid::from_u128(7),
            ..report(Some(9.0), Duration::ZERO)
        },
    ]);
    assert_eq!(limit(&fleet, "one"), Some(3.0));
    fleet.record_reported_rates(&[report(None, SECOND)]);
    assert_eq!(limit(&fleet, "one"), None);
}

#[tokio::test(start_paused = true)]
async fn a_rate_outlasts_keepers_that_do_not_know_it() {
    let fleet = fleet();
    respond(&fleet, NamedRate::PerSecond(2.0), None);
    for table in [listed(), Mirror::default(), listed()] {
        fleet.update(&table, |_| None);
    }
    assert_eq!(limit(&fleet, "one"), Some(2.0));
    // They learn it from this gate, until they agree.
    let reports = fleet.unconfirmed_rates(&listed(), VM);
    assert_eq!(reports.len(), 1);
    let mut confirmed = listed();
    let observed = reports[0].rate.observed(Instant::now()).unwrap();
    confirmed.rates.insert("one".to_owned(), observed);
    assert!(fleet.unconfirmed_rates(&confirmed, VM).is_empty());
    // A gate that was only told of a rate does not report it.
    let told = Fleet::default();
    told.update(&confirmed, |_| None);
    assert_eq!(limit(&told, "one"), Some(2.0));
    assert!(told.unconfirmed_rates(&listed(), VM).is_empty());
    // The end of the limit is reported as well.
    advance(SECOND).await;
    respond(&fleet, NamedRate::Unlimited, Some(Instant::now()));
    let reports = fleet.unconfirmed_rates(&confirmed, VM);
    assert_eq!(reports[0].rate.per_second, None);
}

#[tokio::test(start_paused = true)]
async fn a_new_incarnation_has_no_limit_until_it_names_one() {
    let fleet = fleet();
    respond(&fleet, NamedRate::PerSecond(2.0), None);
    let mut later = listed();
    let one = later.endpoints.get_mut("one").unwrap();
    one.incarnation = Uuid::from_u128(1);
    fleet.update(&later, |_| None);
    assert_eq!(limit(&fleet, "one"), None);
}

#[tokio::test(start_paused = true)]
async fn calls_without_a_permit_go_elsewhere_or_are_refused_with_a_time() {
    let fleet = fleet();
    let now = Instant::now();
    let rate = ObservedRate {
        per_second: Some(1.0),
        observed_at: now,
    };
    let pool = fleet.pool("desk").unwrap();
    for target in &pool.targets {
        target.record_rate(rate, VM);
    }
    let Ok(PlacedCall::NeedsPermit(first)) = place(&fleet) else {
        panic!("the call needs a permit");
    };
    assert_eq!(first.name, "one");
    first.stats().permits.refuse(now + SECOND);
    let Ok(PlacedCall::NeedsPermit(second)) = place(&fleet) else {
        panic!("the call needs a permit");
    };
    assert_eq!(second.name, "two");
    second.stats().permits.grant(1, now, now);
    assert_eq!(place(&fleet).unwrap().ready().target.name, "two");
    second.stats().permits.refuse(now + 2 * SECOND);
    let refused = place(&fleet).unwrap_err();
    assert_eq!(refused.reason, Refusal::Limited);
    assert_eq!(refused.retry_after, Some(SECOND));
}
