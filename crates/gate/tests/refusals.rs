//! Refusals that an endpoint writes once more on a kept connection.

mod env;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use env::{
    Env,
    client::Answer,
    fake_endpoint::{FakeEndpoint, ReceivedCall, Reply, Step, not_run, output},
};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::time::sleep;

const DEADLINE: (&str, &str) = ("jujube-deadline-ms", "3000");

fn completed(call: &ReceivedCall) -> Reply {
    match call.path.as_str() {
        "/v1/completions" => Reply::Stream(vec![Step::Chunk(0, "ran"), Step::Done]),
        _ => Reply::Json(output(&json!("ran"))),
    }
}

/// Answers the first call of each connection, and all others with `copy`.
fn copies_on_kept_connections(copy: Reply) -> impl Fn(&ReceivedCall) -> Reply {
    move |call| match call.is_kept {
        true => copy.clone(),
        false => completed(call),
    }
}

/// Runs a request on a connection that is kept, then one whose calls are all answered with `copy`.
/// Returns the answer to the second request and its calls.
async fn answer_with_copies(
    (pipeline, service): (&str, &str),
    copy: Reply,
) -> (Answer, Vec<ReceivedCall>) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let endpoint = FakeEndpoint::start("one", service, move |call| match call.nth {
        0 => completed(call),
        _ => copy.clone(),
    })
    .await;
    gate.announce(&endpoint).await;
    let first = gate.post(pipeline, &[DEADLINE], json!("first")).await;
    assert_eq!(first.status, 200, "{}", first.text());
    let second = gate.post(pipeline, &[DEADLINE], json!("second")).await;
    let calls = endpoint.calls().split_off(1);
    assert!(calls[0].is_kept);
    (second, calls)
}

const REPEATABLE: [(&str, &str); 2] = [("find", "look"), ("chat", "llm")];

/// Guards against telling callers "not run" for a call that ran, because a copy of an earlier
/// refusal without the id of a call arrived on its kept connection.
#[tokio::test]
async fn refusal_without_call_id_on_a_kept_connection_is_no_proof() {
    for target in REPEATABLE {
        let (answer, calls) = answer_with_copies(target, Reply::RefusalWithoutCallId).await;
        let expected = (502, "failed".to_owned());
        let result = (answer.status, answer.outcome());
        assert_eq!(result, expected, "{target:?}: {}", answer.text());
        assert!(
            calls
                .iter()
                .skip(1)
                .all(|c| c.connection != calls[0].connection)
        );
    }
}

/// Guards against telling callers "not run" for a call that ran, because a copy of an earlier
/// refusal with that call's id arrived.
#[tokio::test]
async fn refusal_with_the_id_of_another_call_is_no_proof() {
    for target in REPEATABLE {
        let (answer, _) = answer_with_copies(target, Reply::RefusalWithWrongCallId).await;
        let expected = (502, "failed".to_owned());
        let result = (answer.status, answer.outcome());
        assert_eq!(result, expected, "{target:?}: {}", answer.text());
    }
}

/// Guards against telling callers that a refused request may have run: the first answer on a
/// connection can't be a copy.
#[tokio::test]
async fn refusal_without_call_id_on_a_new_connection_is_proof() {
    for (pipeline, service) in REPEATABLE {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let endpoint = FakeEndpoint::start("one", service, |_| Reply::RefusalWithoutCallId).await;
        gate.announce(&endpoint).await;
        let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
        let expected = (503, "not_run".to_owned());
        assert_eq!(
            (answer.status, answer.outcome()),
            expected,
            "{}",
            answer.text()
        );
    }
}

/// Guards against using a connection on which a copy of an earlier refusal arrived once more.
#[tokio::test]
async fn call_answered_by_a_copy_is_repeated_on_a_new_connection() {
    for (pipeline, service) in REPEATABLE {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let copy = Reply::RefusalWithoutCallId;
        let endpoint = FakeEndpoint::start("one", service, copies_on_kept_connections(copy)).await;
        gate.announce(&endpoint).await;
        for _ in 0..4 {
            let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }
}

/// Guards against releasing the key of a booking that ran, because a copy of an earlier refusal
/// arrived on its connection: each booking has a connection of its own.
#[tokio::test]
async fn bookings_never_use_a_connection_that_has_carried_a_call() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let copy = Reply::RefusalWithoutCallId;
    let endpoint = FakeEndpoint::start("one", "book", copies_on_kept_connections(copy)).await;
    gate.announce(&endpoint).await;
    for _ in 0..4 {
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [("idempotency-key", &*key), DEADLINE];
        let answer = gate.post("booking", &headers, json!("ferry")).await;
        assert_eq!(answer.json()["output"], "ran", "{}", answer.text());
    }
    let calls = endpoint.calls();
    assert_eq!(calls.len(), 4);
    assert!(calls.iter().all(|call| !call.is_kept));
}

/// Guards against telling the caller of a booking "not run", or booking again, after a refusal with
/// the id of an earlier booking.
#[tokio::test]
async fn booking_answered_with_an_earlier_refusal_is_unknown_and_not_repeated() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let one = FakeEndpoint::start("one", "book", |_| Reply::RefusalWithWrongCallId).await;
    let two = FakeEndpoint::start("two", "book", |_| Reply::RefusalWithWrongCallId).await;
    gate.announce(&one).await;
    gate.announce(&two).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", &*key), DEADLINE];
    let answer = gate.post("booking", &headers, Value::from("ferry")).await;
    let expected = (502, "unknown".to_owned());
    assert_eq!(
        (answer.status, answer.outcome()),
        expected,
        "{}",
        answer.text()
    );
    assert_eq!(one.calls().len() + two.calls().len(), 1);
}

/// Guards against telling callers "not run" for a hedge that ran, because a copy of an earlier refusal
/// arrived on its kept connection.
#[tokio::test]
async fn copy_that_answers_a_hedge_is_no_proof() {
    const WARM_UP_ROUNDS: usize = 10;
    const CONCURRENCY: usize = 4;
    for (pipeline, service) in REPEATABLE {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let slow_calls: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let received = Arc::clone(&slow_calls);
        let handler = move |call: &ReceivedCall| {
            if call.body["input"] != "slow" && call.body["prompt"] != "slow" {
                return completed(call);
            }
            let mut received = received.lock().unwrap();
            received.push(call.clone());
            match received.len() {
                1 => Reply::DelayedRefusal(Duration::from_secs(1)),
                2 => Reply::RefusalWithoutCallId,
                _ => not_run(),
            }
        };
        let one = FakeEndpoint::start("one", service, handler.clone()).await;
        let two = FakeEndpoint::start("two", service, handler).await;
        gate.announce(&one).await;
        gate.announce(&two).await;
        for _ in 0..WARM_UP_ROUNDS {
            let requests = (0..CONCURRENCY).map(|_| gate.post(pipeline, &[DEADLINE], json!("x")));
            join_all(requests).await;
        }
        // The gate refreshes its quantiles four times a second.
        sleep(Duration::from_millis(300)).await;
        let answer = gate.post(pipeline, &[DEADLINE], json!("slow")).await;
        let expected = (502, "failed".to_owned());
        let result = (answer.status, answer.outcome());
        assert_eq!(result, expected, "{pipeline}: {}", answer.text());
        let hedge = slow_calls.lock().unwrap()[1].clone();
        assert!(hedge.is_kept);
    }
}
