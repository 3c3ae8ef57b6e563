use std::time::Duration;

use serde::Deserialize;
use tokio::time::{Instant, advance};
use uuid::Uuid;

use super::{ColdState, DRIFT};
use crate::{
    Announcement, Load, Readiness, Reply, Request, StageRole, Table, TableConfig,
    delta::with_cold_times,
};

fn announcement(seq: u64, cold_left_ms: u64) -> Announcement {
    Announcement {
        endpoint: "i-1".to_owned(),
        service: "desk".to_owned(),
        az: "a".to_owned(),
        address: "http://127.0.0.1:9".to_owned(),
        incarnation: Uuid::nil(),
        seq,
        state: Readiness::Ready,
        models: Vec::new(),
        role: StageRole::Both,
        checks_fencing: false,
        slots: None,
        cold_left_ms,
        load: Load::default(),
    }
}

fn table(gate: &str) -> Table {
    Table::new(TableConfig::new(gate, "a"))
}

fn left(table: &Table) -> Option<Duration> {
    table.list()[0].cold.as_ref().map(|cold| cold.left)
}

fn version(table: &Table) -> u64 {
    *table.changes().borrow()
}

/// Guards against a change at all gates for each heartbeat of a cold endpoint, and against gates that
/// do not hear that an endpoint turns cold or warm.
#[tokio::test(start_paused = true)]
async fn only_the_begin_and_an_early_end_of_a_cold_time_are_changes() {
    let table = table("one");
    table.announce(announcement(1, 0)).unwrap();
    assert_eq!((version(&table), left(&table)), (1, None));
    table.announce(announcement(2, 3_000)).unwrap();
    assert_eq!(version(&table), 2);
    for (seq, left_ms) in [(3, 2_600), (4, 2_250), (5, 1_750)] {
        advance(Duration::from_millis(400)).await;
        table.announce(announcement(seq, left_ms)).unwrap();
        assert_eq!(version(&table), 2);
    }
    assert_eq!(left(&table), Some(Duration::from_millis(1_800)));
    // A longer and a shorter time are changes, as is the same time anew.
    table.announce(announcement(6, 3_000)).unwrap();
    assert_eq!(
        (version(&table), left(&table)),
        (3, Some(Duration::from_secs(3)))
    );
    advance(Duration::from_secs(1)).await;
    table.announce(announcement(7, 3_000)).unwrap();
    assert_eq!(
        (version(&table), left(&table)),
        (4, Some(Duration::from_secs(3)))
    );
    table.announce(announcement(8, 0)).unwrap();
    assert_eq!((version(&table), left(&table)), (5, Some(Duration::ZERO)));
    table.announce(announcement(9, 0)).unwrap();
    assert_eq!(version(&table), 5);
    // The end of the time is no change.
    table.announce(announcement(10, 500)).unwrap();
    advance(Duration::from_millis(600)).await;
    table.announce(announcement(11, 0)).unwrap();
    assert_eq!((version(&table), left(&table)), (6, Some(Duration::ZERO)));
    // An announcement that arrives late says nothing.
    table.announce(announcement(5, 9_000)).unwrap();
    assert_eq!(left(&table), Some(Duration::ZERO));
}

/// Guards against a cold time that starts anew at each table that it passes, and against tables that
/// never agree.
#[tokio::test(start_paused = true)]
async fn a_cold_time_reaches_other_tables_with_its_age() {
    let (first, second) = (table("one"), table("two"));
    first.announce(announcement(1, 0)).unwrap();
    first.announce(announcement(2, 3_000)).unwrap();
    advance(Duration::from_secs(1)).await;
    let call = async |req: Request| Ok(link::decode(&first.answer(&link::encode(&req)).await)?);
    second.exchange(call).await.unwrap();
    assert_eq!(left(&second), Some(Duration::from_secs(2)));
    let known = version(&second);
    second.exchange(call).await.unwrap();
    assert_eq!(version(&second), known);
    first.announce(announcement(3, 0)).unwrap();
    second.exchange(call).await.unwrap();
    assert_eq!(left(&second), Some(Duration::ZERO));
}

/// A push, and a change in it, as processes read them that don't know of cold times.
#[derive(Deserialize)]
enum EarlierRequest {
    Deltas { deltas: Vec<EarlierDelta> },
}

type EarlierDelta = (
    String,
    String,
    String,
    String,
    Uuid,
    u64,
    u8,
    Vec<(String, u32, Vec<String>)>,
    Option<u32>,
    u64,
);

/// Guards against pushes that processes of earlier versions can't read, and against a cold time that
/// ends when one of them passes the endpoint on without it.
#[tokio::test(start_paused = true)]
async fn processes_that_do_not_know_of_cold_times_read_the_rest() {
    let table = table("one");
    table.announce(announcement(1, 3_000)).unwrap();
    let (_, mut deltas) = table.unsent(0, "two", 0);
    let encoded = link::encode(&Request::push("one".to_owned(), 1, deltas.clone()));
    let EarlierRequest::Deltas { deltas: read } = link::decode(&encoded).unwrap();
    let read: Vec<&str> = read.iter().map(|delta| delta.0.as_str()).collect();
    assert_eq!(read, ["i-1"]);
    (deltas[0].announced.cold_left_ms, deltas[0].cold_left) = (0, None);
    let push = Request::push("two".to_owned(), 0, deltas);
    table.answer(&link::encode(&push)).await;
    assert_eq!(left(&table), Some(Duration::from_secs(3)));
}

/// Guards against a process that has just started and gets the table without cold times.
#[tokio::test(start_paused = true)]
async fn the_whole_table_has_the_cold_times() {
    let table = table("one");
    table.announce(announcement(1, 3_000)).unwrap();
    advance(Duration::from_secs(1)).await;
    let reply = table.answer(&link::encode(&Request::whole_table())).await;
    let Ok(Reply::Repaired { deltas, cold, .. }) = link::decode(&reply) else {
        panic!("not the entries");
    };
    let deltas = with_cold_times(deltas, &cold);
    assert_eq!(deltas[0].cold_left, Some(Duration::from_secs(2)));
}

/// Guards against a leaving endpoint, or one that restarts, with the cold time of before.
#[tokio::test(start_paused = true)]
async fn a_cold_time_belongs_to_its_incarnation() {
    let table = table("one");
    table.announce(announcement(1, 3_000)).unwrap();
    advance(Duration::from_secs(2)).await;
    table.deregister("i-1", None);
    assert_eq!(left(&table), Some(Duration::from_secs(1)));
    let mut restarted = announcement(1, 0);
    restarted.incarnation = Uuid::from_u128(1);
    table.announce(restarted).unwrap();
    assert_eq!(left(&table), None);
}

#[test]
fn the_latest_announcement_and_then_the_larger_time_hold() {
    let now = Instant::now();
    let state = |seq, left| ColdState {
        seq,
        until: now + left,
    };
    assert!(state(2, Duration::ZERO).supersedes(Some(state(1, DRIFT))));
    assert!(state(1, DRIFT).supersedes(Some(state(1, Duration::ZERO))));
    assert!(!state(1, DRIFT).supersedes(Some(state(2, Duration::ZERO))));
    assert!(state(1, DRIFT).supersedes(None));
}
