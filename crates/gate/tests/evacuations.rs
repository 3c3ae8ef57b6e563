//! Evacuated availability zones, whose endpoints get no calls.

mod env;

use std::time::Duration;

use env::{
    Env, Gate, TEST_TIMEOUT,
    client::Answer,
    fake_endpoint::{FakeEndpoint, Reply, Step, output},
};
use serde_json::json;
use tokio::time::{Instant, sleep};

const SSE: (&str, &str) = ("accept", "text/event-stream");
const DEADLINE: (&str, &str) = ("jujube-deadline-ms", "6000");
const ZONE: &str = "z";

/// Sends requests until one has `status`.
async fn wait_for_status(gate: &Gate, status: u16) -> Answer {
    let start = Instant::now();
    loop {
        let answer = gate.post("find", &[], json!("any")).await;
        if answer.status == status {
            return answer;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{}", answer.text());
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against calls to an evacuated zone, a refusal that does not say that nothing ran, and a zone
/// that stays unused after the order was withdrawn or while no keeper answers.
#[tokio::test]
async fn evacuated_zone_gets_no_calls() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let endpoint = FakeEndpoint::start("one", "look", |_| Reply::Json(output(&json!("ran")))).await;
    gate.announce(&endpoint).await;
    wait_for_status(&gate, 200).await;
    env.keeper.evacuate(&[ZONE]);
    let refused = wait_for_status(&gate, 503).await;
    assert_eq!(refused.outcome(), "not_run", "{}", refused.text());
    assert!(refused.text().contains("evacuated"), "{}", refused.text());
    let calls = endpoint.calls().len();
    for _ in 0..5 {
        gate.announce(&endpoint).await;
        assert_eq!(gate.post("find", &[], json!("any")).await.status, 503);
    }
    assert_eq!(endpoint.calls().len(), calls);
    env.keeper.evacuate(&[]);
    gate.announce(&endpoint).await;
    wait_for_status(&gate, 200).await;
}

/// Guards against a stream that is resumed at its endpoint, or begun again there, after the endpoint's
/// zone was evacuated.
#[tokio::test]
async fn stream_is_not_resumed_in_an_evacuated_zone() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| {
        Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_secs(3)),
            Step::Disconnect,
        ])
    });
    let llm = llm.await;
    let look = FakeEndpoint::start("one", "look", |_| Reply::Json(output(&json!("ran")))).await;
    gate.announce(&llm).await;
    gate.announce(&look).await;
    let order = async {
        llm.wait_for_calls(1).await;
        env.keeper.evacuate(&[ZONE]);
        // The gate knows of the order before the stream breaks off.
        wait_for_status(&gate, 503).await;
    };
    let stream = gate.post("chat", &[SSE, DEADLINE], json!("x"));
    let (answer, ()) = tokio::join!(stream, order);
    let last = answer.events().pop().unwrap();
    assert_eq!(last.0, "error", "{}", answer.text());
    assert_eq!(llm.calls().len(), 1);
}
