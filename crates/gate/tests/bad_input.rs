//! Invalid, oversized, slow and unauthorized requests of callers and endpoints.

mod env;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use env::{
    Env, client,
    fake_endpoint::{FakeEndpoint, Reply, Step, output},
};
use hyper::Method;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Posts a raw body that must be refused. Returns the status and the problem's type.
async fn post_refused(
    http: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (u16, String) {
    let req = client::request(
        Method::POST,
        path,
        headers,
        Bytes::copy_from_slice(body.as_bytes()),
    );
    let answer = client::exchange(http, req).await.unwrap();
    assert_eq!(
        answer.headers["content-type"],
        "application/problem+json",
        "{}",
        answer.text()
    );
    let problem = answer.json();
    assert_eq!(problem["status"], answer.status);
    (answer.status, problem["type"].as_str().unwrap().to_owned())
}

#[tokio::test]
async fn invalid_requests_are_refused_with_their_problem_type() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!(1)))).await;
    let plain = FakeEndpoint::start("book-1", "book", |_| Reply::Json(output(&json!(1)))).await;
    gate.announce(&retriever).await;
    gate.announce(&plain).await;
    let (find, booking) = ("/v1/pipelines/find", "/v1/pipelines/booking");
    let w = ("jujube-workspace", "w");
    let good = r#"{"input": 1}"#;
    let uuid_v4 = "3f2504e0-4f89-41d3-9a0c-0305e82c3301";
    let long = "x".repeat(200);
    let cases: Vec<(&str, Vec<(&str, &str)>, &str, u16, &str)> = vec![
        ("/v1/pipelines/none", vec![w], good, 404, "no-pipeline"),
        ("/v1/nothing", vec![w], good, 404, "not-found"),
        (find, vec![], good, 400, "no-workspace"),
        (find, vec![w, w], good, 400, "bad-header"),
        (
            find,
            vec![("jujube-workspace", "nobody")],
            good,
            403,
            "not-allowed",
        ),
        (
            booking,
            vec![("jujube-workspace", "small")],
            good,
            403,
            "not-allowed",
        ),
        (
            find,
            vec![w, ("jujube-deadline-ms", "0")],
            good,
            400,
            "bad-deadline",
        ),
        (
            find,
            vec![w, ("jujube-deadline-ms", "-5")],
            good,
            400,
            "bad-deadline",
        ),
        (
            find,
            vec![w, ("jujube-deadline-ms", "99999999999999")],
            good,
            400,
            "bad-deadline",
        ),
        (
            find,
            vec![w, ("jujube-request", &long)],
            good,
            400,
            "bad-request-id",
        ),
        (find, vec![w], "", 400, "bad-body"),
        (find, vec![w], "{\"input\": ", 400, "bad-body"),
        (find, vec![w], "[]", 400, "bad-body"),
        (find, vec![w], "{}", 400, "bad-body"),
        (
            find,
            vec![w],
            r#"{"input": 1, "inptu": 2}"#,
            400,
            "bad-body",
        ),
        (booking, vec![w], good, 400, "bad-key"),
        (
            booking,
            vec![w, ("idempotency-key", "7")],
            good,
            400,
            "bad-key",
        ),
        (
            booking,
            vec![w, ("idempotency-key", uuid_v4)],
            good,
            400,
            "bad-key",
        ),
        ("/v1/announce", vec![], "{}", 400, "bad-body"),
        ("/v1/cache-events", vec![], "7", 400, "bad-body"),
    ];
    for (path, headers, body, status, kind) in cases {
        let refusal = post_refused(gate.http, path, &headers, body).await;
        assert_eq!(
            refusal,
            (status, kind.to_owned()),
            "{path} {headers:?} {body}"
        );
    }
    assert!(retriever.calls().is_empty() && plain.calls().is_empty());
    let answer = client::get(gate.http, "/v1/requests/7").await.unwrap();
    assert_eq!(answer.status, 400);
    let free = format!("/v1/requests/{}", uuid::Uuid::now_v7());
    assert_eq!(client::get(gate.http, &free).await.unwrap().status, 404);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_with_or_without_content_length() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[limits]\nbody_bytes = 1000\n").await;
    let body = json!({"input": "x".repeat(2_000)}).to_string();
    let w = [("jujube-workspace", "w")];
    let refusal = post_refused(gate.http, "/v1/pipelines/find", &w, &body).await;
    assert_eq!(refusal, (413, "body-too-large".to_owned()));
    let head = "POST /v1/pipelines/find HTTP/1.1\r\nhost: g\r\njujube-workspace: w\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{}\r\n", 600, "y".repeat(600));
    let answer = send_raw(gate.http, &[head, &chunk, &chunk]).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    let long = "z".repeat(40_000);
    let headers = [("jujube-workspace", "w"), ("x", &*long)];
    let refusal = post_refused(gate.http, "/v1/pipelines/find", &headers, "{}").await;
    assert_eq!(refusal, (431, "head-too-large".to_owned()));
    // The HTTP library itself answers heads far beyond the limit.
    let head = format!(
        "GET /healthz HTTP/1.1\r\nhost: g\r\nx: {}\r\n\r\n",
        "z".repeat(70_000)
    );
    let answer = send_raw(gate.http, &[&head]).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let answer = send_raw(gate.http, &["NONSENSE\r\n\r\n"]).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(
        client::get(gate.http, "/healthz").await.unwrap().status,
        200
    );
}

