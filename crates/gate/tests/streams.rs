//! Streams that are cut, gapped, repeated or contradict themselves.

mod env;

use std::time::Duration;

use env::{
    Env,
    client::Answer,
    stand_in::{Reply, Seen, StandIn, Step},
};
use serde_json::json;

const SSE: (&str, &str) = ("accept", "text/event-stream");

/// The text of all token events, whose offsets must be without a gap or a repetition.
fn whole_text(answer: &Answer) -> String {
    let mut text = String::new();
    for (name, data) in answer.events() {
        if name == "token" {
            assert_eq!(data["offset"], text.len());
            text.push_str(data["text"].as_str().unwrap());
        }
    }
    text
}

async fn ask_stream(first: fn(&Seen) -> Reply) -> (Answer, StandIn) {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\ngap_ms = 200\n").await;
    let llm = StandIn::start("llm-1", "llm", first).await;
    gate.knows(&llm).await;
    let answer = gate
        .ask(
            "chat",
            &[SSE, ("jujube-deadline-ms", "8000")],
            json!("hello"),
        )
        .await;
    (answer, llm)
}

fn assert_whole(answer: &Answer) {
    assert_eq!(whole_text(answer), "abcdef", "{}", answer.text());
    let last = answer.events().pop().unwrap();
    assert_eq!((&*last.0, &last.1["output"]), ("done", &json!("abcdef")));
}

#[tokio::test]
async fn a_cut_stream_goes_on_at_its_offset_over_a_new_connection() {
    let (answer, llm) = ask_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(50)),
            Step::Cut,
        ]),
        _ => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    })
    .await;
    assert_whole(&answer);
    let calls = llm.calls();
    assert_eq!(
        calls[1].body["resume"],
        json!({"call": calls[0].call, "offset": 3})
    );
    assert_ne!(calls[0].connection, calls[1].connection);
    assert_ne!(calls[0].call, calls[1].call);
}

#[tokio::test]
async fn a_stream_that_falls_silent_goes_on() {
    let (answer, llm) = ask_stream(|call| match call.nth {
        0 => Reply::Stream(vec![Step::Chunk(0, "abc"), Step::Stall]),
        _ => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    })
    .await;
    assert_whole(&answer);
    assert_eq!(llm.calls().len(), 2);
}

#[tokio::test]
async fn repeats_are_dropped_and_gaps_are_asked_for() {
    let (answer, _) = ask_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "ab"),
            Step::Chunk(0, "ab"),
            Step::Chunk(1, "bc"),
            Step::Chunk(4, "ef"),
            Step::Done,
        ]),
        _ => Reply::Stream(vec![Step::Chunk(0, "abcdef"), Step::Done]),
    })
    .await;
    assert_whole(&answer);
}

#[tokio::test]
async fn a_stream_that_ends_without_done_is_a_fault() {
    let (answer, llm) = ask_stream(|call| match call.nth {
        0 => Reply::Stream(vec![Step::Chunk(0, "abc")]),
        _ => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    })
    .await;
    assert_whole(&answer);
    assert_eq!(llm.calls().len(), 2);
}

#[tokio::test]
async fn text_that_was_passed_on_is_never_contradicted() {
    let (answer, _) = ask_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(50)),
            Step::Cut,
        ]),
        _ => Reply::Stream(vec![Step::Chunk(0, "xyzdef"), Step::Done]),
    })
    .await;
    assert_eq!(whole_text(&answer), "abc");
    let last = answer.events().pop().unwrap();
    assert_eq!((&*last.0, &last.1["outcome"]), ("error", &json!("failed")));
}

