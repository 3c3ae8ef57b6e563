//! What answers, keepers and other gates say of endpoints, and who is believed.

use std::time::Duration;

use membership::{EndpointView, Leaving};
use outbound::Notice;
use tokio::time::advance;
use uuid::Uuid;

use super::Fleet;
use crate::{
    error::Refusal,
    placement::{PlacementError, Requirements},
    testing::{mirror, view},
};

const SECOND: Duration = Duration::from_secs(1);
const LEAVES: Notice = Notice {
    is_leaving: true,
    pause: None,
};

fn born(name: &str, life: u128) -> EndpointView {
    EndpointView {
        incarnation: Uuid::from_u128(life),
        ..view(name, "desk", "a")
    }
}

fn fleet(views: &[EndpointView]) -> Fleet {
    let fleet = Fleet::default();
    fleet.update(&mirror(views.iter().cloned()), |_| None);
    fleet
}

/// Where a request goes next.
fn goes_to(fleet: &Fleet) -> Result<String, PlacementError> {
    let requirements = Requirements {
        service: "desk",
        az: "a",
        prompt: None,
        inputs: &[],
        avoid: &[],
    };
    fleet
        .place(&requirements)
        .map(|flight| flight.target.name.clone())
}

/// Takes what an answer of endpoint `name` says.
fn answers(fleet: &Fleet, name: &str, notice: Notice) {
    let pool = fleet.pool("desk").unwrap();
    let target = pool.targets.iter().find(|t| t.name == name).unwrap();
    fleet.apply_notice(target, notice, "gate-1");
}

fn pauses(seconds: u32) -> Notice {
    Notice {
        is_leaving: false,
        pause: Some(SECOND * seconds),
    }
}

const NO_ENDPOINT: PlacementError = PlacementError {
    reason: Refusal::NoEndpoint,
    retry_after: None,
};

#[tokio::test(start_paused = true)]
async fn one_that_says_it_leaves_gets_nothing_though_keepers_say_ready() {
    let fleet = fleet(&[born("old", 1)]);
    assert!(goes_to(&fleet).is_ok());
    answers(&fleet, "old", LEAVES);
    assert_eq!(goes_to(&fleet), Err(NO_ENDPOINT));
    // Keepers tell that it is ready, forget it, and know it again: a table of keepers that restarted.
    let tables = [vec![born("old", 1)], vec![], vec![born("old", 1)]];
    for views in tables {
        fleet.update(&mirror(views), |_| None);
        assert_eq!(goes_to(&fleet), Err(NO_ENDPOINT));
        advance(60 * SECOND).await;
    }
    // The same address, begun anew.
    fleet.update(&mirror([born("old", 2)]), |_| None);
    assert_eq!(goes_to(&fleet).as_deref(), Ok("old"));
    // A table that lags knows the one before.
    fleet.update(&mirror([born("old", 1)]), |_| None);
    assert_eq!(goes_to(&fleet), Err(NO_ENDPOINT));
}

#[tokio::test(start_paused = true)]
async fn another_gates_word_holds_like_an_answer_and_is_told_to_keepers_until_they_agree() {
    let fleet = fleet(&[born("old", 1), born("new", 1)]);
    let news = fleet.departure_updates();
    fleet.record_reported_departure(Leaving {
        endpoint: "old".to_owned(),
        incarnation: Uuid::from_u128(1),
        source: "gate-2".to_owned(),
        age: SECOND,
    });
    assert_eq!(goes_to(&fleet).as_deref(), Ok("new"));
    assert!(
        !news.has_changed().unwrap(),
        "the gate that saw it tells it"
    );
    let ready = mirror([born("old", 1), born("new", 1)]);
    let unconfirmed = fleet.unconfirmed_departures(&ready);
    assert_eq!(unconfirmed.len(), 1);
    assert_eq!(
        (unconfirmed[0].source.as_str(), unconfirmed[0].age),
        ("gate-2", SECOND)
    );
    assert_eq!(fleet.unconfirmed_departures(&mirror([born("old", 2)])), []);
    assert_eq!(fleet.unconfirmed_departures(&mirror([])), []);
}

