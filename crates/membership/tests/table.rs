//! Precedence of announcements, missing heartbeats, departure, and reads by version.

mod common;

use std::time::Duration;

use common::{announcement, table};
use membership::{
    AnnounceError, Announcement, EndpointState, Readiness, Reply, Request, Table, TableConfig,
};
use tokio::time::advance;

fn leaving(endpoint: &str, generation: u8, seq: u64) -> Announcement {
    Announcement {
        state: Readiness::Leaving,
        ..announcement(endpoint, generation, seq)
    }
}

fn state(table: &Table) -> Option<EndpointState> {
    table.list().first().map(|view| view.state)
}

#[tokio::test(start_paused = true)]
async fn lower_sequence_number_never_replaces_a_higher_one() {
    let table = table("a");
    table.announce(leaving("e", 1, 5)).unwrap();
    table.announce(announcement("e", 1, 4)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Leaving));
}

#[tokio::test(start_paused = true)]
async fn older_incarnation_is_refused_and_newer_one_replaces() {
    let table = table("a");
    table.announce(leaving("e", 1, 9)).unwrap();
    table.announce(announcement("e", 2, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Ready));
    let refused = table.announce(leaving("e", 1, 10)).unwrap_err();
    assert!(matches!(refused, AnnounceError::Superseded { .. }));
    assert_eq!(state(&table), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn silent_endpoint_is_suspect_within_5_s_and_removed_later() {
    let table = table("a");
    table.start_gossip(Vec::new());
    table.announce(announcement("e", 1, 1)).unwrap();
    advance(Duration::from_secs(3)).await;
    assert_eq!(state(&table), Some(EndpointState::Ready));
    advance(Duration::from_millis(1_900)).await;
    assert_eq!(state(&table), Some(EndpointState::Suspect));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(state(&table), None);
}

#[tokio::test(start_paused = true)]
async fn repeated_announcement_is_no_heartbeat() {
    let table = table("a");
    table.announce(announcement("e", 1, 1)).unwrap();
    advance(Duration::from_millis(4_500)).await;
    table.announce(announcement("e", 1, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Suspect));
}

#[tokio::test(start_paused = true)]
async fn removed_endpoint_returns_only_with_a_later_announcement() {
    let table = table("a");
    table.start_gossip(Vec::new());
    table.announce(leaving("e", 2, 7)).unwrap();
    tokio::time::sleep(Duration::from_secs(31)).await;
    assert_eq!(state(&table), None);
    table.announce(announcement("e", 2, 6)).unwrap();
    let superseded = table.announce(announcement("e", 1, 9));
    assert!(superseded.is_err());
    assert_eq!(state(&table), None);
    table.announce(announcement("e", 3, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn invalid_announcement_error_names_the_field() {
    let table = table("a");
    let invalid = Announcement {
        address: "https://example.org".to_owned(),
        ..announcement("e", 1, 1)
    };
    let refused = table.announce(invalid).unwrap_err();
    assert_eq!(
        refused.to_string(),
        "announce endpoint: address must be `http://IP:PORT`"
    );
}

#[tokio::test(start_paused = true)]
async fn full_table_refuses_new_endpoints_and_keeps_known_ones() {
    let table = Table::new(TableConfig {
        max_endpoints: 1,
        ..TableConfig::new("a", "sousse-a")
    });
    table.announce(announcement("e", 1, 1)).unwrap();
    let refused = table.announce(announcement("f", 1, 1)).unwrap_err();
    assert!(matches!(refused, AnnounceError::Full { limit: 1, .. }));
    table.announce(announcement("e", 2, 1)).unwrap();
}

async fn changes_since(table: &Table, known: Option<(uuid::Uuid, u64)>) -> membership::Changes {
    let req = Request::Since {
        table: known.map(|(id, _)| id),
        version: known.map_or(0, |(_, version)| version),
        wait: Duration::from_secs(1),
    };
    let bytes = table.answer(&link::encode(&req)).await;
    match link::decode(&bytes).unwrap() {
        Reply::Since(changes) => changes,
        other => panic!("unexpected {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn reads_by_version_return_changes_and_removals() {
    let table = table("a");
    table.start_gossip(Vec::new());
    table.announce(announcement("e", 1, 1)).unwrap();
    table.announce(announcement("f", 1, 1)).unwrap();
    let whole = changes_since(&table, None).await;
    assert!(whole.is_whole);
    assert_eq!(whole.endpoints.len(), 2);
    let nothing = changes_since(&table, Some((whole.table, whole.version))).await;
    assert!(!nothing.is_whole && nothing.endpoints.is_empty());
    for seq in 2..40 {
        advance(Duration::from_secs(1)).await;
        table.announce(announcement("f", 1, seq)).unwrap();
        tokio::task::yield_now().await;
    }
    let changes = changes_since(&table, Some((whole.table, whole.version))).await;
    assert_eq!(changes.departed, ["e"]);
    assert!(!changes.is_whole);
    let restarted = changes_since(&table, Some((uuid::Uuid::nil(), 5))).await;
    assert!(restarted.is_whole);
}

#[tokio::test(start_paused = true)]
async fn undecodable_request_gets_a_malformed_reply() {
    let table = table("a");
    let answer = table.answer(b"\xff\x00no").await;
    let reply: Reply = link::decode(&answer).unwrap();
    assert!(matches!(reply, Reply::Malformed(_)));
}

async fn exchange(from: &Table, to: &Table) {
    let call = |req: Request| async move {
        let answer = to.answer(&link::encode(&req)).await;
        link::decode::<Reply>(&answer)
    };
    from.exchange(call).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn endpoint_removed_while_isolated_returns_by_exchange() {
    let (isolated, neighbour) = (table("a"), table("b"));
    isolated.start_gossip(Vec::new());
    neighbour.announce(announcement("e", 1, 1)).unwrap();
    exchange(&isolated, &neighbour).await;
    assert_eq!(state(&isolated), Some(EndpointState::Ready));
    for seq in 2..40 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        neighbour.announce(announcement("e", 1, seq)).unwrap();
    }
    assert_eq!(state(&isolated), None);
    exchange(&isolated, &neighbour).await;
    assert_eq!(state(&isolated), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn repeated_exchanges_never_understate_heartbeat_age() {
    let tables: Vec<Table> = ["a", "b", "c"].into_iter().map(table).collect();
    tables[0].announce(announcement("e", 1, 1)).unwrap();
    for _ in 0..41 {
        advance(Duration::from_millis(100)).await;
        for at in 0..tables.len() {
            exchange(&tables[at], &tables[(at + 1) % tables.len()]).await;
        }
    }
    for table in &tables {
        assert_eq!(state(table), Some(EndpointState::Suspect));
    }
}

fn incarnation(generation: u8) -> uuid::Uuid {
    common::incarnation(generation)
}

/// An endpoint's responses say that it is leaving while its heartbeats still announce it as ready.
#[tokio::test(start_paused = true)]
async fn leaving_notice_outlasts_later_announcements() {
    let table = table("a");
    table.announce(announcement("e", 2, 1)).unwrap();
    table.note_leaving("e", incarnation(1));
    assert_eq!(
        state(&table),
        Some(EndpointState::Ready),
        "another incarnation"
    );
    table.note_leaving("e", incarnation(2));
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    table.announce(announcement("e", 2, 2)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    table.announce(announcement("e", 3, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn removed_leaving_endpoint_does_not_return_as_ready() {
    let table = table("a");
    table.start_gossip(Vec::new());
    table.announce(announcement("e", 2, 1)).unwrap();
    table.note_leaving("e", incarnation(2));
    tokio::time::sleep(Duration::from_secs(31)).await;
    assert_eq!(state(&table), None);
    table.announce(announcement("e", 2, 9)).unwrap();
    assert_eq!(state(&table), None);
    table.announce(announcement("e", 3, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Ready));
}

/// A repeated notice from another gate changes nothing.
#[tokio::test(start_paused = true)]
async fn leaving_notice_from_another_gate_is_applied_once() {
    let table = table("a");
    table.announce(announcement("e", 2, 1)).unwrap();
    let notice = Request::Leaving(vec![membership::LeavingNotice {
        endpoint: "e".to_owned(),
        incarnation: incarnation(2),
        source: "b".to_owned(),
        age: Duration::from_millis(5),
    }]);
    let mut versions = Vec::new();
    for _ in 0..2 {
        let reply = link::decode::<Reply>(&table.answer(&link::encode(&notice)).await).unwrap();
        assert!(matches!(reply, Reply::Acknowledged));
        versions.push(*table.changes().borrow());
    }
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    assert_eq!(versions[0], versions[1]);
}

fn rate_report(per_second: Option<f64>, age_ms: u64) -> membership::RateReport {
    membership::RateReport {
        endpoint: "e".to_owned(),
        service: "desk".to_owned(),
        incarnation: incarnation(2),
        source: "b".to_owned(),
        rate: membership::ReportedRate {
            per_second,
            age: Duration::from_millis(age_ms),
        },
    }
}

/// Readers are told of a rate that changed, once, and of no earlier one that arrives late.
#[tokio::test(start_paused = true)]
async fn latest_reported_rate_of_the_incarnation_holds() {
    let table = table("a");
    table.announce(announcement("e", 2, 1)).unwrap();
    let mut versions = Vec::new();
    for report in [
        rate_report(Some(2.0), 100),
        rate_report(Some(2.0), 90),
        rate_report(Some(7.0), 5_000),
        rate_report(None, 200),
    ] {
        let request = link::encode(&Request::Rates(vec![report]));
        let reply = link::decode::<Reply>(&table.answer(&request).await).unwrap();
        assert!(matches!(reply, Reply::Acknowledged));
        versions.push(*table.changes().borrow());
    }
    let rate = |table: &Table| table.list()[0].rate.as_ref().unwrap().per_second;
    assert_eq!(rate(&table), Some(2.0));
    assert!(versions.iter().all(|version| *version == versions[0]));
    table.note_rates(&[rate_report(None, 10)]);
    assert_eq!(rate(&table), None);
    assert!(*table.changes().borrow() > versions[0]);
    table.announce(announcement("e", 3, 1)).unwrap();
    assert!(table.list()[0].rate.is_none());
}

/// Guards against a departed endpoint that counts as ready again because of an announcement from
/// before its departure, from itself or from another table.
#[tokio::test(start_paused = true)]
async fn departed_endpoint_is_not_ready_again_before_its_next_start() {
    let table = table("a");
    table.announce(announcement("known", 1, 5)).unwrap();
    for endpoint in ["known", "unknown"] {
        table.depart([(endpoint, incarnation(1))]);
        table.announce(announcement(endpoint, 1, 6)).unwrap();
        let delta = membership::Delta {
            announced: announcement(endpoint, 1, 7),
            age: Duration::ZERO,
            cold_left: None,
        };
        let push = Request::push("b".to_owned(), 0, vec![delta]);
        table.answer(&link::encode(&push)).await;
    }
    assert_eq!(table.list().len(), 1);
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    for endpoint in ["known", "unknown"] {
        table.announce(announcement(endpoint, 2, 1)).unwrap();
    }
    let states: Vec<EndpointState> = table.list().iter().map(|view| view.state).collect();
    assert_eq!(states, [EndpointState::Ready; 2]);
}

/// A departure from before the current start changes nothing.
#[tokio::test(start_paused = true)]
async fn departure_of_an_earlier_start_is_ignored() {
    let table = table("a");
    table.announce(announcement("e", 2, 1)).unwrap();
    table.depart([("e", incarnation(1))]);
    assert_eq!(state(&table), Some(EndpointState::Ready));
}
