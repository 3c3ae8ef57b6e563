//! SIGTERM cuts off nothing that is in flight.

mod env;

use std::time::Duration;

use env::{
    Env, client,
    stand_in::{Reply, StandIn, Step, output},
};
use link::keeper::Settlement;
use serde_json::json;
use tokio::time::sleep;

const NOTICE: &str = "[timing]\nnotice_ms = 300\n";
const LONG: [(&str, &str); 2] = [
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
async fn streams_end_whole_readiness_fails_at_once_and_the_code_is_0() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", NOTICE).await;
    let llm = StandIn::start("llm-1", "llm", |_| slow_stream()).await;
    let look = StandIn::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    gate.knows(&llm).await;
    gate.knows(&look).await;
    let (answer, ()) = tokio::join!(gate.ask("chat", &LONG, json!("x")), async {
        llm.until_called(1).await;
        gate.terminate();
        gate.until("/readyz", |a| a.status == 503).await;
        // The balancer has not heard yet.
        let late = gate.ask("find", &[], json!(1)).await;
        assert_eq!(late.json()["output"], "found");
    });
    let last = answer.events().pop().unwrap();
    assert_eq!(
        (&*last.0, &last.1["output"]),
        ("done", &json!("abcdef")),
        "{}",
        answer.text()
    );
    assert_eq!(gate.ended().await.code(), Some(0));
}

#[tokio::test]
async fn after_the_notice_no_new_connection_is_taken() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", NOTICE).await;
    let llm = StandIn::start("llm-1", "llm", |_| slow_stream()).await;
    gate.knows(&llm).await;
    let (answer, ()) = tokio::join!(gate.ask("chat", &LONG, json!("x")), async {
        llm.until_called(1).await;
        gate.terminate();
        sleep(Duration::from_millis(500)).await;
        assert!(client::get(gate.http, "/healthz").await.is_err());
    });
    assert_eq!(answer.events().pop().unwrap().0, "done");
    assert_eq!(gate.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_booking_whose_caller_is_gone_is_settled_before_the_end() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", NOTICE).await;
    let desk = StandIn::start("book-1", "book", |_| {
        Reply::Later(Duration::from_millis(800), output(&json!("booked")))
    })
    .await;
    gate.knows(&desk).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "10000")];
    tokio::select! {
        answer = gate.try_ask("booking", &headers, json!("ferry")) => panic!("{answer:?}"),
        () = desk.until_called(1) => {}
    }
    gate.terminate();
    assert_eq!(gate.ended().await.code(), Some(0));
    let settled = env.keeper.until_settled(1).await;
    assert!(
        matches!(settled[0], Settlement::Completed(_)),
        "{settled:?}"
    );
}