#[tokio::test(start_paused = true)]
async fn when_all_pause_callers_hear_at_once_when_the_first_takes_work_again() {
    let fleet = fleet(&[born("one", 1), born("two", 1), born("gone", 1)]);
    answers(&fleet, "gone", LEAVES);
    answers(&fleet, "one", pauses(5));
    assert_eq!(goes_to(&fleet).as_deref(), Ok("two"));
    answers(&fleet, "two", pauses(2));
    answers(&fleet, "two", pauses(1));
    let refused = goes_to(&fleet).unwrap_err();
    assert_eq!(
        (refused.reason, refused.retry_after),
        (Refusal::Paused, Some(2 * SECOND))
    );
    let counts = &fleet.endpoint_counts()[0];
    assert_eq!((counts.known, counts.healthy), (3, 0));
    assert_eq!(
        (counts.unavailable["paused"], counts.unavailable["leaving"]),
        (2, 1)
    );
    advance(2 * SECOND).await;
    assert_eq!(goes_to(&fleet).as_deref(), Ok("two"));
}

/// A pause is no failure: it neither begins nor ends an ejection.
#[tokio::test(start_paused = true)]
async fn a_pause_leaves_an_ejection_as_it_is() {
    let fleet = fleet(&[born("one", 1), born("two", 1), born("three", 1)]);
    let pool = fleet.pool("desk").unwrap();
    let target = &pool.targets[0];
    for _ in 0..10 {
        fleet.apply_notice(target, pauses(1), "gate-1");
    }
    assert_eq!(fleet.ejections(), 0);
    for _ in 0..3 {
        fleet.record_call_result(target, true);
    }
    assert_eq!(fleet.ejections(), 1);
    fleet.apply_notice(target, pauses(1), "gate-1");
    advance(SECOND).await;
    let reason = target.unavailable_reason(&fleet.reachable(), tokio::time::Instant::now());
    assert_eq!(reason.map(super::UnavailableReason::label), Some("ejected"));
}

#[tokio::test(start_paused = true)]
async fn operators_are_told_which_endpoints_get_nothing_why_and_for_how_long() {
    let fleet = fleet(&[born("one", 1), born("two", 1), born("three", 1)]);
    answers(&fleet, "one", LEAVES);
    answers(&fleet, "two", pauses(5));
    advance(2 * SECOND).await;
    let told = fleet.unavailable_endpoints();
    let of = |name: &str| told.iter().find(|a| a.endpoint == name).unwrap();
    assert_eq!(told.len(), 2);
    assert_eq!(
        (of("one").reason.as_str(), of("one").left),
        ("leaving", None)
    );
    assert_eq!(
        (of("two").reason.as_str(), of("two").left),
        ("paused", Some(3 * SECOND))
    );
}

/// Keepers forget it for a moment, as where its heartbeats were held up, and know it again.
#[tokio::test(start_paused = true)]
async fn a_pause_outlives_a_table_that_forgets_the_endpoint() {
    let fleet = fleet(&[born("one", 1)]);
    answers(&fleet, "one", pauses(9));
    for views in [vec![], vec![], vec![born("one", 1)]] {
        fleet.update(&mirror(views), |_| None);
        advance(SECOND).await;
    }
    assert_eq!(goes_to(&fleet).unwrap_err().reason, Refusal::Paused);
    fleet.update(&mirror([born("one", 2)]), |_| None);
    assert_eq!(goes_to(&fleet).as_deref(), Ok("one"));
}

#[tokio::test(start_paused = true)]
async fn what_is_known_of_a_departure_is_no_news_and_an_earlier_life_undoes_nothing() {
    let fleet = fleet(&[born("old", 5)]);
    let news = fleet.departure_updates();
    for _ in 0..3 {
        answers(&fleet, "old", LEAVES);
    }
    assert_eq!(*news.borrow(), 1);
    fleet.record_reported_departure(Leaving {
        endpoint: "old".to_owned(),
        incarnation: Uuid::from_u128(4),
        source: "gate-2".to_owned(),
        age: Duration::ZERO,
    });
    fleet.update(&mirror([born("old", 5)]), |_| None);
    assert_eq!(goes_to(&fleet), Err(NO_ENDPOINT));
}
