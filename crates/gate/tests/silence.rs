//! Endpoints that fall silent in the middle of an answer and then go on.

mod env;

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use env::{
    Env, Gate,
    client::Answer,
    fake_endpoint::{FakeEndpoint, ReceivedCall, Reply, Step, not_run},
};
use futures_util::future::join_all;
use serde_json::json;

/// Silence within an answer, longer than the `gap_ms` of the gates.
const SILENCE: Duration = Duration::from_millis(1_500);
const DEADLINE: (&str, &str) = ("jujube-deadline-ms", "10000");
const TARGETS: [(&str, &str); 2] = [("find", "look"), ("chat", "llm")];

async fn start_gate(env: &Env) -> Gate {
    env.gate_with("g", "[timing]\ngap_ms = 500\n").await
}

/// Answers `abcdef` with [`SILENCE`] in its middle.
fn with_silence(call: &ReceivedCall) -> Reply {
    let steps = match call.path.as_str() {
        "/v1/completions" => vec![
            Step::Chunk(0, "abc"),
            Step::Pause(SILENCE),
            Step::Chunk(3, "def"),
            Step::Done,
        ],
        _ => vec![
            Step::Text("{\"output\":\"abc"),
            Step::Pause(SILENCE),
            Step::Text("def\"}"),
        ],
    };
    Reply::Stream(steps)
}

/// Runs a request whose first call is answered by [`with_silence`], and all others with `other`.
async fn answer_with_silence(
    (pipeline, service): (&str, &str),
    other: Reply,
) -> (Answer, FakeEndpoint) {
    let env = Env::start().await;
    let gate = start_gate(&env).await;
    let endpoint = FakeEndpoint::start("one", service, move |call| match call.nth {
        0 => with_silence(call),
        _ => other.clone(),
    })
    .await;
    gate.announce(&endpoint).await;
    let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
    (answer, endpoint)
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.json()["output"], "abcdef");
}

/// Guards against ending a sound call for silence while the call that replaces it fails.
#[tokio::test]
async fn silent_call_goes_on_if_its_successor_fails() {
    let failures = [
        Reply::Status(500, Vec::new(), "broken".to_owned()),
        Reply::Status(404, Vec::new(), "no such call".to_owned()),
        Reply::CloseConnection,
        not_run(),
    ];
    let cases = failures
        .iter()
        .flat_map(|f| TARGETS.map(|target| (target, f.clone())));
    let requests = cases.map(|(target, failure)| answer_with_silence(target, failure));
    for (answer, _) in join_all(requests).await {
        assert_whole(&answer);
    }
}

/// Guards against ending a sound call for silence while the call that replaces it is silent too.
#[tokio::test]
async fn silent_call_goes_on_if_its_successor_is_silent() {
    for target in TARGETS {
        let (answer, _) = answer_with_silence(target, Reply::Silent).await;
        assert_whole(&answer);
    }
}

/// Guards against failing a call that pauses as often as it is made.
#[tokio::test]
async fn call_that_is_silent_on_each_attempt_is_completed() {
    for (pipeline, service) in TARGETS {
        let env = Env::start().await;
        let gate = start_gate(&env).await;
        let endpoint = FakeEndpoint::start("one", service, with_silence).await;
        gate.announce(&endpoint).await;
        let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
        assert_whole(&answer);
    }
}

/// Guards against ending a sound call for silence when the retry budget is spent.
#[tokio::test]
async fn silent_call_goes_on_if_the_retry_budget_is_spent() {
    const FAILING_REQUESTS: usize = 20;
    for (pipeline, service) in TARGETS {
        let env = Env::start().await;
        let gate = start_gate(&env).await;
        let endpoint = FakeEndpoint::start("one", service, |call| {
            let input = &call.body["input"];
            match input == "slow" || call.body["prompt"] == "slow" {
                true => with_silence(call),
                false => Reply::Status(429, Vec::new(), String::new()),
            }
        })
        .await;
        gate.announce(&endpoint).await;
        for _ in 0..FAILING_REQUESTS {
            let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
            assert_ne!(answer.status, 200);
        }
        let answer = gate.post(pipeline, &[DEADLINE], json!("slow")).await;
        assert_whole(&answer);
    }
}

