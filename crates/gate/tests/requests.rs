//! Requests through whole pipelines, and the responses to callers.

mod env;

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use env::{
    Env,
    fake_endpoint::{FakeEndpoint, Reply, Step, not_run, output},
};
use serde_json::json;

const SSE: (&str, &str) = ("accept", "text/event-stream");

fn text_stream() -> Reply {
    Reply::Stream(vec![
        Step::Chunk(0, "ice "),
        Step::Chunk(4, "ahead"),
        Step::Done,
    ])
}

#[tokio::test]
async fn a_pipeline_runs_stage_by_stage() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |call| {
        Reply::Json(output(
            &json!({"prompt": format!("about {}", call.body["input"])}),
        ))
    })
    .await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| text_stream()).await;
    gate.announce(&retriever).await;
    gate.announce(&llm).await;
    let answer = gate
        .post("ask", &[("jujube-request", "r-7")], json!("ice"))
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let body = answer.json();
    assert_eq!(body["request"], "r-7");
    assert_eq!(body["outcome"], "completed");
    assert_eq!(body["output"], "ice ahead");
    assert_eq!(body["stages"][0]["endpoint"], "look-1");
    assert_eq!(body["stages"][1]["tokens"], 2);
    assert_eq!(retriever.calls()[0].path, "/v1/stages/look");
    assert_eq!(
        retriever.calls()[0].body,
        json!({"input": "ice", "previous": null})
    );
    assert_eq!(llm.calls()[0].body["prompt"], "about \"ice\"");
    assert_eq!(llm.calls()[0].body["stream"], true);
    assert_eq!(llm.cancellations(), 0);
    let useful = gate.metric("jujube_tokens_total", "useful").await;
    let wasted = gate.metric("jujube_tokens_total", "wasted").await;
    assert_eq!((useful as u64, wasted as u64), (2, 0));
}

#[tokio::test]
async fn the_last_stage_streams_and_ends_in_done() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| text_stream()).await;
    gate.announce(&llm).await;
    let answer = gate.post("chat", &[SSE], json!("hello")).await;
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    let events = answer.events();
    assert_eq!(
        events[0],
        ("token".to_owned(), json!({"offset": 0, "text": "ice "}))
    );
    assert_eq!(
        events[1],
        ("token".to_owned(), json!({"offset": 4, "text": "ahead"}))
    );
    assert_eq!(events[2].0, "done");
    assert_eq!(events[2].1["output"], "ice ahead");
    assert_eq!(events.len(), 3);
}

/// The endpoint that gets the first call fails it and all later ones, since the choice between equal
/// endpoints is random.
#[tokio::test]
async fn a_failed_stage_is_retried_elsewhere_without_rerunning_earlier_stages() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    let failing: Arc<OnceLock<&str>> = Arc::default();
    let engine = |name| {
        let failing = Arc::clone(&failing);
        FakeEndpoint::start(name, "llm", move |_| {
            match *failing.get_or_init(|| name) == name {
                true => Reply::Status(500, Vec::new(), "broken".to_owned()),
                false => text_stream(),
            }
        })
    };
    let engines = [engine("llm-1").await, engine("llm-2").await];
    for endpoint in engines.iter().chain([&retriever]) {
        gate.announce(endpoint).await;
    }
    for _ in 0..8 {
        let answer = gate.post("ask", &[], json!("x")).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let (bad, good): (Vec<_>, Vec<_>) = engines
        .iter()
        .partition(|engine| failing.get() == Some(&&*engine.name));
    assert!(!bad[0].calls().is_empty());
    assert_eq!(retriever.calls().len(), 8);
    assert_eq!(good[0].calls().len(), 8);
}

/// The endpoint's announcements still say that it is ready, so only its responses make the gate
/// use the other one.
#[tokio::test]
async fn an_endpoint_that_leaves_or_pauses_gets_no_more_calls() {
    let refusals = [
        Reply::Status(
            503,
            vec![
                ("jujube-outcome", "not_run".to_owned()),
                ("retry-after", "20.5".to_owned()),
            ],
            String::new(),
        ),
        Reply::Status(
            503,
            vec![
                ("jujube-outcome", "not_run".to_owned()),
                ("jujube-leaving", "1".to_owned()),
            ],
            String::new(),
        ),
    ];
    for refusal in refusals {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let reply = refusal.clone();
        let first = FakeEndpoint::start("llm-1", "llm", move |_| reply.clone()).await;
        gate.announce(&first).await;
        for _ in 0..3 {
            let answer = gate.post("chat", &[], json!("hello")).await;
            assert_eq!(answer.status, 503, "{}", answer.text());
            assert_eq!(answer.json()["outcome"], "not_run");
        }
        assert_eq!(first.calls().len(), 1, "{refusal:?}");
        let second = FakeEndpoint::start("llm-2", "llm", |_| text_stream()).await;
        gate.announce(&second).await;
        for _ in 0..4 {
            let answer = gate.post("chat", &[], json!("hello")).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        assert_eq!(first.calls().len(), 1, "{refusal:?}");
    }
}

#[tokio::test]
async fn without_an_endpoint_the_outcome_is_not_run() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let answer = gate.post("find", &[], json!(1)).await;
    assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
    assert!(answer.headers.contains_key("retry-after"));
    let refused = FakeEndpoint::unreachable("look-1", "look").await;
    gate.announce(&refused).await;
    let answer = gate.post("find", &[], json!(1)).await;
    assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
}

