//! Endpoints that write refusals and failures of earlier calls once more, before or after their answers.

mod env;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use env::{Env, Gate, client::Answer, fake_endpoint::FakeEndpoint};
use futures_util::{StreamExt, stream};
use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    task::JoinSet,
};
use uuid::Uuid;

const SEED: u64 = 20_261_205;
const REQUESTS: usize = 18;
const CONCURRENCY: usize = 3;
const ENDPOINTS_PER_SERVICE: usize = 2;
const TARGETS: [(&str, &str); 3] = [("find", "look"), ("chat", "llm"), ("booking", "book")];

/// Text of the failure of another call.
const FOREIGN: &str = "another call failed";

/// Copy of an earlier answer.
#[derive(Clone, Copy, Debug)]
enum Copied {
    /// A refusal without an id. Written only on a connection that has carried an earlier call.
    Refusal,
    /// A failure without an id. Written only on a connection that has carried an earlier call.
    Failure,
    /// The refusal of the call that the connection refused last, or of an unknown call.
    LastRefusal,
}

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
struct Step {
    copies_before: Vec<Copied>,
    is_refused: bool,
    copies_after: Vec<Copied>,
}

fn step() -> impl Strategy<Value = Step> {
    let all = vec![Copied::Refusal, Copied::Failure, Copied::LastRefusal];
    let copies = || vec(select(all.clone()), 0..3);
    (copies(), any::<bool>(), copies()).prop_map(|(copies_before, is_refused, copies_after)| Step {
        copies_before,
        is_refused,
        copies_after,
    })
}

/// Inputs of the calls that endpoints have run.
type Ran = Arc<Mutex<Vec<String>>>;

/// A script that the connections of all endpoints follow together.
#[derive(Clone, Debug)]
struct Script {
    steps: Arc<Vec<Step>>,
    next: Arc<Mutex<usize>>,
    ran: Ran,
}

impl Script {
    fn next_step(&self) -> Step {
        let mut next = self.next.lock().unwrap();
        *next += 1;
        self.steps[(*next - 1) % self.steps.len()].clone()
    }
}

async fn serve(listener: TcpListener, script: Script) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        connections.spawn(serve_connection(stream, script.clone()));
    }
}

/// Answers calls until the peer closes the connection.
async fn serve_connection(mut stream: TcpStream, script: Script) {
    let mut buf = Vec::new();
    let mut is_kept = false;
    let mut last_refused = Uuid::new_v4().to_string();
    while let Some((head, body)) = read_request(&mut stream, &mut buf).await {
        let call = header(&head, "jujube-call").to_owned();
        let step = script.next_step();
        let mut out = String::new();
        let copies = |copies: &[Copied], is_kept: bool, last_refused: &str| {
            let texts = copies.iter().filter_map(|copied| match copied {
                Copied::Refusal => is_kept.then(|| refusal(None)),
                Copied::Failure => is_kept.then(failure),
                Copied::LastRefusal => Some(refusal(Some(last_refused))),
            });
            texts.collect::<String>()
        };
        out.push_str(&copies(&step.copies_before, is_kept, &last_refused));
        match step.is_refused || head.starts_with("DELETE") {
            true => {
                out.push_str(&refusal(Some(&call)));
                last_refused = call;
            }
            false => {
                let input = input(&body);
                script.ran.lock().unwrap().push(input.clone());
                out.push_str(&response(&head, &call, &input));
            }
        }
        is_kept = true;
        out.push_str(&copies(&step.copies_after, is_kept, &last_refused));
        if stream.write_all(out.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, Value)> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let length: usize = header(head, "content-length").parse().unwrap_or(0);
            if rest.len() >= length {
                let body = serde_json::from_str(&rest[..length]).unwrap_or_default();
                buf.drain(..head.len() + 4 + length);
                return Some((head.to_owned(), body));
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => buf.extend_from_slice(&part[..n]),
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let headers = head.lines().filter_map(|line| line.split_once(": "));
    let mut named = headers.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    named.next().map_or("", |(_, value)| value)
}

fn input(body: &Value) -> String {
    let input = body["input"].as_str().or(body["prompt"].as_str());
    input.unwrap_or_default().to_owned()
}

fn refusal(call: Option<&str>) -> String {
    let id = call.map_or_else(String::new, |call| format!("Jujube-Call: {call}\r\n"));
    format!("HTTP/1.1 503 Busy\r\n{id}Jujube-Outcome: not_run\r\nContent-Length: 0\r\n\r\n")
}

fn failure() -> String {
    let length = FOREIGN.len();
    format!("HTTP/1.1 500 Failed\r\nContent-Length: {length}\r\n\r\n{FOREIGN}")
}

fn response(head: &str, call: &str, input: &str) -> String {
    let body = match head.contains("/v1/completions") {
        true => {
            let chunk = json!({"offset": 0, "choices": [{"text": input}]});
            format!("data: {chunk}\n\ndata: [DONE]\n\n")
        }
        false => json!({ "output": input }).to_string(),
    };
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nJujube-Call: {call}\r\nContent-Length: {length}\r\n\r\n{body}")
}

async fn start_endpoint(gate: &Gate, name: &str, service: &str, script: &Script) -> JoinSet<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(listener, script.clone()));
    let endpoint = FakeEndpoint::unreachable(name, service).await;
    gate.announce_at(&endpoint, address).await;
    tasks
}

/// Sends requests of all kinds to endpoints that follow `steps`. Returns the inputs of the requests
/// with their answers, and the inputs that ran.
async fn run(steps: Vec<Step>) -> (Vec<(String, Answer)>, Vec<String>) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let script = Script {
        steps: Arc::new(steps),
        next: Arc::default(),
        ran: Arc::default(),
    };
    let mut endpoints = Vec::new();
    for (_, service) in TARGETS {
        for n in 0..ENDPOINTS_PER_SERVICE {
            let name = format!("{service}-{n}");
            endpoints.push(start_endpoint(&gate, &name, service, &script).await);
        }
    }
    let gate = &gate;
    let requests = (0..REQUESTS).map(|n| async move {
        let pipeline = TARGETS[n % TARGETS.len()].0;
        let input = format!("{pipeline} {n}");
        let key = Uuid::now_v7().to_string();
        let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "2000")];
        let answer = gate.post(pipeline, &headers, json!(input)).await;
        (input, answer)
    });
    let requests = stream::iter(requests).buffer_unordered(CONCURRENCY);
    let answers = requests.collect().await;
    let ran = script.ran.lock().unwrap().clone();
    (answers, ran)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against "not run" for requests that ran, bookings that run twice and answers to other
    /// requests, failures among them, whatever copies arrive.
    #[test]
    fn copies_of_refusals_and_failures_prove_nothing(steps in vec(step(), 1..12)) {
        let runtime = Runtime::new().expect("a runtime");
        let (answers, ran) = runtime.block_on(run(steps));
        for (input, answer) in answers {
            let runs = ran.iter().filter(|i| **i == input).count();
            let outcome = answer.outcome();
            prop_assert!(outcome != "not_run" || runs == 0, "{input} ran: {}", answer.text());
            prop_assert!(!input.starts_with("booking") || runs <= 1, "{input} ran {runs} times");
            prop_assert!(!answer.text().contains(FOREIGN), "{input}: {}", answer.text());
            if answer.status == 200 {
                prop_assert_eq!(&answer.json()["output"], &json!(input));
            }
        }
    }
}
