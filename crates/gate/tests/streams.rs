//! Streams that are interrupted, slow or silent, or have missing, repeated or contradicting chunks.

mod env;

use std::time::Duration;

use env::{
    Env,
    client::Answer,
    fake_endpoint::{FakeEndpoint, ReceivedCall, Reply, Step, not_run},
};
use serde_json::json;

const SSE: (&str, &str) = ("accept", "text/event-stream");

/// The text of all token events. Their offsets must have no gaps or repetitions.
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

async fn request_stream(first: fn(&ReceivedCall) -> Reply) -> (Answer, FakeEndpoint) {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\ngap_ms = 200\n").await;
    let llm = FakeEndpoint::start("llm-1", "llm", first).await;
    gate.announce(&llm).await;
    let answer = gate
        .post(
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
async fn an_interrupted_stream_resumes_at_its_offset_over_a_new_connection() {
    let (answer, llm) = request_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(50)),
            Step::Disconnect,
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
async fn a_silent_stream_is_resumed() {
    let (answer, llm) = request_stream(|call| match call.nth {
        0 => Reply::Stream(vec![Step::Chunk(0, "abc"), Step::Stall]),
        _ => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    })
    .await;
    assert_whole(&answer);
    assert_eq!(llm.calls().len(), 2);
}

#[tokio::test]
async fn repeated_chunks_are_dropped_and_gaps_requested_again() {
    let (answer, _) = request_stream(|call| match call.nth {
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
async fn a_stream_that_ends_without_done_is_resumed() {
    let (answer, llm) = request_stream(|call| match call.nth {
        0 => Reply::Stream(vec![Step::Chunk(0, "abc")]),
        _ => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    })
    .await;
    assert_whole(&answer);
    assert_eq!(llm.calls().len(), 2);
}

#[tokio::test]
async fn forwarded_text_is_never_contradicted() {
    let (answer, _) = request_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(50)),
            Step::Disconnect,
        ]),
        _ => Reply::Stream(vec![Step::Chunk(0, "xyzdef"), Step::Done]),
    })
    .await;
    assert_eq!(whole_text(&answer), "abc");
    let last = answer.events().pop().unwrap();
    assert_eq!((&*last.0, &last.1["outcome"]), ("error", &json!("failed")));
}

#[tokio::test]
async fn an_interrupted_stream_moves_when_its_endpoint_is_gone() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\ngap_ms = 200\n").await;
    let handler = |call: &ReceivedCall| match call.body["resume"]["offset"].as_u64() {
        None => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(30)),
            Step::Disconnect,
        ]),
        Some(_) if call.connection == 1 => Reply::CloseConnection,
        Some(_) => Reply::Stream(vec![Step::Chunk(3, "def"), Step::Done]),
    };
    let one = FakeEndpoint::start("llm-1", "llm", handler).await;
    let two = FakeEndpoint::start("llm-2", "llm", handler).await;
    gate.announce(&one).await;
    gate.announce(&two).await;
    let answer = gate
        .post("chat", &[SSE, ("jujube-deadline-ms", "8000")], json!("x"))
        .await;
    assert_whole(&answer);
    assert_eq!(one.calls().len().min(two.calls().len()), 1);
}

#[tokio::test]
async fn a_stream_that_cannot_resume_ends_with_an_error() {
    let (answer, _) = request_stream(|call| match call.nth {
        0 => Reply::Stream(vec![
            Step::Chunk(0, "abc"),
            Step::Pause(Duration::from_millis(50)),
            Step::Disconnect,
        ]),
        _ => Reply::Status(404, Vec::new(), "no such call".to_owned()),
    })
    .await;
    assert_eq!(whole_text(&answer), "abc");
    let last = answer.events().pop().unwrap();
    assert_eq!((&*last.0, &last.1["outcome"]), ("error", &json!("failed")));
}

/// Chunks per stream at the typical pace.
const TYPICAL_CHUNKS: usize = 400;