/// Guards against ending a sound call for silence at an endpoint that leaves, and against calling that
/// endpoint again.
#[tokio::test]
async fn silent_call_goes_on_at_a_leaving_endpoint() {
    let env = Env::start().await;
    let gate = start_gate(&env).await;
    let endpoint = FakeEndpoint::start("one", "look", |call| match call.nth {
        0 => with_silence(call),
        _ => not_run(),
    })
    .await;
    gate.announce(&endpoint).await;
    let leave = async {
        endpoint.wait_for_calls(1).await;
        let mut leaving = endpoint.announcement();
        leaving["state"] = json!("leaving");
        let announced = env::client::post(gate.http, "/v1/announce", &[], &leaving).await;
        assert_eq!(announced.unwrap().status, 200);
    };
    let (answer, ()) = tokio::join!(gate.post("find", &[DEADLINE], json!("x")), leave);
    assert_whole(&answer);
    assert_eq!(endpoint.calls().len(), 1);
}

/// Guards against waiting until the deadline for a call that stays silent while a new one would be
/// answered.
#[tokio::test]
async fn call_that_stays_silent_is_replaced() {
    for (pipeline, service) in TARGETS {
        let env = Env::start().await;
        let gate = start_gate(&env).await;
        let endpoint = FakeEndpoint::start("one", service, |call| {
            let steps = match (call.nth, call.path.as_str()) {
                (0, "/v1/completions") => vec![Step::Chunk(0, "abc"), Step::Stall],
                (0, _) => vec![Step::Text("{\"output\":\"abc"), Step::Stall],
                (_, "/v1/completions") => vec![Step::Chunk(3, "def"), Step::Done],
                _ => vec![Step::Text("{\"output\":\"abcdef\"}")],
            };
            Reply::Stream(steps)
        })
        .await;
        gate.announce(&endpoint).await;
        let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
        assert_whole(&answer);
        let calls = endpoint.calls();
        assert_eq!(calls.len(), 2);
        assert_ne!(calls[0].connection, calls[1].connection);
    }
}

/// Guards against ending or repeating a booking that is silent in the middle of its answer.
#[tokio::test]
async fn silent_booking_runs_once_and_is_completed() {
    for (pipeline, service) in [("booking", "book"), ("drafting", "draft")] {
        let env = Env::start().await;
        let gate = start_gate(&env).await;
        let one = FakeEndpoint::start("one", service, with_silence).await;
        let two = FakeEndpoint::start("two", service, with_silence).await;
        gate.announce(&one).await;
        gate.announce(&two).await;
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [("idempotency-key", &*key), DEADLINE];
        let answer = gate.post(pipeline, &headers, json!("x")).await;
        assert_whole(&answer);
        assert_eq!(one.calls().len() + two.calls().len(), 1);
    }
}

/// Guards against losing the whole text of a stream whose connection is silent after its end.
#[tokio::test]
async fn text_is_complete_though_its_connection_does_not_end() {
    for (pipeline, service) in [("chat", "llm"), ("drafting", "draft")] {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let endpoint = FakeEndpoint::start("one", service, |_| {
            Reply::Stream(vec![Step::Chunk(0, "abcdef"), Step::Done, Step::Stall])
        })
        .await;
        gate.announce(&endpoint).await;
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "1000")];
        let answer = gate.post(pipeline, &headers, json!("x")).await;
        assert_whole(&answer);
        assert_eq!(endpoint.calls().len(), 1);
    }
}

/// Guards against losing what the head of a failure says of a booking while its body is silent.
#[tokio::test]
async fn booking_is_settled_by_a_failure_whose_body_does_not_end() {
    let refusal = vec![("jujube-outcome", "not_run".to_owned())];
    let failures = [
        (Reply::EndlessStatus(503, refusal), (503, "not_run")),
        (Reply::EndlessStatus(409, Vec::new()), (502, "failed")),
    ];
    for (failure, expected) in failures {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let endpoint = FakeEndpoint::start("one", "book", move |_| failure.clone()).await;
        gate.announce(&endpoint).await;
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "5000")];
        let answer = gate.post("booking", &headers, json!("x")).await;
        assert_eq!(
            (answer.status, &*answer.outcome()),
            expected,
            "{}",
            answer.text()
        );
    }
}

