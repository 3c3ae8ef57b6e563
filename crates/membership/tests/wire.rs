//! What travels in place of whole endpoints: changes in brief, younger vitals, samples by digest.

mod common;

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use common::{announcement, table};
use membership::{Announcement, EndpointState, Readiness, Reply, Request, Table, TableConfig};
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

/// A neighbour that notes how many bytes each kind of request took.
struct Neighbour {
    table: Table,
    asked: RefCell<Vec<(&'static str, usize)>>,
}

fn kind(req: &Request) -> &'static str {
    match req {
        Request::CompactDeltas(..) => "briefs",
        Request::Deltas { .. } => "deltas",
        Request::Sample(_) => "sample",
        Request::RefreshSample(_) => "sample anew",
        _ => "other",
    }
}

impl Neighbour {
    fn new(table: Table) -> Self {
        let asked = RefCell::default();
        Self { table, asked }
    }

    async fn call(&self, req: Request) -> Result<Reply, link::LinkError> {
        let body = link::encode(&req);
        let answer = self.table.answer(&body).await;
        let bytes = body.len() + answer.len();
        self.asked.borrow_mut().push((kind(&req), bytes));
        link::decode(&answer)
    }

    fn asked(&self) -> Vec<&'static str> {
        let asked = self.asked.take();
        asked.into_iter().map(|(kind, _)| kind).collect()
    }
}

fn version(table: &Table, name: &str) -> Option<u32> {
    let list = table.list().into_iter();
    let mut found = list.filter(|e| e.endpoint == name);
    found.next().map(|e| e.models[0].version)
}

fn changed(name: &str, seq: u64, version: u32) -> Announcement {
    let mut a = announcement(name, 1, seq);
    a.models[0].version = version;
    a
}

fn states(table: &Table) -> BTreeMap<String, EndpointState> {
    let list = table.list().into_iter();
    list.map(|view| (view.endpoint, view.state)).collect()
}

#[tokio::test(start_paused = true)]
async fn a_change_travels_in_brief_and_whole_to_a_neighbour_that_lacks_the_endpoint() {
    let a = table("a");
    let b = Neighbour::new(table("b"));
    let push = async |since| a.push_unsent(since, "b", 0, |req| b.call(req)).await;
    a.announce(announcement("e", 1, 1)).unwrap();
    a.announce(changed("e", 2, 8)).unwrap();
    let reached = push(0).await;
    assert_eq!(b.asked(), ["briefs", "deltas"]);
    assert_eq!(version(&b.table, "e"), Some(8));
    a.announce(changed("e", 3, 9)).unwrap();
    let reached = push(reached).await;
    assert_eq!(b.asked(), ["briefs"]);
    assert_eq!(version(&b.table, "e"), Some(9));
    // Another address is another place: the neighbour cannot complete it.
    let mut moved = changed("e", 4, 9);
    moved.address = "http://127.0.0.1:9001".to_owned();
    moved.state = Readiness::Leaving;
    a.announce(moved).unwrap();
    push(reached).await;
    assert_eq!(b.asked(), ["deltas"]);
    assert_eq!(b.table.list()[0].address, "http://127.0.0.1:9001");
    assert_eq!(b.table.list()[0].state, EndpointState::Leaving);
}

#[tokio::test(start_paused = true)]
async fn an_exchange_tells_both_gates_what_either_heard_later() {
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
            let heard_by = if at % 2 == 0 { &a } else { &b.table };
            heard_by.announce(announcement(name, 1, seq)).unwrap();
        }
        a.exchange(|req| b.call(req)).await.unwrap();
    }
    for table in [&a, &b.table] {
        let oldest = table.list().iter().map(|e| e.silent_ms).max();
        assert_eq!(oldest, Some(0), "all were announced just now");
    }
    advance(5 * SECOND).await;
    let is_suspect = |state: &EndpointState| *state == EndpointState::Suspect;
    assert!(states(&a).values().all(is_suspect));
    assert!(states(&b.table).values().all(is_suspect));
}

#[tokio::test(start_paused = true)]
async fn a_sample_costs_few_bytes_until_it_changes_and_keeps_its_endpoints_ready() {
    let near = table("near");
    let far = Neighbour::new(Table::new(TableConfig::new("far", "mahdia-a")));
    let said = |at: u64, seq: u64, version: u32| Announcement {
        az: "mahdia-a".to_owned(),
        ..changed(&format!("e{at}"), seq, version)
    };
    let mut sample = Vec::new();
    for seq in 1..9 {
        // One endpoint changes each second but in the last ones.
        let newest = seq.min(6) as u32;
        far.table.announce(said(0, seq, newest)).unwrap();
        for at in 1..8 {
            far.table.announce(said(at, seq, 1)).unwrap();
        }
        let call = |req| far.call(req);
        sample = near.sample_from("mahdia-a", sample, call).await.unwrap();
        let asked = far.asked.take();
        match seq {
            ..=6 => assert_eq!(asked.len(), 2),
            _ => assert!(asked.len() == 1 && asked[0].1 < 64, "{asked:?}"),
        }
        assert_eq!(version(&near, "e0"), Some(newest));
        let is_ready = |state: &EndpointState| *state == EndpointState::Ready;
        assert!(states(&near).values().all(is_ready), "second {seq}");
        advance(SECOND).await;
    }
    assert_eq!(states(&near).len(), 8);
}
