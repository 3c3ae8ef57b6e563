//! Tests of stand-ins over HTTP, as a gate uses them.

use std::time::Duration;

use bench::{
    client::Client,
    output::{engine_text, stage_output},
    stand_in::{self, Event, Fault, Kind, StandIn, StandInConfig, weight_store},
};
use hyper::Method;
use serde_json::{Value, json};

async fn stand_in(service: &str, kind: Kind) -> StandIn {
    let cfg = StandInConfig::new("a-1", service, "a", kind);
    stand_in::start(cfg).await.unwrap()
}

fn url(stand_in: &StandIn, path: &str) -> String {
    format!("http://{}{path}", stand_in.address())
}

fn headers(call: &str) -> Vec<(&str, &str)> {
    vec![("jujube-call", call), ("jujube-deadline-ms", "5000")]
}

/// Returns the chunks of a stream and true if it ended with `[DONE]`.
async fn stream(engine: &StandIn, call: &str, body: Value) -> (Vec<Value>, bool) {
    let url = url(engine, "/v1/completions");
    let res = Client::default()
        .post_json(&url, &headers(call), &body)
        .await;
    let text = String::from_utf8(res.unwrap().body.to_vec()).unwrap();
    let events = text.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
    let is_done = text.ends_with("data: [DONE]\n\n");
    let chunks = events
        .filter_map(|e| serde_json::from_str(e).ok())
        .collect();
    (chunks, is_done)
}

fn joined_text(chunks: &[Value]) -> String {
    let texts = chunks
        .iter()
        .map(|c| c["choices"][0]["text"].as_str().unwrap());
    texts.collect()
}

fn completion_body(text: &str) -> Value {
    json!({ "model": "m", "prompt": text, "max_tokens": 64, "stream": true })
}

#[tokio::test]
async fn a_pool_returns_the_call_id_and_an_output_derived_from_the_input() {
    let pool = stand_in("roster", Kind::Pool).await;
    let body = json!({ "input": { "prompt": "[#r1] ice" }, "previous": null });
    let res = Client::default()
        .post_json(&url(&pool, "/v1/stages/roster"), &headers("c1"), &body)
        .await
        .unwrap();
    assert_eq!(res.headers["jujube-call"], "c1");
    let expected = stage_output("roster", &body["input"], &Value::Null);
    assert_eq!(res.json()["output"], expected);
    let journal = pool.journal();
    assert_eq!(journal[0].subject.as_deref(), Some("r1"));
    assert!(matches!(journal[1].event, Event::Finished { .. }));
}

#[tokio::test]
async fn a_refused_call_does_not_run() {
    let pool = stand_in("roster", Kind::Pool).await;
    pool.set_fault(Fault::Refuse);
    let body = json!({ "input": 1 });
    let res = Client::default()
        .post_json(&url(&pool, "/v1/stages/roster"), &headers("c1"), &body)
        .await
        .unwrap();
    assert_eq!(res.status, 503);
    assert_eq!(res.headers["jujube-outcome"], "not_run");
    let is_start = |event: &Event| matches!(event, Event::Started);
    assert!(!pool.journal().iter().any(|entry| is_start(&entry.event)));
}

#[tokio::test]
async fn a_plain_service_completes_a_call_after_its_caller_disconnects() {
    let mut cfg = StandInConfig::new("a-1", "ledger", "a", Kind::Plain);
    cfg.service_time = Duration::from_millis(50);
    let plain = stand_in::start(cfg).await.unwrap();
    plain.set_fault(Fault::Stall);
    let client = Client::default();
    let url = url(&plain, "/v1/stages/ledger");
    let headers = [("idempotency-key", "k1")];
    let body = json!({ "input": 1 });
    let call = client.post_json(&url, &headers, &body);
    assert!(
        tokio::time::timeout(Duration::from_millis(200), call)
            .await
            .is_err()
    );
    let has_key = |key: &Option<String>| key.as_deref() == Some("k1");
    let entries = plain.journal().iter().filter(|e| has_key(&e.key)).count();
    assert_eq!(entries, 2, "one start and one end: {:?}", plain.journal());
}

#[tokio::test]
async fn an_engine_streams_its_text_with_offsets() {
    let engine = stand_in("plan", Kind::Engine).await;
    let (chunks, is_done) = stream(&engine, "c1", completion_body("[len:40] ice")).await;
    let text = joined_text(&chunks);
    assert_eq!(text, engine_text("plan", "[len:40] ice", 64));
    assert!(
        !text.is_ascii(),
        "the text has characters of several bytes: {text}"
    );
    assert!(is_done);
    let mut offset = 0;
    for chunk in &chunks {
        assert_eq!(chunk["offset"], offset);
        offset += chunk["choices"][0]["text"].as_str().unwrap().len();
    }
}

#[tokio::test]
async fn an_interrupted_stream_resumes_at_an_offset() {
    let engine = stand_in("plan", Kind::Engine).await;
    let whole = engine_text("plan", "[len:20] tug", 64);
    engine.set_fault(Fault::CloseEarly);
    let body = completion_body("[len:20] tug");
    let cut = Client::default()
        .post_json(&url(&engine, "/v1/completions"), &headers("c1"), &body)
        .await;
    assert!(cut.is_err(), "the connection closes halfway");
    engine.set_fault(Fault::None);
    let offset = 16;
    let resume = json!({
        "model": "m", "prompt": "[len:20] tug", "max_tokens": 64, "stream": true,
        "resume": { "call": "c1", "offset": offset },
    });
    let (chunks, is_done) = stream(&engine, "c2", resume).await;
    assert_eq!(joined_text(&chunks), whole[offset..]);
    assert!(is_done);
}