#[tokio::test]
async fn an_explicit_refusal_is_not_run_and_an_error_is_failed() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |call| match call.body["input"].as_str() {
            Some("refuse") => not_run(),
            Some("wrong") => Reply::Status(422, Vec::new(), "no such ship".to_owned()),
            _ => Reply::CloseConnection,
        })
        .await;
    gate.announce(&retriever).await;
    let answer = gate.post("find", &[], json!("refuse")).await;
    assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
    let answer = gate.post("find", &[], json!("wrong")).await;
    assert_eq!((answer.status, &*answer.outcome()), (502, "failed"));
    assert!(
        answer.json()["detail"]
            .as_str()
            .unwrap()
            .contains("no such ship")
    );
    assert_eq!(answer.json()["peer"], "look-1");
    let answer = gate.post("find", &[], json!("hang up")).await;
    assert_eq!((answer.status, &*answer.outcome()), (502, "failed"));
}

#[tokio::test]
async fn an_answer_to_another_call_is_dropped() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |call| match call.nth {
        0 => Reply::WrongCallId(output(&json!("someone else's"))),
        _ => Reply::Json(output(&json!("mine"))),
    })
    .await;
    gate.announce(&retriever).await;
    let answer = gate.post("find", &[], json!(1)).await;
    assert_eq!(answer.json()["output"], "mine");
    assert!(gate.metric("jujube_calls_total", "crossed").await >= 1.0);
}

#[tokio::test]
async fn a_request_that_ran_and_hit_its_deadline_is_failed() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| Reply::Silent).await;
    gate.announce(&retriever).await;
    let answer = gate
        .post("find", &[("jujube-deadline-ms", "300")], json!(1))
        .await;
    assert_eq!((answer.status, &*answer.outcome()), (504, "failed"));
}

#[tokio::test]
async fn a_silent_connection_is_replaced_by_one_to_the_same_endpoint() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\nfirst_byte_ms = 200\n").await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |call| match (call.connection, call.nth) {
            (0, 0) => Reply::Json(output(&json!("first"))),
            (0, _) => Reply::Silent,
            _ => Reply::Json(output(&json!("second"))),
        })
        .await;
    gate.announce(&retriever).await;
    let first = gate.post("find", &[], json!(1)).await;
    assert_eq!(first.json()["output"], "first");
    let second = gate.post("find", &[], json!(1)).await;
    assert_eq!(second.json()["output"], "second", "{}", second.text());
    let connections: Vec<_> = retriever.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 0, 1]);
}

#[tokio::test]
async fn a_caller_that_hangs_up_cancels_its_generation() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let llm = FakeEndpoint::start("llm-1", "llm", |_| {
        Reply::Stream(vec![Step::Chunk(0, "a"), Step::Stall])
    })
    .await;
    gate.announce(&llm).await;
    let request = gate.try_post("chat", &[("jujube-deadline-ms", "15000")], json!("x"));
    let result = tokio::time::timeout(Duration::from_millis(300), request).await;
    assert!(result.is_err());
    let start = tokio::time::Instant::now();
    while llm.cancellations() == 0 {
        assert!(start.elapsed() < env::TEST_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let wasted = gate.metric("jujube_tokens_total", "wasted").await;
    assert!((wasted - 1.0).abs() < f64::EPSILON, "{wasted}");
}

#[tokio::test]
async fn a_new_gate_learns_endpoints_from_its_neighbours() {
    let env = Env::start().await;
    let old = env.gate("old").await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    old.announce(&retriever).await;
    let new = env
        .gate_with("new", &format!("[gates]\nold = {}\n", old.link))
        .await;
    let answer = new.post("find", &[], json!(1)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[tokio::test]
async fn a_leaving_endpoint_finishes_its_calls_and_gets_no_new_ones() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| {
        Reply::Delayed(Duration::from_millis(300), output(&json!("found")))
    })
    .await;
    gate.announce(&retriever).await;
    let (first, second) = tokio::join!(gate.post("find", &[], json!(1)), async {
        retriever.wait_for_calls(1).await;
        let mut leaving = retriever.announcement();
        leaving["state"] = json!("leaving");
        let announced = env::client::post(gate.http, "/v1/announce", &[], &leaving).await;
        assert_eq!(announced.unwrap().status, 200);
        gate.post("find", &[], json!(1)).await
    });
    assert_eq!(first.json()["output"], "found", "{}", first.text());
    assert_eq!(
        (second.status, &*second.outcome()),
        (503, "not_run"),
        "{}",
        second.text()
    );
    assert_eq!(retriever.calls().len(), 1);
}

#[tokio::test]
async fn a_silent_call_is_not_made_again_at_an_endpoint_that_began_to_leave() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| Reply::Silent).await;
    gate.announce(&retriever).await;
    let leave = async {
        retriever.wait_for_calls(1).await;
        let mut leaving = retriever.announcement();
        leaving["state"] = json!("leaving");
        let announced = env::client::post(gate.http, "/v1/announce", &[], &leaving).await;
        assert_eq!(announced.unwrap().status, 200);
    };
    let headers = [("jujube-deadline-ms", "5000")];
    let (answer, ()) = tokio::join!(gate.post("find", &headers, json!(1)), leave);
    assert_eq!(answer.outcome(), "failed", "{}", answer.text());
    assert_eq!(retriever.calls().len(), 1);
}
