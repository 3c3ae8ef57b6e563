//! SIGTERM interrupts no work in flight.

mod env;

use std::time::Duration;

use env::{
    Env, client,
    fake_endpoint::{FakeEndpoint, Reply, Step, output},
};
use futures_util::future::join_all;
use link::keeper::Settlement;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

const NOTICE: &str = "[timing]\nnotice_ms = 300\n";
/// A shutdown that is shorter than the requests' deadlines.
const SHORT_DRAIN: &str = "[timing]\nnotice_ms = 300\ndrain_ms = 1200\n";
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

/// Guards against a gate that exits while it owes responses: to requests at endpoints that do not answer,
/// and to those that wait for them.
#[tokio::test]
async fn requests_that_outlast_the_shutdown_are_answered() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", SHORT_DRAIN).await;
    let mut endpoints = Vec::new();
    for service in ["look", "llm", "book"] {
        let endpoint =
            FakeEndpoint::start(&format!("{service}-1"), service, |_| Reply::Silent).await;
        gate.announce(&endpoint).await;
        endpoints.push(endpoint);
    }
    let requests = (0..30).map(|n| {
        let gate = &gate;
        async move {
            let key = uuid::Uuid::now_v7().to_string();
            let headers = [("jujube-deadline-ms", "20000"), ("idempotency-key", &*key)];
            let pipeline = ["find", "chat", "booking"][n % 3];
            let answer = gate.try_post(pipeline, &headers, json!(n)).await;
            let answer = answer.unwrap_or_else(|e| panic!("{pipeline}: {e}"));
            assert!(
                matches!(answer.status, 502 | 503),
                "{pipeline}: {}",
                answer.text()
            );
        }
    });
    let stop = async {
        for endpoint in &endpoints {
            endpoint.wait_for_calls(1).await;
        }
        gate.terminate();
    };
    tokio::join!(join_all(requests), stop);
    assert_eq!(gate.wait_exit().await.code(), Some(0));
}

/// Guards against the same for a request whose body is still coming in.
#[tokio::test]
async fn request_whose_body_is_incomplete_at_the_end_is_answered() {
    let env = Env::start().await;
    let mut gate = env.gate_with("g", SHORT_DRAIN).await;
    let mut stream = TcpStream::connect(gate.http).await.unwrap();
    let half = "POST /v1/pipelines/find HTTP/1.1\r\nHost: g\r\nJujube-Workspace: w\r\n\
                Content-Type: application/json\r\nContent-Length: 20\r\n\r\n{\"input\"";
    stream.write_all(half.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    gate.terminate();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert_eq!(gate.wait_exit().await.code(), Some(0));
}