/// Streams one `x` per chunk; slowly if the prompt is `slow` and the stream is not resumed.
fn paced_reply(call: &ReceivedCall) -> Reply {
    let is_resumed = call.body["resume"]["offset"].is_u64();
    let is_slow = call.body["prompt"] == "slow" && !is_resumed;
    let from = call.body["resume"]["offset"].as_u64().unwrap_or(0) as usize;
    let (until, pause) = match is_slow {
        true => (6, Duration::from_secs(1)),
        false if is_resumed => (6, Duration::from_millis(1)),
        false => (TYPICAL_CHUNKS, Duration::from_millis(1)),
    };
    let chunk = |at| [Step::Chunk(at, "x"), Step::Pause(pause)];
    let steps = (from..until).flat_map(chunk);
    Reply::Stream(steps.chain([Step::Done]).collect())
}

/// Runs streams at the typical pace, then one that lags. Returns the response to the slow one and
/// its calls.
async fn request_lagging_stream(pipeline: &str, service: &str) -> (Answer, Vec<ReceivedCall>) {
    request_lagging_stream_of(pipeline, service, paced_reply).await
}

/// Like [`request_lagging_stream`], with endpoints that answer with `reply`.
async fn request_lagging_stream_of(
    pipeline: &str,
    service: &str,
    reply: impl Fn(&ReceivedCall) -> Reply + Clone + Send + Sync + 'static,
) -> (Answer, Vec<ReceivedCall>) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let one = FakeEndpoint::start("llm-1", service, reply.clone()).await;
    let two = FakeEndpoint::start("llm-2", service, reply).await;
    gate.announce(&one).await;
    gate.announce(&two).await;
    let key = || uuid::Uuid::now_v7().to_string();
    for _ in 0..2 {
        let key = key();
        let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "20000")];
        let typical = gate.post(pipeline, &headers, json!("usual")).await;
        assert_eq!(typical.status, 200, "{}", typical.text());
        gate.announce(&one).await;
        gate.announce(&two).await;
    }
    // The gate refreshes its quantiles four times a second.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let key = key();
    let headers = [
        SSE,
        ("idempotency-key", &*key),
        ("jujube-deadline-ms", "9000"),
    ];
    let answer = gate.post(pipeline, &headers, json!("slow")).await;
    let calls = one.calls().into_iter().chain(two.calls());
    let calls = calls.filter(|call| call.body["prompt"] == "slow").collect();
    (answer, calls)
}

#[tokio::test]
async fn a_lagging_stream_moves_to_another_endpoint() {
    let (answer, calls) = request_lagging_stream("chat", "llm").await;
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

/// Guards against ending a stream that lags before another endpoint has taken it over.
#[tokio::test]
async fn lagging_stream_goes_on_if_the_other_endpoint_fails() {
    let failures = [
        Reply::Status(404, Vec::new(), "no such call".to_owned()),
        Reply::Status(500, Vec::new(), "broken".to_owned()),
        Reply::CloseConnection,
        Reply::Silent,
        not_run(),
    ];
    let requests = failures.map(|failure| {
        let reply = move |call: &ReceivedCall| match call.body["resume"].is_null() {
            true => paced_reply(call),
            false => failure.clone(),
        };
        request_lagging_stream_of("chat", "llm", reply)
    });
    for (answer, calls) in futures_util::future::join_all(requests).await {
        assert_eq!(whole_text(&answer), "xxxxxx", "{}", answer.text());
        assert_eq!(answer.events().pop().unwrap().0, "done");
        assert!(calls.len() > 1, "the stream did not lag");
    }
}

#[tokio::test]
async fn an_unrepeatable_stream_never_moves() {
    let (answer, calls) = request_lagging_stream("drafting", "draft").await;
    assert_eq!(
        answer.events().pop().unwrap().0,
        "done",
        "{}",
        answer.text()
    );
    assert_eq!(calls.len(), 1);
}
