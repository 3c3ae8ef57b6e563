use std::{sync::Arc, time::Duration};

use routing::EngineCandidate;
use tokio::time::advance;
use uuid::Uuid;

use crate::{Call, Coordinator, Outbox, Reports, Sender};

fn call(id: u64) -> Call {
    Call {
        id,
        parts: vec![(1, 600), (id + 100, 400)],
        tokens: 1_000,
        max_generated: 100,
    }
}

fn list() -> Reports {
    Reports {
        is_list: true,
        ..Reports::default()
    }
}

const ENGINES: [EngineCandidate<'_>; 1] = [EngineCandidate {
    name: "e-1",
    incarnation: Uuid::nil(),
    slots: 4,
    memory_tokens: None,
    is_local: true,
    extra_ms: 0.0,
}];

/// Guards against a coordinator that places calls before it knows those that are open, and against
/// one that keeps the calls of a gate whose link is closed.
#[tokio::test(start_paused = true)]
async fn a_coordinator_places_once_it_knows_the_open_calls() {
    let coordinator = Coordinator::default();
    let open = Arc::new(());
    let from = Sender {
        gate: "g",
        connection: Some(Arc::downgrade(&open)),
    };
    let query = |reports: &Reports, id| {
        let call = call(id);
        coordinator.answer(&from, "s", reports, Some((&call, &ENGINES)))
    };
    let reply = query(&Reports::default(), 1);
    assert!(reply.placed.is_none() && reply.needs_list);
    let reply = query(&list(), 2);
    assert!(reply.placed.is_none() && !reply.needs_list);
    advance(Duration::from_millis(400)).await;
    let reply = query(&Reports::default(), 3);
    assert_eq!(reply.placed.unwrap().endpoint, "e-1");
    assert_eq!(coordinator.sizes()[0].1.calls, 1);

    drop(open);
    advance(Duration::from_millis(400)).await;
    let other = Arc::new(());
    let from = Sender {
        gate: "h",
        connection: Some(Arc::downgrade(&other)),
    };
    coordinator.answer(&from, "s", &list(), None);
    assert_eq!(coordinator.sizes()[0].1.calls, 0);
}

/// Guards against a new coordinator that learns only of calls that start after it took over, and
/// against calls that are reported twice or never end.
#[tokio::test(start_paused = true)]
async fn a_new_coordinator_is_told_of_all_open_calls() {
    let mut outbox = Outbox::default();
    for id in 1..=3 {
        outbox.open(call(id));
    }
    outbox.start(1, "e-1", true);
    outbox.start(2, "e-2", false);
    outbox.record_first_event(1, 70, None, None);
    let reports = outbox.take("a");
    assert!(reports.is_list);
    let mut started: Vec<_> = reports.started.iter().map(|s| s.call.id).collect();
    started.sort_unstable();
    // Call 3 has no endpoint yet.
    assert_eq!(started, [1, 2]);
    assert!(outbox.take("a").is_empty());
    // The list may have replaced what the coordinator knew of it.
    outbox.start(3, "e-3", true);
    assert_eq!(outbox.take("a").started[0].call.id, 3);
    outbox.end(1);
    outbox.end(1);
    assert_eq!(outbox.take("a").ended, [1]);
    let reports = outbox.take("b");
    assert_eq!((reports.is_list, reports.started.len()), (true, 2));
    outbox.request_list();
    assert!(outbox.has_reports() && outbox.take("b").is_list);
}

/// Guards against reports that pile up while no coordinator is reachable.
#[tokio::test(start_paused = true)]
async fn reports_are_dropped_without_a_coordinator() {
    let mut outbox = Outbox::default();
    outbox.open(call(1));
    outbox.start(1, "e-1", false);
    outbox.record_first_event(1, 70, None, None);
    outbox.drop_reports();
    assert!(!outbox.has_reports());
    let reports = outbox.take("a");
    assert_eq!((reports.is_list, reports.started.len()), (true, 1));
}
