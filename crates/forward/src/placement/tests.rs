use std::time::Duration;

use membership::{ColdState, EndpointState, EndpointView};
use outbound::Notice;
use tokio::time::Instant;

use super::{PlacedCall, Requirements};
use crate::{
    error::Refusal,
    fleet::Fleet,
    incoming::Prompt,
    long_prompts::LongPrompts,
    testing::{mirror, view},
};

fn fleet(states: &[(&str, &str, EndpointState)]) -> Fleet {
    let views = states.iter().map(|(name, az, state)| EndpointView {
        state: *state,
        ..view(name, "chat", az)
    });
    let fleet = Fleet::default();
    fleet.update(&mirror(views), |_| None);
    fleet
}

const READY: EndpointState = EndpointState::Ready;

fn requirements<'a>(prompt: Option<&'a Prompt>, avoid: &'a [String]) -> Requirements<'a> {
    Requirements {
        service: "chat",
        az: "a",
        prompt,
        inputs: &[],
        avoid,
    }
}

fn prompt(subject: &str, own: &str) -> Prompt {
    let parts = [("all", 2_000), (subject, 4_000), (own, 1_000)];
    Prompt::new("m", 7_000, 10, parts.into_iter())
}

#[tokio::test]
async fn the_own_zone_is_preferred_until_it_is_loaded() {
    let fleet = fleet(&[("near", "a", READY), ("far", "b", READY)]);
    let requirements = requirements(None, &[]);
    let first = fleet.place(&requirements).unwrap().ready();
    assert_eq!(first.target.name, "near");
    let mut flights = vec![first];
    flights.extend((0..4).map(|_| fleet.place(&requirements).unwrap().ready()));
    assert!(flights.iter().any(|f| f.target.name == "far"));
}

#[tokio::test]
async fn leaving_endpoints_get_no_requests_and_full_ones_refuse() {
    let fleet = fleet(&[("old", "a", EndpointState::Leaving), ("new", "a", READY)]);
    let mut flights = Vec::new();
    let refused = loop {
        match fleet.place(&requirements(None, &[])) {
            Ok(placed) => flights.push(placed.ready()),
            Err(e) => break e,
        }
    };
    assert_eq!(refused.reason, Refusal::Full);
    assert!(flights.iter().all(|f| f.target.name == "new"));
    let avoid = vec!["new".to_owned()];
    drop(flights);
    assert!(fleet.place(&requirements(None, &avoid)).is_err());
}

#[tokio::test]
async fn a_shared_prefix_stays_at_its_endpoint_unless_the_queue_is_long() {
    let names: Vec<String> = (0..6).map(|n| format!("e{n}")).collect();
    let states: Vec<_> = names.iter().map(|n| (n.as_str(), "a", READY)).collect();
    let fleet = fleet(&states);
    let one = prompt("ice", "1");
    let mut first = fleet.place(&requirements(Some(&one), &[])).unwrap().ready();
    first.record_first_part(Some(&one));
    let preferred = first.target.name.clone();
    drop(first);
    let two = prompt("ice", "2");
    let second = fleet.place(&requirements(Some(&two), &[])).unwrap().ready();
    assert_eq!(second.target.name, preferred);
    // Queued tokens have to be read first.
    second.target.stats().unread_tokens += 50_000;
    let third = fleet.place(&requirements(Some(&two), &[])).unwrap().ready();
    assert_ne!(third.target.name, preferred);
}

// Guards against a request that ends without an answer because its prompt names enormous parts.
#[tokio::test]
async fn prompt_with_enormous_parts_is_placed() {
    let fleet = fleet(&[("near", "a", READY)]);
    let parts = ["one", "two", "three"].map(|id| (id, u32::MAX));
    let prompt = Prompt::new("m", u32::MAX, 1, parts.into_iter());
    let flight = fleet.place(&requirements(Some(&prompt), &[])).unwrap();
    let flight = flight.ready();
    let now = Instant::now();
    flight
        .target
        .stats()
        .cache
        .record_read(prompt.prefixes(), now);
    let again = fleet.place(&requirements(Some(&prompt), &[])).unwrap();
    assert_eq!(again.ready().target.name, "near");
}

