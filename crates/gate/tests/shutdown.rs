//! SIGTERM interrupts no work in flight.

mod env;

use std::time::Duration;

use env::{
    Env, client,
    fake_endpoint::{FakeEndpoint, Reply, Step, output},
};
use link::keeper::Settlement;
use serde_json::json;
use tokio::time::sleep;

const NOTICE: &str = "[timing]\nnotice_ms = 300\n";
const STREAM_HEADERS: [(&str, &str); 2] = [
    ("accept", "text/event-stream"),
    ("jujube-deadline-ms", "10000"),
];

fn slow_stream() -> Reply {
    let pause = Step::Pause(Duration::from_millis(150));
    let mut steps = Vec::new();
    for (at, text) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        steps.push(pause.clone());
        steps.push(Step::Chunk(at, text));
    }
    steps.push(Step::Done);
    Reply::Stream(steps)
}

#[tokio::test]
async fn streams_complete_readiness_fails_at_once_and_the_exit_code_is_0() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", NOTICE).await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| slow_stream()).await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    gate.announce(&llm).await;
    gate.announce(&retriever).await;
    let (answer, ()) = tokio::join!(gate.post("chat", &STREAM_HEADERS, json!("x")), async {
        llm.wait_for_calls(1).await;
        gate.terminate();
        gate.wait_until("/readyz", |a| a.status == 503).await;
        // The load balancer has not noticed the failed readiness check yet.
        let late = gate.post("find", &[], json!(1)).await;
        assert_eq!(late.json()["output"], "found");
    });
    let last = answer.events().pop().unwrap();
    assert_eq!(
        (&*last.0, &last.1["output"]),
        ("done", &json!("abcdef")),
        "{}",
        answer.text()
    );
    assert_eq!(gate.wait_exit().await.code(), Some(0));
}

#[tokio::test]
async fn new_connections_are_refused_after_the_notice_period() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", NOTICE).await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| slow_stream()).await;
    gate.announce(&llm).await;
    let (answer, ()) = tokio::join!(gate.post("chat", &STREAM_HEADERS, json!("x")), async {
        llm.wait_for_calls(1).await;
        gate.terminate();
        sleep(Duration::from_millis(500)).await;
        assert!(client::get(gate.http, "/healthz").await.is_err());
    });
    assert_eq!(answer.events().pop().unwrap().0, "done");
    assert_eq!(gate.wait_exit().await.code(), Some(0));
}

#[tokio::test]
async fn a_booking_whose_caller_disconnected_is_settled_before_exit() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", NOTICE).await;
    let booking_endpoint = FakeEndpoint::start("book-1", "book", |_| {
        Reply::Delayed(Duration::from_millis(800), output(&json!("booked")))
    })
    .await;
    gate.announce(&booking_endpoint).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "10000")];
    tokio::select! {
        answer = gate.try_post("booking", &headers, json!("ferry")) => panic!("{answer:?}"),
        () = booking_endpoint.wait_for_calls(1) => {}
    }
    gate.terminate();
    assert_eq!(gate.wait_exit().await.code(), Some(0));
    let settled = env.keeper.wait_for_settlements(1).await;
    assert!(
        matches!(settled[0], Settlement::Completed(_)),
        "{settled:?}"
    );
}
