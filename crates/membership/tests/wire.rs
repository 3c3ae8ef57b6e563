//! Messages that save bytes: compact deltas, vitals of newer heartbeats, and samples by digest.

mod common;

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use common::{announcement, table};
use membership::{Announcement, EndpointState, Readiness, Reply, Request, Table, TableConfig};
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

/// A neighbour that records kind and size in bytes of each request with its reply.
struct Neighbour {
    table: Table,
    requests: RefCell<Vec<(&'static str, usize)>>,
}

fn kind(req: &Request) -> &'static str {
    match req {
        Request::CompactDeltas(..) => "compact deltas",
        Request::Deltas { .. } => "deltas",
        Request::Sample(_) => "sample",
        Request::RefreshSample(_) => "refresh sample",
        _ => "other",
    }
}

impl Neighbour {
    fn new(table: Table) -> Self {
        let requests = RefCell::default();
        Self { table, requests }
    }

    async fn call(&self, req: Request) -> Result<Reply, link::LinkError> {
        let body = link::encode(&req);
        let answer = self.table.answer(&body).await;
        let bytes = body.len() + answer.len();
        self.requests.borrow_mut().push((kind(&req), bytes));
        link::decode(&answer)
    }

    fn requests(&self) -> Vec<&'static str> {
        let requests = self.requests.take();
        requests.into_iter().map(|(kind, _)| kind).collect()
    }
}

fn version(table: &Table, name: &str) -> Option<u32> {
    let list = table.list().into_iter();
    let mut found = list.filter(|e| e.endpoint == name);
    found.next().map(|e| e.models[0].version)
}

fn announcement_of_version(name: &str, seq: u64, version: u32) -> Announcement {
    let mut a = announcement(name, 1, seq);
    a.models[0].version = version;
    a
}

fn states(table: &Table) -> BTreeMap<String, EndpointState> {
    let list = table.list().into_iter();
    list.map(|view| (view.endpoint, view.state)).collect()
}

#[tokio::test(start_paused = true)]
async fn change_is_sent_compactly_and_in_full_to_a_neighbour_that_lacks_the_endpoint() {
    let a = table("a");
    let b = Neighbour::new(table("b"));
    let push = async |since| a.push_unsent(since, "b", 0, |req| b.call(req)).await;
    a.announce(announcement("e", 1, 1)).unwrap();
    a.announce(announcement_of_version("e", 2, 8)).unwrap();
    let pushed_version = push(0).await;
    assert_eq!(b.requests(), ["compact deltas", "deltas"]);
    assert_eq!(version(&b.table, "e"), Some(8));
    a.announce(announcement_of_version("e", 3, 9)).unwrap();
    let pushed_version = push(pushed_version).await;
    assert_eq!(b.requests(), ["compact deltas"]);
    assert_eq!(version(&b.table, "e"), Some(9));
    // A new address changes the identity: the neighbour can't expand a compact delta.
    let mut moved = announcement_of_version("e", 4, 9);
    moved.address = "http://127.0.0.1:9001".to_owned();
    moved.state = Readiness::Leaving;
    a.announce(moved).unwrap();
    push(pushed_version).await;
    assert_eq!(b.requests(), ["deltas"]);
    assert_eq!(b.table.list()[0].address, "http://127.0.0.1:9001");
    assert_eq!(b.table.list()[0].state, EndpointState::Leaving);
}

#[tokio::test(start_paused = true)]
async fn exchange_gives_both_gates_the_newer_heartbeats() {
    let a = table("a");
    let b = Neighbour::new(table("b"));
    let names: Vec<String> = (0..40).map(|at| format!("e{at}")).collect();
    for name in &names {
        a.announce(announcement(name, 1, 1)).unwrap();
    }
    a.exchange(|req| b.call(req)).await.unwrap();
    for seq in 2..8 {
        advance(SECOND).await;
        for (at, name) in names.iter().enumerate() {
            let receiver = if at % 2 == 0 { &a } else { &b.table };
            receiver.announce(announcement(name, 1, seq)).unwrap();
        }
        a.exchange(|req| b.call(req)).await.unwrap();
    }
    for table in [&a, &b.table] {
        let oldest = table.list().iter().map(|e| e.silent_ms).max();
        assert_eq!(oldest, Some(0), "all were just announced");
    }
    advance(5 * SECOND).await;
    let is_suspect = |state: &EndpointState| *state == EndpointState::Suspect;
    assert!(states(&a).values().all(is_suspect));
    assert!(states(&b.table).values().all(is_suspect));
}

#[tokio::test(start_paused = true)]
async fn unchanged_sample_costs_few_bytes_and_keeps_its_endpoints_ready() {
    let near = table("near");
    let far = Neighbour::new(Table::new(TableConfig::new("far", "mahdia-a")));
    let announcement_of = |at: u64, seq: u64, version: u32| Announcement {
        az: "mahdia-a".to_owned(),
        ..announcement_of_version(&format!("e{at}"), seq, version)
    };
    let mut sample = Vec::new();
    for seq in 1..9 {
        // One endpoint changes in each of the first 6 seconds.
        let newest = seq.min(6) as u32;
        far.table.announce(announcement_of(0, seq, newest)).unwrap();
        for at in 1..8 {
            far.table.announce(announcement_of(at, seq, 1)).unwrap();
        }
        let call = |req| far.call(req);
        sample = near.sample_from("mahdia-a", sample, call).await.unwrap();
        let requests = far.requests.take();
        match seq {
            ..=6 => assert_eq!(requests.len(), 2),
            _ => assert!(requests.len() == 1 && requests[0].1 < 64, "{requests:?}"),
        }
        assert_eq!(version(&near, "e0"), Some(newest));
        let is_ready = |state: &EndpointState| *state == EndpointState::Ready;
        assert!(states(&near).values().all(is_ready), "second {seq}");
        advance(SECOND).await;
    }
    assert_eq!(states(&near).len(), 8);
}