/// Guards against ending a sound call for one that is answered with nothing.
#[tokio::test]
async fn silent_call_goes_on_if_its_successor_has_no_content() {
    for target in TARGETS {
        let (answer, _) = answer_with_silence(target, Reply::Stream(Vec::new())).await;
        assert_whole(&answer);
    }
}

/// Guards against waiting until the deadline for an engine that is silent on new connections too.
#[tokio::test]
async fn stream_of_a_frozen_engine_goes_on_elsewhere() {
    let env = Env::start().await;
    let gate = start_gate(&env).await;
    let handler = |call: &ReceivedCall| match (call.nth, call.body["resume"].is_null()) {
        (_, true) => Reply::Stream(vec![Step::Chunk(0, "abc"), Step::Stall]),
        (0, false) => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
        _ => Reply::Silent,
    };
    let one = FakeEndpoint::start("one", "llm", handler).await;
    let two = FakeEndpoint::start("two", "llm", handler).await;
    gate.announce(&one).await;
    gate.announce(&two).await;
    let answer = gate.post("chat", &[DEADLINE], json!("x")).await;
    assert_whole(&answer);
}

/// Guards against waiting until the deadline for a frozen endpoint of a service without statistics.
#[tokio::test]
async fn first_call_of_a_service_goes_elsewhere_if_its_endpoint_is_frozen() {
    for (pipeline, service) in TARGETS {
        let env = Env::start().await;
        let gate = start_gate(&env).await;
        let frozen: Arc<OnceLock<String>> = Arc::default();
        let start = |name: &'static str| {
            let frozen = Arc::clone(&frozen);
            FakeEndpoint::start(name, service, move |call| {
                match frozen.get_or_init(|| name.to_owned()) == name {
                    true => Reply::Silent,
                    false => with_silence(call),
                }
            })
        };
        let (one, two) = (start("one").await, start("two").await);
        gate.announce(&one).await;
        gate.announce(&two).await;
        let answer = gate.post(pipeline, &[DEADLINE], json!("x")).await;
        assert_whole(&answer);
    }
}

/// An explicit refusal that asks for a pause.
fn pause() -> Reply {
    let headers = vec![
        ("jujube-outcome", "not_run".to_owned()),
        ("retry-after", "1".to_owned()),
    ];
    Reply::Status(503, headers, String::new())
}

/// Guards against failing a call that its endpoint broke off while all endpoints are paused, though
/// they take calls again before the deadline.
#[tokio::test]
async fn broken_call_waits_for_paused_endpoints() {
    for (pipeline, service) in TARGETS {
        let env = Env::start().await;
        let gate = start_gate(&env).await;
        // Set by the call that is broken off.
        let is_broken = Arc::new(OnceLock::new());
        let respond = move |call: &ReceivedCall| {
            let is_resumed = !call.body["resume"].is_null();
            match (service, is_broken.set(()).is_ok(), call.nth) {
                ("llm", true, _) => Reply::Stream(vec![Step::Chunk(0, "abc"), Step::Disconnect]),
                (_, true, _) => Reply::CloseConnection,
                (_, false, 0 | 1) => pause(),
                ("llm", false, _) if is_resumed => {
                    Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done])
                }
                ("llm", false, _) => Reply::Stream(vec![Step::Chunk(0, "abcdef"), Step::Done]),
                (_, false, _) => Reply::Json(json!({"output": "abcdef"})),
            }
        };
        let endpoints = [
            FakeEndpoint::start("one", service, respond.clone()).await,
            FakeEndpoint::start("two", service, respond).await,
        ];
        for endpoint in &endpoints {
            gate.announce(endpoint).await;
        }
        assert_whole(&gate.post(pipeline, &[DEADLINE], json!("x")).await);
    }
}
