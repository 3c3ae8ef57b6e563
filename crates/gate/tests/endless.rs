//! Endpoints whose responses never end: the caller is told so in time, the connection is closed and
//! memory stays bounded.

mod env;

use std::net::SocketAddr;

use env::{Env, TEST_TIMEOUT, client::Answer, fake_endpoint::FakeEndpoint};
use futures_util::future::join_all;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};
use uuid::Uuid;

/// Memory of the VM of a gate.
const MAX_GATE_BYTES: u64 = 160 << 20;
/// Bytes sent with each write.
const REPEATED_BYTES: usize = 16 << 10;

/// A response that starts with `head` and goes on with copies of `repeated`.
#[derive(Clone, Copy, Debug)]
struct EndlessResponse {
    head: &'static str,
    repeated: &'static str,
}

const fn endless(head: &'static str, repeated: &'static str) -> EndlessResponse {
    EndlessResponse { head, repeated }
}

const IN_HEAD: EndlessResponse = endless("X-Long: ", "a");
const HEADER_LINES: EndlessResponse = endless("", "X-More: 1\r\n");
const IN_CHUNK_SIZE: EndlessResponse = endless("Transfer-Encoding: chunked\r\n\r\n", "0");
const IN_CHUNK_EXTENSION: EndlessResponse = endless("Transfer-Encoding: chunked\r\n\r\n1;x=", "a");
const IN_TRAILER: EndlessResponse = endless("Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "a");
const TRAILER_LINES: EndlessResponse =
    endless("Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n");
const BODY_WITHOUT_LENGTH: EndlessResponse = endless("\r\n", "x");
const BETWEEN_EVENTS: EndlessResponse =
    endless("Content-Type: text/event-stream\r\n\r\n", ": comment\n\n");
const EMPTY_LINES: EndlessResponse = endless("Content-Type: text/event-stream\r\n\r\n", "\n");

/// Accepts connections and answers the first request on each with `response`, until the peer
/// closes.
async fn serve(listener: TcpListener, response: EndlessResponse) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        connections.spawn(respond(stream, response));
    }
}

async fn respond(mut stream: TcpStream, response: EndlessResponse) {
    let mut head = Vec::new();
    let call = loop {
        let mut buf = [0; 4096];
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(n) => head.extend_from_slice(&buf[..n]),
        }
        if let Some(call) = call_id(&head) {
            break call;
        }
    };
    let start = format!(
        "HTTP/1.1 200 OK\r\nJujube-Call: {call}\r\n{}",
        response.head
    );
    let repeated = response
        .repeated
        .repeat(REPEATED_BYTES / response.repeated.len());
    let mut written = stream.write_all(start.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(repeated.as_bytes()).await;
    }
}

/// Returns the call's id once the whole head was read.
fn call_id(bytes: &[u8]) -> Option<Uuid> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let headers = head.lines().filter_map(|line| line.split_once(": "));
    let mut ids = headers.filter(|(name, _)| name.eq_ignore_ascii_case("jujube-call"));
    ids.next()?.1.parse().ok()
}

async fn start_endpoint(response: EndlessResponse) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(listener, response));
    (address, tasks)
}

/// Deadline of all requests; too late to end a response within [`TEST_TIMEOUT`].
const DEADLINE_MS: &str = "60000";

/// A request to a gate whose only endpoint gives an endless response.
struct Case<'a> {
    pipeline: &'a str,
    service: &'a str,
    response: EndlessResponse,
    settings: &'a str,
}

impl Case<'_> {
    /// Sends the request and checks that it ends, within bounded memory, and that the gate closes
    /// the connection.
    async fn send(&self) -> Answer {
        let response = self.response;
        let env = Env::start().await;
        let gate = env.gate_with("g", self.settings).await;
        let endpoint = FakeEndpoint::unreachable("endless-1", self.service).await;
        let (address, _tasks) = start_endpoint(response).await;
        gate.announce_at(&endpoint, address).await;
        let key = Uuid::now_v7().to_string();
        let headers = [
            ("jujube-deadline-ms", DEADLINE_MS),
            ("idempotency-key", &*key),
        ];
        let answer = timeout(TEST_TIMEOUT, gate.post(self.pipeline, &headers, json!("x"))).await;
        let answer = answer.expect("the request ends");
        let status = answer.status;
        let is_expected = matches!(status, 502 | 504);
        assert!(is_expected, "{response:?}: {status} {}", answer.text());
        let peak = gate.peak_memory();
        assert!(peak < MAX_GATE_BYTES, "{response:?}: {peak} bytes");
        gate.wait_until_disconnected(address).await;
        answer
    }
}

async fn assert_ends(pipeline: &str, service: &str, response: EndlessResponse, outcome: &str) {
    let case = Case {
        pipeline,
        service,
        response,
        settings: "",
    };
    let answer = case.send().await;
    assert_eq!(answer.outcome(), outcome, "{response:?}: {}", answer.text());
}

async fn detail_with_settings(settings: &str) -> String {
    let case = Case {
        pipeline: "find",
        service: "look",
        response: BODY_WITHOUT_LENGTH,
        settings,
    };
    let answer = case.send().await;
    assert_eq!(answer.outcome(), "failed", "{}", answer.text());
    answer.json()["detail"].as_str().unwrap().to_owned()
}

#[tokio::test]
async fn memory_for_a_body_is_bounded() {
    let detail = detail_with_settings("").await;
    assert!(detail.contains("larger than"), "{detail}");
    let detail = detail_with_settings("[limits]\nbuffered_bytes = 65536\n").await;
    assert!(detail.contains("no memory"), "{detail}");
}

#[tokio::test]
async fn endless_heads_end_the_call() {
    let responses = [IN_HEAD, HEADER_LINES];
    join_all(responses.map(|response| assert_ends("find", "look", response, "failed"))).await;
    join_all(responses.map(|response| assert_ends("booking", "book", response, "unknown"))).await;
}

#[tokio::test]
async fn endless_bodies_end_the_call() {
    let responses = [
        IN_CHUNK_SIZE,
        IN_CHUNK_EXTENSION,
        IN_TRAILER,
        TRAILER_LINES,
        BODY_WITHOUT_LENGTH,
    ];
    join_all(responses.map(|response| assert_ends("find", "look", response, "failed"))).await;
    join_all(responses.map(|response| assert_ends("booking", "book", response, "unknown"))).await;
}

#[tokio::test]
async fn endless_streams_end_the_call() {
    let responses = [
        IN_CHUNK_SIZE,
        IN_CHUNK_EXTENSION,
        IN_TRAILER,
        BODY_WITHOUT_LENGTH,
        BETWEEN_EVENTS,
        EMPTY_LINES,
    ];
    join_all(responses.map(|response| assert_ends("chat", "llm", response, "failed"))).await;
}
