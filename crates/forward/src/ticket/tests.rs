//! Tests of the inputs that items need.

use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::{Instant, sleep};

use super::Ticket;
use crate::messages::{StoredResult, Submission};

fn ticket(items: u32, inputs: &[&str]) -> Ticket {
    let submission = Submission {
        request: "r1".to_owned(),
        service: "ice".to_owned(),
        stage: 1,
        items,
        key: None,
        inputs: inputs.iter().map(ToString::to_string).collect(),
        result_bytes: 1_000,
        crossing_bytes: 0,
        remaining: Duration::from_secs(20),
        urgency: 0,
        due_ms: 1_000,
        az: "a".to_owned(),
        wants_wait: false,
        flow: None,
    };
    Ticket::new(submission, Instant::now())
}

fn are_fetched(ticket: &Ticket) -> bool {
    ticket.inputs_fetched().now_or_never().is_some()
}

#[tokio::test(start_paused = true)]
async fn inputs_are_fetched_once_every_item_has_them() {
    let ticket = ticket(2, &["i-1/r1"]);
    ticket.record_inputs_fetched(0);
    assert!(!are_fetched(&ticket));
    ticket.record_inputs_fetched(1);
    assert!(are_fetched(&ticket));
}

/// One item came back without a result and waits for another endpoint when the other one starts.
#[tokio::test(start_paused = true)]
async fn an_item_that_is_requeued_keeps_the_inputs() {
    let ticket = ticket(2, &["i-1/r1"]);
    ticket.record_inputs_fetched(0);
    assert!(ticket.reclaim_inputs(0));
    ticket.record_inputs_fetched(1);
    assert!(!are_fetched(&ticket));
    ticket.record_inputs_fetched(0);
    assert!(are_fetched(&ticket));
}

#[tokio::test(start_paused = true)]
async fn released_inputs_cannot_be_reclaimed() {
    let with_inputs = ticket(2, &["i-1/r1"]);
    let without_inputs = ticket(2, &[]);
    for ticket in [&with_inputs, &without_inputs] {
        ticket.record_inputs_fetched(0);
        ticket.record_inputs_fetched(1);
    }
    assert!(!with_inputs.reclaim_inputs(0));
    assert!(without_inputs.reclaim_inputs(0));
}

/// Guards against a stage of several calls whose first results count as new when the last one is
/// there: their endpoints drop them before the next stage expects it.
#[tokio::test(start_paused = true)]
async fn results_have_the_age_since_their_own_call() {
    let ticket = ticket(2, &[]);
    let result = |handle: &str| StoredResult {
        handle: handle.to_owned(),
        endpoint: "i-1".to_owned(),
        az: "a".to_owned(),
        age: Duration::ZERO,
    };
    assert!(ticket.complete_item(0, result("h-0")));
    sleep(Duration::from_millis(1_500)).await;
    assert!(ticket.complete_item(1, result("h-1")));
    let results = ticket.finished().await.unwrap();
    let ages: Vec<u128> = results.iter().map(|r| r.age.as_millis()).collect();
    assert_eq!(ages, [1_500, 0]);
}
