//! Pipelines through all their stages, and what callers get.

mod env;

use std::time::Duration;

use env::{
    Env,
    stand_in::{Reply, StandIn, Step, not_run, output},
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
    let look = StandIn::start("look-1", "look", |call| {
        Reply::Json(output(
            &json!({"prompt": format!("about {}", call.body["input"])}),
        ))
    })
    .await;
    let llm = StandIn::start("llm-1", "llm", |_| text_stream()).await;
    gate.knows(&look).await;
    gate.knows(&llm).await;
    let answer = gate
        .ask("ask", &[("jujube-request", "r-7")], json!("ice"))
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let body = answer.json();
    assert_eq!(body["request"], "r-7");
    assert_eq!(body["outcome"], "completed");
    assert_eq!(body["output"], "ice ahead");
    assert_eq!(body["stages"][0]["endpoint"], "look-1");
    assert_eq!(body["stages"][1]["tokens"], 2);
    assert_eq!(look.calls()[0].path, "/v1/stages/look");
    assert_eq!(
        look.calls()[0].body,
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
    let llm = StandIn::start("llm-1", "llm", |_| text_stream()).await;
    gate.knows(&llm).await;
    let answer = gate.ask("chat", &[SSE], json!("hello")).await;
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

#[tokio::test]
async fn a_failed_stage_is_tried_elsewhere_and_earlier_stages_are_not_run_again() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    let bad = StandIn::start("llm-bad", "llm", |_| {
        Reply::Status(500, Vec::new(), "broken".to_owned())
    })
    .await;
    let good = StandIn::start("llm-good", "llm", |_| text_stream()).await;
    for endpoint in [&look, &bad, &good] {
        gate.knows(endpoint).await;
    }
    for _ in 0..8 {
        let answer = gate.ask("ask", &[], json!("x")).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(!bad.calls().is_empty());
    assert_eq!(look.calls().len(), 8);
    assert_eq!(good.calls().len(), 8);
}

/// Its announcements still say that it is ready; the other endpoint does the work.
#[tokio::test]
async fn an_endpoint_that_says_it_leaves_or_wants_a_pause_gets_no_more_calls() {
    let answers = [
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
    for told in answers {
        let env = Env::start().await;
        let gate = env.gate("g").await;
        let reply = told.clone();
        let first = StandIn::start("llm-1", "llm", move |_| reply.clone()).await;
        gate.knows(&first).await;
        for _ in 0..3 {
            let answer = gate.ask("chat", &[], json!("hello")).await;
            assert_eq!(answer.status, 503, "{}", answer.text());
            assert_eq!(answer.json()["outcome"], "not_run");
        }
        assert_eq!(first.calls().len(), 1, "{told:?}");
        let second = StandIn::start("llm-2", "llm", |_| text_stream()).await;
        gate.knows(&second).await;
        for _ in 0..4 {
            let answer = gate.ask("chat", &[], json!("hello")).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        assert_eq!(first.calls().len(), 1, "{told:?}");
    }
}

#[tokio::test]
async fn without_an_endpoint_the_outcome_is_not_run() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let answer = gate.ask("find", &[], json!(1)).await;
    assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
    assert!(answer.headers.contains_key("retry-after"));
    let refused = StandIn::refused("look-1", "look").await;
    gate.knows(&refused).await;
    let answer = gate.ask("find", &[], json!(1)).await;
    assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
}

#[tokio::test]
async fn an_explicit_refusal_is_not_run_and_an_error_is_failed() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |call| match call.body["input"].as_str() {
        Some("refuse") => not_run(),
        Some("wrong") => Reply::Status(422, Vec::new(), "no such ship".to_owned()),
        _ => Reply::Hangup,
    })
    .await;
    gate.knows(&look).await;
    let answer = gate.ask("find", &[], json!("refuse")).await;
    assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
    let answer = gate.ask("find", &[], json!("wrong")).await;
    assert_eq!((answer.status, &*answer.outcome()), (502, "failed"));
    assert!(
        answer.json()["detail"]
            .as_str()
            .unwrap()
            .contains("no such ship")
    );
    assert_eq!(answer.json()["peer"], "look-1");
    let answer = gate.ask("find", &[], json!("hang up")).await;
    assert_eq!((answer.status, &*answer.outcome()), (502, "failed"));
}

#[tokio::test]
async fn an_answer_to_another_call_is_dropped() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |call| match call.nth {
        0 => Reply::Crossed(output(&json!("someone else's"))),
        _ => Reply::Json(output(&json!("mine"))),
    })
    .await;
    gate.knows(&look).await;
    let answer = gate.ask("find", &[], json!(1)).await;
    assert_eq!(answer.json()["output"], "mine");
    assert!(gate.metric("jujube_calls_total", "crossed").await >= 1.0);
}