#[tokio::test]
async fn another_engine_resumes_a_stream_at_the_same_offset() {
    let engine = stand_in("plan", Kind::Engine).await;
    let whole = engine_text("plan", "[len:20] tug", 64);
    let offset = 16;
    let resume = json!({
        "model": "m", "prompt": "[len:20] tug", "max_tokens": 64, "stream": true,
        "resume": { "call": "of another engine", "offset": offset },
    });
    let (chunks, is_done) = stream(&engine, "c1", resume).await;
    assert_eq!(chunks[0]["offset"], offset);
    assert_eq!(joined_text(&chunks), whole[offset..]);
    assert!(is_done);
}

#[tokio::test]
async fn a_dropped_chunk_is_missing_from_the_text() {
    let engine = stand_in("plan", Kind::Engine).await;
    engine.set_fault(Fault::DropChunk);
    let (chunks, _) = stream(&engine, "c1", completion_body("[len:10] x")).await;
    assert_eq!(chunks.len(), 9);
    assert_ne!(joined_text(&chunks), engine_text("plan", "[len:10] x", 64));
}

#[tokio::test]
async fn a_cancelled_call_is_recorded_in_the_journal() {
    let engine = stand_in("plan", Kind::Engine).await;
    let client = Client::default();
    let body = json!({
        "model": "m", "prompt": "[len:4000]", "max_tokens": 4000, "stream": true,
    });
    let body = serde_json::to_vec(&body).unwrap();
    let url_of = |path: &str| url(&engine, path);
    let opened = client
        .open(
            Method::POST,
            &url_of("/v1/completions"),
            &headers("c1"),
            body,
        )
        .await
        .unwrap();
    let cancelled = client
        .send(
            Method::DELETE,
            &url_of("/v1/completions/c1"),
            &[],
            Vec::new(),
        )
        .await
        .unwrap();
    assert_eq!(cancelled.status, 200);
    drop(opened);
    let is_cancelled = |event: &Event| matches!(event, Event::Cancelled { .. });
    assert!(
        engine
            .journal()
            .iter()
            .any(|entry| is_cancelled(&entry.event))
    );
}

#[tokio::test]
async fn a_prompt_prefix_is_reused() {
    let engine = stand_in("plan", Kind::Engine).await;
    let shared = "harbor ".repeat(64);
    stream(&engine, "c1", completion_body(&format!("{shared} one"))).await;
    let (chunks, _) = stream(&engine, "c2", completion_body(&format!("{shared} two"))).await;
    let usage = &chunks.last().unwrap()["usage"];
    let reused = usage["prompt_tokens_details"]["cached_tokens"].as_u64();
    assert!(reused.unwrap() >= 100, "{usage}");
}

#[tokio::test]
async fn an_old_fencing_token_is_refused_only_if_checked() {
    for (checks_fencing, expected) in [(true, 409), (false, 200)] {
        let mut cfg = StandInConfig::new("a-1", "plan", "a", Kind::Engine);
        cfg.checks_fencing = checks_fencing;
        let engine = stand_in::start(cfg).await.unwrap();
        let order = |id: &str, fencing: u64| json!({ "order": id, "fencing": fencing, "action": "load", "model": "m", "version": 1 });
        let client = Client::default();
        let url = url(&engine, "/v1/orders");
        let new = client.post_json(&url, &[], &order("o1", 7)).await.unwrap();
        let again = client.post_json(&url, &[], &order("o1", 7)).await.unwrap();
        let old = client.post_json(&url, &[], &order("o2", 3)).await.unwrap();
        assert_eq!([new.status.as_u16(), again.status.as_u16()], [200, 200]);
        assert_eq!(old.status.as_u16(), expected);
        let is_order = |event: &Event| matches!(event, Event::Ordered { .. });
        let executed = engine
            .journal()
            .iter()
            .filter(|e| is_order(&e.event))
            .count();
        assert_eq!(executed, if checks_fencing { 1 } else { 2 });
    }
}

#[tokio::test]
async fn concurrent_fetches_share_the_rate_of_the_weight_store() {
    let cfg = weight_store::WeightStoreConfig {
        model_bytes: 100_000,
        bytes_per_second: 1_000_000,
    };
    let store = weight_store::start(cfg).await.unwrap();
    let client = Client::default();
    let started_at = std::time::Instant::now();
    let url = format!("{}/v1/weights/m-1", store.url());
    let one = client.send(Method::GET, &url, &[], Vec::new());
    let two = client.send(Method::GET, &url, &[], Vec::new());
    let (one, two) = tokio::join!(one, two);
    assert_eq!(one.unwrap().body.len() + two.unwrap().body.len(), 200_000);
    assert!(started_at.elapsed() >= Duration::from_millis(190));
}

#[tokio::test]
async fn imported_blocks_need_no_prefill() {
    let (source, target) = (
        stand_in("plan", Kind::Engine).await,
        stand_in("plan", Kind::Engine).await,
    );
    let text = "harbor ".repeat(64);
    stream(&source, "c1", completion_body(&text)).await;
    let client = Client::default();
    let export = json!({ "prompt": text });
    let exported = client
        .post_json(&url(&source, "/v1/kv/export"), &[], &export)
        .await
        .unwrap();
    let imported = client
        .post_json(&url(&target, "/v1/kv/import"), &[], &exported.json())
        .await;
    assert_eq!(imported.unwrap().json()["imported"], 7);
    let (chunks, _) = stream(&target, "c2", completion_body(&text)).await;
    let usage = &chunks.last().unwrap()["usage"];
    assert_eq!(usage["prompt_tokens_details"]["cached_tokens"], 112);
}