#[tokio::test]
async fn memory_for_bodies_is_bounded() {
    let env = Env::start().await;
    let gate = env
        .gate_with("g", "[limits]\nbuffered_bytes = 4096\n")
        .await;
    let slow = "POST /v1/pipelines/find HTTP/1.1\r\nhost: g\r\njujube-workspace: w\r\n\
                content-length: 9000\r\n\r\n";
    let mut hold = TcpStream::connect(gate.http).await.unwrap();
    hold.write_all(slow.as_bytes()).await.unwrap();
    hold.write_all(&[b' '; 3_500]).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    let body = json!({"input": "x".repeat(2_000)}).to_string();
    let w = [("jujube-workspace", "w")];
    let refusal = post_refused(gate.http, "/v1/pipelines/find", &w, &body).await;
    assert_eq!(refusal, (503, "bodies-full".to_owned()));
    drop(hold);
    let start = Instant::now();
    while post_refused(gate.http, "/v1/pipelines/find", &w, &body)
        .await
        .1
        == "bodies-full"
    {
        assert!(start.elapsed() < env::TEST_TIMEOUT);
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn slow_and_silent_callers_are_disconnected() {
    let env = Env::start().await;
    let settings = "[timing]\nhead_ms = 300\nbody_ms = 300\n[limits]\nconnections = 8\n";
    let gate = env.gate_with("g", settings).await;
    let head = "POST /v1/pipelines/find HTTP/1.1\r\nhost: g\r\njujube-workspace: w\r\n\
                content-length: 100\r\n\r\n{";
    let answer = send_raw(gate.http, &[head]).await;
    assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    // Half-open requests on all 8 connections; the ninth caller must still be served.
    let mut silent = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(gate.http).await.unwrap();
        stream
            .write_all(b"POST /v1/pipelines/find HT")
            .await
            .unwrap();
        silent.push(stream);
    }
    assert_eq!(
        client::get(gate.http, "/healthz").await.unwrap().status,
        200
    );
}

const LINE: &str = "a line of text that is long enough to fill the buffers of a socket in time.";

#[tokio::test]
async fn a_caller_that_reads_nothing_does_not_keep_its_request_alive() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| {
        let chunks = (0..200_000).map(|n| Step::Chunk(n * LINE.len(), LINE));
        Reply::Stream(chunks.chain([Step::Done]).collect())
    })
    .await;
    gate.announce(&llm).await;
    let headers = [
        ("jujube-workspace", "w"),
        ("accept", "text/event-stream"),
        ("jujube-deadline-ms", "500"),
    ];
    let body = Bytes::from(json!({"input": "x"}).to_string());
    let req = client::request(Method::POST, "/v1/pipelines/chat", &headers, body);
    let unread = client::open(gate.http, req).await.unwrap();
    let start = Instant::now();
    while gate.metric("jujube_requests_total", "chat").await < 1.0 {
        assert!(start.elapsed() < env::TEST_TIMEOUT);
        sleep(Duration::from_millis(20)).await;
    }
    drop(unread);
}

#[tokio::test]
async fn announcements_require_the_configured_token() {
    let env = Env::start().await;
    let token = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(token.path(), "let me in\n").unwrap();
    let security = format!(
        "[security]\nannounce_token_file = {}\n",
        token.path().display()
    );
    let gate = env.gate_with("g", &security).await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!(1)))).await;
    let announce = async |token: &str| -> Value {
        let headers = [("authorization", token)];
        let body = retriever.announcement();
        let answer = client::post(gate.http, "/v1/announce", &headers, &body);
        answer.await.unwrap().json()
    };
    for wrong in ["", "Bearer let me out", "let me in", "Bearer "] {
        assert_eq!(announce(wrong).await["status"], 401, "{wrong}");
    }
    let events = client::post(gate.http, "/v1/cache-events", &[], &json!({}))
        .await
        .unwrap();
    assert_eq!(events.status, 401);
    assert!(announce("Bearer let me in").await["next_ms"].is_u64());
    let page = client::get(gate.http, "/v1/endpoints").await.unwrap();
    assert_eq!(page.json()[0]["endpoint"], "look-1");
}

/// Sends `parts` as they are and reads until the gate closes the connection, at most 3 seconds.
async fn send_raw(to: SocketAddr, parts: &[&str]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    for part in parts {
        // The gate may respond and close before it has read everything.
        let _ = stream.write_all(part.as_bytes()).await;
    }
    let mut answer = Vec::new();
    // On a timeout, what was read so far is the answer.
    let _ = timeout(Duration::from_secs(3), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}