#[tokio::test]
async fn the_deadline_ends_a_request_with_its_true_outcome() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |_| Reply::Silent).await;
    gate.knows(&look).await;
    let answer = gate
        .ask("find", &[("jujube-deadline-ms", "300")], json!(1))
        .await;
    assert_eq!((answer.status, &*answer.outcome()), (504, "failed"));
}

#[tokio::test]
async fn a_connection_that_went_silent_is_replaced_and_its_endpoint_not_blamed() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\nfirst_byte_ms = 200\n").await;
    let look = StandIn::start("look-1", "look", |call| match (call.connection, call.nth) {
        (0, 0) => Reply::Json(output(&json!("first"))),
        (0, _) => Reply::Silent,
        _ => Reply::Json(output(&json!("second"))),
    })
    .await;
    gate.knows(&look).await;
    let first = gate.ask("find", &[], json!(1)).await;
    assert_eq!(first.json()["output"], "first");
    let second = gate.ask("find", &[], json!(1)).await;
    assert_eq!(second.json()["output"], "second", "{}", second.text());
    let connections: Vec<_> = look.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 0, 1]);
}

#[tokio::test]
async fn a_caller_that_hangs_up_cancels_its_generation() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let llm = StandIn::start("llm-1", "llm", |_| {
        Reply::Stream(vec![Step::Chunk(0, "a"), Step::Stall])
    })
    .await;
    gate.knows(&llm).await;
    let asking = gate.try_ask("chat", &[("jujube-deadline-ms", "15000")], json!("x"));
    let hung_up = tokio::time::timeout(Duration::from_millis(300), asking).await;
    assert!(hung_up.is_err());
    let start = tokio::time::Instant::now();
    while llm.cancellations() == 0 {
        assert!(start.elapsed() < env::PATIENCE);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let wasted = gate.metric("jujube_tokens_total", "wasted").await;
    assert!((wasted - 1.0).abs() < f64::EPSILON, "{wasted}");
}

#[tokio::test]
async fn a_gate_that_starts_knows_its_neighbours_endpoints() {
    let env = Env::start().await;
    let old = env.gate("old").await;
    let look = StandIn::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    old.knows(&look).await;
    let new = env
        .gate_with("new", &format!("[gates]\nold = {}\n", old.link))
        .await;
    let answer = new.ask("find", &[], json!(1)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work_and_ends_what_it_has() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |_| {
        Reply::Later(Duration::from_millis(300), output(&json!("found")))
    })
    .await;
    gate.knows(&look).await;
    let (first, second) = tokio::join!(gate.ask("find", &[], json!(1)), async {
        look.until_called(1).await;
        let mut leaving = look.announcement();
        leaving["state"] = json!("leaving");
        let told = env::client::post(gate.http, "/v1/announce", &[], &leaving).await;
        assert_eq!(told.unwrap().status, 200);
        gate.ask("find", &[], json!(1)).await
    });
    assert_eq!(first.json()["output"], "found", "{}", first.text());
    assert_eq!(
        (second.status, &*second.outcome()),
        (503, "not_run"),
        "{}",
        second.text()
    );
    assert_eq!(look.calls().len(), 1);
}

#[tokio::test]
async fn a_silent_call_is_not_made_again_at_an_endpoint_that_began_to_leave() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |_| Reply::Silent).await;
    gate.knows(&look).await;
    let leave = async {
        look.until_called(1).await;
        let mut leaving = look.announcement();
        leaving["state"] = json!("leaving");
        let told = env::client::post(gate.http, "/v1/announce", &[], &leaving).await;
        assert_eq!(told.unwrap().status, 200);
    };
    let headers = [("jujube-deadline-ms", "5000")];
    let (answer, ()) = tokio::join!(gate.ask("find", &headers, json!(1)), leave);
    assert_eq!(answer.outcome(), "failed", "{}", answer.text());
    assert_eq!(look.calls().len(), 1);
}