// Guards against a request that ends without an answer after an endpoint reported an enormous load.
#[tokio::test]
async fn endpoint_with_an_enormous_load_is_full() {
    let fleet = fleet(&[("near", "a", READY)]);
    let flight = fleet.place(&requirements(None, &[])).unwrap().ready();
    let now = Instant::now();
    flight.target.stats().record_load(u32::MAX, 0, now);
    let refused = fleet.place(&requirements(None, &[])).unwrap_err();
    assert_eq!(refused.reason, Refusal::Full);
}

/// Guards against ending a call at once though a busy endpoint may take it in time, and against waiting
/// for endpoints that cannot.
#[tokio::test]
async fn only_busy_untried_endpoints_may_take_a_call_later() {
    let fleet = fleet(&[("one", "a", READY), ("old", "a", EndpointState::Leaving)]);
    let deadline = Instant::now() + Duration::from_secs(5);
    let may_place = |avoid: &[&str]| {
        let avoid: Vec<String> = avoid.iter().map(ToString::to_string).collect();
        fleet.may_place_by(&requirements(None, &avoid), deadline)
    };
    assert!(may_place(&[]));
    assert!(!may_place(&["one"]), "only a leaving endpoint is left");
    let pool = fleet.pool("chat").unwrap();
    let one = pool.targets.iter().find(|t| t.name == "one").unwrap();
    one.mark_full();
    assert!(may_place(&[]), "full");
    let pause = |secs| {
        let notice = Notice {
            pause: Some(Duration::from_secs(secs)),
            ..Notice::default()
        };
        fleet.apply_notice(one, notice, "gate-1", None);
    };
    pause(4);
    assert!(may_place(&[]), "paused");
    pause(6);
    assert!(!may_place(&[]), "paused beyond the deadline");
}

/// Guards against a long prompt that joins many calls although another endpoint costs it little more.
#[tokio::test]
async fn with_balance_a_long_prompt_avoids_endpoints_with_many_calls() {
    let views = ["busy", "quiet"].map(|name| EndpointView {
        slots: Some(64),
        ..view(name, "chat", "a")
    });
    let prompt = Prompt::new("m", 9_000, 10, std::iter::once(("own", 9_000)));
    for (mode, expected) in [
        (LongPrompts::Ignore, "busy"),
        (LongPrompts::Balance, "quiet"),
    ] {
        let fleet = Fleet::new(mode);
        fleet.update(&mirror(views.clone()), |_| None);
        let pool = fleet.pool("chat").unwrap();
        for target in &pool.targets {
            match target.name.as_str() {
                "busy" => target.stats().in_flight = 6,
                _ => target.stats().unread_tokens = 600,
            }
        }
        let placed = fleet.place(&requirements(Some(&prompt), &[])).unwrap();
        assert_eq!(placed.ready().target.name, expected, "{mode:?}");
    }
}

/// Guards against cold endpoints that are preferred to warm ones, or need a permit where their service
/// declares no rate.
#[tokio::test]
async fn warm_endpoints_are_preferred_to_cold_ones() {
    let mut listed = mirror([view("cold", "chat", "a"), view("warm", "chat", "b")]);
    let cold = ColdState {
        seq: 1,
        until: Instant::now() + Duration::from_secs(9),
    };
    listed.cold.insert("cold".to_owned(), cold);
    let fleet = Fleet::default();
    fleet.update(&listed, |_| None);
    let first = fleet.place(&requirements(None, &[])).unwrap().ready();
    assert_eq!(first.target.name, "cold");
    drop(first);
    fleet.set_cold_rates([("chat".to_owned(), 9.1)].into());
    fleet.update(&listed, |_| None);
    let first = fleet.place(&requirements(None, &[])).unwrap().ready();
    assert_eq!(first.target.name, "warm");
    let avoid = vec!["warm".to_owned()];
    let placed = fleet.place(&requirements(None, &avoid)).unwrap();
    assert!(matches!(placed, PlacedCall::NeedsPermit(target) if target.name == "cold"));
}
