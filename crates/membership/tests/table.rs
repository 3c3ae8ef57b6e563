//! Which announcement replaces which, silence, departure, and reads by version.

mod common;

use std::time::Duration;

use common::{announcement, table};
use membership::{
    AnnounceError, Announcement, EndpointState, Readiness, Reply, Request, Table, TableConfig,
};
use tokio::time::advance;

fn leaving(endpoint: &str, life: u8, seq: u64) -> Announcement {
    Announcement {
        state: Readiness::Leaving,
        ..announcement(endpoint, life, seq)
    }
}

fn state(table: &Table) -> Option<EndpointState> {
    table.list().first().map(|view| view.state)
}

#[tokio::test(start_paused = true)]
async fn an_old_number_never_overrides_a_new_one() {
    let table = table("a");
    table.announce(leaving("e", 1, 5)).unwrap();
    table.announce(announcement("e", 1, 4)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Leaving));
}

#[tokio::test(start_paused = true)]
async fn an_old_incarnation_is_refused_and_a_new_one_replaces() {
    let table = table("a");
    table.announce(leaving("e", 1, 9)).unwrap();
    table.announce(announcement("e", 2, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Ready));
    let refused = table.announce(leaving("e", 1, 10)).unwrap_err();
    assert!(matches!(refused, AnnounceError::Superseded { .. }));
    assert_eq!(state(&table), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn a_silent_endpoint_gets_no_work_within_5_s_and_is_gone_later() {
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
async fn a_repeat_of_the_last_announcement_is_no_sign_of_life() {
    let table = table("a");
    table.announce(announcement("e", 1, 1)).unwrap();
    advance(Duration::from_millis(4_500)).await;
    table.announce(announcement("e", 1, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Suspect));
}

#[tokio::test(start_paused = true)]
async fn a_departed_endpoint_comes_back_only_with_something_later() {
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
async fn malformed_announcements_name_the_member() {
    let table = table("a");
    let wrong = Announcement {
        address: "https://example.org".to_owned(),
        ..announcement("e", 1, 1)
    };
    let refused = table.announce(wrong).unwrap_err();
    assert_eq!(
        refused.to_string(),
        "announce endpoint: address must be `http://IP:PORT`"
    );
}

#[tokio::test(start_paused = true)]
async fn a_full_table_refuses_new_endpoints_and_keeps_the_known() {
    let table = Table::new(TableConfig {
        max_endpoints: 1,
        ..TableConfig::new("a", "sousse-a")
    });
    table.announce(announcement("e", 1, 1)).unwrap();
    let refused = table.announce(announcement("f", 1, 1)).unwrap_err();
    assert!(matches!(refused, AnnounceError::Full { limit: 1, .. }));
    table.announce(announcement("e", 2, 1)).unwrap();
}

async fn since(table: &Table, known: Option<(uuid::Uuid, u64)>) -> membership::Changes {
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
async fn a_reader_by_version_gets_changes_departures_and_silence() {
    let table = table("a");
    table.start_gossip(Vec::new());
    table.announce(announcement("e", 1, 1)).unwrap();
    table.announce(announcement("f", 1, 1)).unwrap();
    let whole = since(&table, None).await;
    assert!(whole.is_whole);
    assert_eq!(whole.endpoints.len(), 2);
    let nothing = since(&table, Some((whole.table, whole.version))).await;
    assert!(!nothing.is_whole && nothing.endpoints.is_empty());
    for seq in 2..40 {
        advance(Duration::from_secs(1)).await;
        table.announce(announcement("f", 1, seq)).unwrap();
        tokio::task::yield_now().await;
    }
    let changes = since(&table, Some((whole.table, whole.version))).await;
    assert_eq!(changes.departed, ["e"]);
    assert!(!changes.is_whole);
    let restarted = since(&table, Some((uuid::Uuid::nil(), 5))).await;
    assert!(restarted.is_whole);
}

#[tokio::test(start_paused = true)]
async fn bytes_that_are_no_message_are_answered_and_change_nothing() {
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
async fn an_endpoint_lost_while_cut_off_comes_back_with_the_neighbour() {
    let (cut, near) = (table("a"), table("b"));
    cut.start_gossip(Vec::new());
    near.announce(announcement("e", 1, 1)).unwrap();
    exchange(&cut, &near).await;
    assert_eq!(state(&cut), Some(EndpointState::Ready));
    for seq in 2..40 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        near.announce(announcement("e", 1, seq)).unwrap();
    }
    assert_eq!(state(&cut), None);
    exchange(&cut, &near).await;
    assert_eq!(state(&cut), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn silence_never_seems_shorter_after_many_hops() {
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

fn incarnation(life: u8) -> uuid::Uuid {
    common::incarnation(life)
}

/// An endpoint says in its answers that it leaves while its heartbeats still say that it is ready.
#[tokio::test(start_paused = true)]
async fn a_word_that_it_leaves_outlives_what_the_endpoint_announces() {
    let table = table("a");
    table.announce(announcement("e", 2, 1)).unwrap();
    table.note_leaving("e", incarnation(1));
    assert_eq!(state(&table), Some(EndpointState::Ready), "another life");
    table.note_leaving("e", incarnation(2));
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    table.announce(announcement("e", 2, 2)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    table.announce(announcement("e", 3, 1)).unwrap();
    assert_eq!(state(&table), Some(EndpointState::Ready));
}

#[tokio::test(start_paused = true)]
async fn one_that_was_leaving_and_fell_silent_does_not_come_back_ready() {
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

/// The word comes over a link, and again: nothing changes by the copy.
#[tokio::test(start_paused = true)]
async fn another_gates_word_that_it_leaves_is_taken_once() {
    let table = table("a");
    table.announce(announcement("e", 2, 1)).unwrap();
    let told = Request::Leaving(vec![membership::LeavingNotice {
        endpoint: "e".to_owned(),
        incarnation: incarnation(2),
        source: "b".to_owned(),
        age: Duration::from_millis(5),
    }]);
    let mut versions = Vec::new();
    for _ in 0..2 {
        let reply = link::decode::<Reply>(&table.answer(&link::encode(&told)).await).unwrap();
        assert!(matches!(reply, Reply::Acknowledged));
        versions.push(*table.changes().borrow());
    }
    assert_eq!(state(&table), Some(EndpointState::Leaving));
    assert_eq!(versions[0], versions[1]);
}