#[tokio::test]
async fn a_cut_stream_goes_on_at_another_endpoint_when_its_own_is_gone() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\ngap_ms = 200\n").await;
    let behaviour = |call: &Seen| match call.body["resume"]["offset"].as_u64() {
        None => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(30)),
            Step::Cut,
        ]),
        Some(_) if call.connection == 1 => Reply::Hangup,
        Some(_) => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    };
    let one = StandIn::start("llm-1", "llm", behaviour).await;
    let two = StandIn::start("llm-2", "llm", behaviour).await;
    gate.knows(&one).await;
    gate.knows(&two).await;
    let answer = gate
        .ask("chat", &[SSE, ("jujube-deadline-ms", "8000")], json!("x"))
        .await;
    assert_whole(&answer);
    assert_eq!(one.calls().len().min(two.calls().len()), 1);
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_in_error() {
    let (answer, _) = ask_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(50)),
            Step::Cut,
        ]),
        _ => Reply::Status(404, Vec::new(), "no such call".to_owned()),
    })
    .await;
    assert_eq!(whole_text(&answer), "abc");
    let last = answer.events().pop().unwrap();
    assert_eq!((&*last.0, &last.1["outcome"]), ("error", &json!("failed")));
}

/// Chunks of the streams that make a pace usual.
const USUAL_CHUNKS: usize = 400;

/// Streams `x` a chunk; slowly where the prompt says so and the stream is not resumed.
fn paced(call: &Seen) -> Reply {
    let is_resumed = call.body["resume"]["offset"].is_u64();
    let is_slow = call.body["prompt"] == "slow" && !is_resumed;
    let from = call.body["resume"]["offset"].as_u64().unwrap_or(0) as usize;
    let (until, pause) = match is_slow {
        true => (6, Duration::from_secs(1)),
        false if is_resumed => (6, Duration::from_millis(1)),
        false => (USUAL_CHUNKS, Duration::from_millis(1)),
    };
    let chunk = |at| [Step::Chunk(at, "x"), Step::Pause(pause)];
    let steps = (from..until).flat_map(chunk);
    Reply::Stream(steps.chain([Step::Done]).collect())
}

/// The calls of a stream that lags after others had the usual pace, and its answer.
async fn ask_lagging(pipeline: &str, service: &str) -> (Answer, Vec<Seen>) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let one = StandIn::start("llm-1", service, paced).await;
    let two = StandIn::start("llm-2", service, paced).await;
    gate.knows(&one).await;
    gate.knows(&two).await;
    let key = || uuid::Uuid::now_v7().to_string();
    for _ in 0..2 {
        let key = key();
        let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "20000")];
        let usual = gate.ask(pipeline, &headers, json!("usual")).await;
        assert_eq!(usual.status, 200, "{}", usual.text());
        gate.knows(&one).await;
        gate.knows(&two).await;
    }
    // Quantiles are looked at four times a second.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let key = key();
    let headers = [
        SSE,
        ("idempotency-key", &*key),
        ("jujube-deadline-ms", "9000"),
    ];
    let answer = gate.ask(pipeline, &headers, json!("slow")).await;
    let calls = one.calls().into_iter().chain(two.calls());
    let calls = calls.filter(|call| call.body["prompt"] == "slow").collect();
    (answer, calls)
}

#[tokio::test]
async fn a_stream_that_lags_goes_on_at_another_endpoint() {
    let (answer, calls) = ask_lagging("chat", "llm").await;
    assert_eq!(whole_text(&answer), "xxxxxx");
    assert_eq!(answer.events().pop().unwrap().0, "done");
    let offsets = calls
        .iter()
        .map(|call| call.body["resume"]["offset"].as_u64());
    let offsets: Vec<_> = offsets.collect();
    assert_eq!(offsets.len(), 2, "{offsets:?}");
    assert!(
        offsets.iter().any(|o| o.is_some_and(|o| o > 0)),
        "{offsets:?}"
    );
}

#[tokio::test]
async fn a_stream_that_may_not_be_repeated_stays_however_slow_it_is() {
    let (answer, calls) = ask_lagging("drafting", "draft").await;
    assert_eq!(
        answer.events().pop().unwrap().0,
        "done",
        "{}",
        answer.text()
    );
    assert_eq!(calls.len(), 1);
}
