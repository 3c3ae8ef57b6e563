//! Real gates with a fault-injecting proxy in front of their endpoints or their keeper.

mod env;

use std::time::Duration;

use bench::proxy::{Cut, Proxy, Rules};
use env::{
    Env,
    client::Answer,
    fake_endpoint::{FakeEndpoint, ReceivedCall, Reply, Step, output},
};
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::sleep;

const SEED: u64 = 20_261_204;
const TEXT: &str = "abcdefghijklmnopqrst";
const STREAM_HEADERS: [(&str, &str); 2] = [
    ("accept", "text/event-stream"),
    ("jujube-deadline-ms", "15000"),
];

/// Streams the text from the requested offset, one letter every 40 ms.
fn letter_stream(call: &ReceivedCall) -> Reply {
    let from = call.body["resume"]["offset"].as_u64().unwrap_or(0) as usize;
    let mut steps = Vec::new();
    for at in from..TEXT.len() {
        steps.push(Step::Pause(Duration::from_millis(40)));
        steps.push(Step::Chunk(at, &TEXT[at..=at]));
    }
    steps.push(Step::Done);
    Reply::Stream(steps)
}

async fn proxy_for(endpoint: &FakeEndpoint) -> Proxy {
    let proxy = Proxy::start(SEED).await.unwrap();
    proxy.set_upstream(endpoint.address);
    proxy
}

fn assert_whole(answer: &Answer) {
    let events = answer.events();
    let mut text = String::new();
    for (_, data) in events.iter().filter(|(name, _)| name == "token") {
        assert_eq!(data["offset"], text.len());
        text.push_str(data["text"].as_str().unwrap());
    }
    let (name, last) = events.last().unwrap();
    assert_eq!(
        (&*text, &**name, &last["output"]),
        (TEXT, "done", &json!(TEXT))
    );
}

#[tokio::test]
async fn streams_survive_connections_that_go_silent_or_are_reset() {
    const STREAMS: usize = 6;
    let env = Env::start().await;
    let gate = env
        .gate_with("g", "[timing]\ngap_ms = 300\nfirst_byte_ms = 300\n")
        .await;
    let llm = FakeEndpoint::start("llm-1", "llm", letter_stream).await;
    let proxy = proxy_for(&llm).await;
    gate.announce_at(&llm, proxy.address()).await;
    let requests = join_all((0..STREAMS).map(|_| gate.post("chat", &STREAM_HEADERS, json!("x"))));
    let fault_injection = async {
        llm.wait_for_calls(STREAMS).await;
        sleep(Duration::from_millis(200)).await;
        proxy.silence_connections();
        llm.wait_for_calls(STREAMS * 2).await;
        sleep(Duration::from_millis(200)).await;
        proxy.reset_connections();
    };
    let (answers, ()) = tokio::join!(requests, fault_injection);
    answers.iter().for_each(assert_whole);
    assert!(gate.metric("jujube_resumptions_total", "llm").await >= STREAMS as f64);
    assert!(gate.metric("jujube_ejections", "").await < 1.0);
}

#[tokio::test]
async fn idle_connections_that_went_silent_cost_no_request() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\nfirst_byte_ms = 200\n").await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    let booking_endpoint =
        FakeEndpoint::start("book-1", "book", |_| Reply::Json(output(&json!("booked")))).await;
    let (retriever_proxy, booking_proxy) = (
        proxy_for(&retriever).await,
        proxy_for(&booking_endpoint).await,
    );
    gate.announce_at(&retriever, retriever_proxy.address())
        .await;
    gate.announce_at(&booking_endpoint, booking_proxy.address())
        .await;
    for _ in 0..4 {
        let found = gate.post("find", &[], json!(1)).await;
        assert_eq!(found.json()["output"], "found", "{}", found.text());
        let key = uuid::Uuid::now_v7().to_string();
        let booked = gate
            .post("booking", &[("idempotency-key", &key)], json!(1))
            .await;
        assert_eq!(booked.json()["output"], "booked", "{}", booked.text());
        retriever_proxy.silence_connections();
        booking_proxy.silence_connections();
    }
    assert_eq!(booking_endpoint.calls().len(), 4);
    assert!(gate.metric("jujube_ejections", "").await < 1.0);
}

#[tokio::test]
async fn a_booking_whose_connection_is_lost_is_unknown_and_ran_at_most_once() {
    let env = Env::start().await;
    let gate = env.gate_with("g", "[timing]\nlate_result_ms = 500\n").await;
    let booking_endpoint = FakeEndpoint::start("book-1", "book", |_| {
        Reply::Delayed(Duration::from_millis(300), output(&json!("booked")))
    })
    .await;
    let proxy = proxy_for(&booking_endpoint).await;
    gate.announce_at(&booking_endpoint, proxy.address()).await;
    for (n, is_reset) in [true, false].into_iter().enumerate() {
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "1000")];
        let (answer, ()) = tokio::join!(gate.post("booking", &headers, json!(n)), async {
            booking_endpoint.wait_for_calls(n + 1).await;
            match is_reset {
                true => proxy.reset_connections(),
                false => proxy.silence_connections(),
            }
        });
        assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
        gate.announce_at(&booking_endpoint, proxy.address()).await;
        let again = gate.post("booking", &headers, json!(n)).await;
        assert_eq!(again.outcome(), "unknown", "{}", again.text());
        assert_eq!(booking_endpoint.calls().len(), n + 1);
    }
}

#[tokio::test]
async fn bookings_run_once_while_the_keepers_answers_are_lost() {
    const BOOKINGS: usize = 12;
    let mut env = Env::start().await;
    let proxy = Proxy::start(SEED).await.unwrap();
    proxy.set_upstream(env.keeper.address);
    env.keeper_proxy = Some(proxy.address());
    let gates = [env.gate("a").await, env.gate("b").await];
    let booking_endpoint = FakeEndpoint::start("book-1", "book", |call| {
        Reply::Json(output(&call.body["input"]))
    })
    .await;
    let booking = join_all((0..BOOKINGS).map(|n| {
        let (gates, booking_endpoint) = (&gates, &booking_endpoint);
        async move {
            sleep(Duration::from_millis(60 * n as u64)).await;
            let key = uuid::Uuid::now_v7().to_string();
            let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "1500")];
            for attempt in 0..20 {
                let gate = &gates[(n + attempt) % 2];
                gate.announce(booking_endpoint).await;
                let answer = gate.post("booking", &headers, json!(n)).await;
                if answer.status == 200 {
                    assert_eq!(answer.json()["output"], n);
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
            panic!("booking {n} has no answer");
        }
    }));
    let fault_injection = async {
        for cut in [Cut::FromUpstream, Cut::ToUpstream, Cut::Both] {
            sleep(Duration::from_millis(300)).await;
            proxy.set_rules(Rules {
                cut,
                ..Rules::default()
            });
            sleep(Duration::from_millis(700)).await;
            proxy.set_rules(Rules::default());
            proxy.reset_connections();
        }
    };
    tokio::join!(booking, fault_injection);
    let calls = booking_endpoint.calls();
    for n in 0..BOOKINGS {
        let runs = calls.iter().filter(|c| c.body["input"] == n).count();
        assert_eq!(runs, 1, "booking {n}");
    }
}
