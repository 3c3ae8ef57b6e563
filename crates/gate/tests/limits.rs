//! Workspace limits, retry budgets, hedges, and immediate responses to requests that the gate
//! abandons.

mod env;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use env::{
    Env,
    fake_endpoint::{FakeEndpoint, Reply, not_run, output},
};
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn a_workspace_over_its_limit_gets_a_retry_after() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| {
        Reply::Delayed(Duration::from_millis(500), output(&json!(1)))
    })
    .await;
    gate.announce(&retriever).await;
    let small = [("jujube-workspace", "small")];
    let (first, second) = tokio::join!(gate.post("find", &small, json!(1)), async {
        retriever.wait_for_calls(1).await;
        gate.post("find", &small, json!(1)).await
    });
    assert_eq!(first.status, 200);
    assert_eq!(
        (second.status, &*second.outcome()),
        (429, "not_run"),
        "{}",
        second.text()
    );
    assert!(second.json()["retry_after_ms"].as_u64().unwrap() > 0);
    assert!(second.headers.contains_key("retry-after"));
    assert_eq!(retriever.calls().len(), 1);
}

#[tokio::test]
async fn retries_stay_within_the_budget_when_everything_fails() {
    const REQUESTS: usize = 200;
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let mut endpoints = Vec::new();
    for n in 0..3 {
        let name = format!("look-{n}");
        let endpoint = FakeEndpoint::start(&name, "look", |_| not_run()).await;
        gate.announce(&endpoint).await;
        endpoints.push(endpoint);
    }
    for _ in 0..REQUESTS {
        for endpoint in &endpoints {
            gate.announce(endpoint).await;
        }
        let answer = gate.post("find", &[], json!(1)).await;
        assert_eq!(answer.outcome(), "not_run", "{}", answer.text());
    }
    let calls: usize = endpoints.iter().map(|e| e.calls().len()).sum();
    // A tenth of the first tries, the reserve of 10, and what the budget regains over time.
    assert!(calls <= REQUESTS + REQUESTS / 10 + 10 + 20, "{calls}");
}

#[tokio::test]
async fn an_abandoned_request_is_answered_immediately() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |_| not_run()).await;
    gate.announce(&retriever).await;
    let start = Instant::now();
    let answer = gate
        .post("find", &[("jujube-deadline-ms", "30000")], json!(1))
        .await;
    assert_eq!(answer.outcome(), "not_run");
    assert!(answer.json()["retry_after_ms"].as_u64().unwrap() > 0);
    assert!(start.elapsed() < Duration::from_secs(10));
}

/// An endpoint that is slow for the input `slow` and refuses the input `pause`.
async fn slow_retriever() -> FakeEndpoint {
    FakeEndpoint::start("look-1", "look", |call| match call.body["input"].as_str() {
        Some("slow") => Reply::Delayed(Duration::from_secs(5), output(&json!(1))),
        Some("pause") => not_run(),
        _ => Reply::Json(output(&json!(1))),
    })
    .await
}

/// The only other endpoint has requested a pause, so a slow call must not be hedged there.
#[tokio::test]
async fn no_hedge_goes_to_an_endpoint_that_pauses() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let one = slow_retriever().await;
    let two = FakeEndpoint::start("look-2", "look", |call| match call.body["input"].as_str() {
        Some("pause") => Reply::Status(
            503,
            vec![
                ("jujube-outcome", "not_run".to_owned()),
                ("retry-after", "30".to_owned()),
            ],
            String::new(),
        ),
        _ => Reply::Json(output(&json!(1))),
    })
    .await;
    for endpoint in [&one, &two] {
        gate.announce(endpoint).await;
    }
    for _ in 0..40 {
        gate.post("find", &[], json!("fast")).await;
    }
    // The gate refreshes its latency quantiles periodically.
    sleep(Duration::from_secs(1)).await;
    // Both endpoints refuse it, in either order.
    gate.post("find", &[], json!("pause")).await;
    let calls = two.calls();
    let refused = calls.iter().filter(|call| call.body["input"] == "pause");
    assert_eq!(refused.count(), 1);
    let before = calls.len();
    let headers = [("jujube-deadline-ms", "1500")];
    let requests = (0..8).map(|_| gate.post("find", &headers, json!("slow")));
    join_all(requests).await;
    assert_eq!(two.calls().len(), before);
}

#[tokio::test]
async fn slow_calls_are_hedged_and_bookings_are_not() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    // Whichever endpoint gets the first of these calls is slow, so that one call is slow for sure.
    let is_first_slow = Arc::new(AtomicBool::new(true));
    let retriever = |name: &'static str| {
        let is_first_slow = Arc::clone(&is_first_slow);
        FakeEndpoint::start(name, "look", move |call| {
            let is_slow =
                call.body["input"] == "slow" && is_first_slow.swap(false, Ordering::SeqCst);
            match is_slow {
                true => Reply::Delayed(Duration::from_secs(5), output(&json!(1))),
                false => Reply::Json(output(&json!(1))),
            }
        })
    };
    let (one, two) = (retriever("look-1").await, retriever("look-2").await);
    let booking_endpoint = FakeEndpoint::start("book-1", "book", |_| {
        Reply::Delayed(Duration::from_millis(400), output(&json!(1)))
    })
    .await;
    let spare = FakeEndpoint::start("book-2", "book", |_| {
        Reply::Delayed(Duration::from_millis(400), output(&json!(1)))
    })
    .await;
    for endpoint in [&one, &two, &booking_endpoint, &spare] {
        gate.announce(endpoint).await;
    }
    for _ in 0..40 {
        gate.post("find", &[], json!("fast")).await;
    }
    // The gate refreshes its latency quantiles periodically.
    sleep(Duration::from_secs(1)).await;
    let headers = [("jujube-deadline-ms", "4000")];
    let requests = (0..8).map(|_| gate.post("find", &headers, json!("slow")));
    for answer in join_all(requests).await {
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(gate.metric("jujube_hedges_total", "look").await >= 1.0);
    let keys: Vec<String> = (0..4).map(|_| uuid::Uuid::now_v7().to_string()).collect();
    let requests = keys.iter().map(|key| async {
        gate.post("booking", &[("idempotency-key", key)], json!(1))
            .await
    });
    for answer in join_all(requests).await {
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(booking_endpoint.calls().len() + spare.calls().len(), 4);
    assert!(gate.metric("jujube_hedges_total", "book").await < 1.0);
}

#[tokio::test]
async fn an_endpoints_retry_after_is_respected() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever = FakeEndpoint::start("look-1", "look", |call| match call.nth {
        0 => {
            let headers = vec![
                ("jujube-outcome", "not_run".to_owned()),
                ("retry-after", "1".to_owned()),
            ];
            Reply::Status(503, headers, String::new())
        }
        _ => Reply::Json(output(&json!(1))),
    })
    .await;
    gate.announce(&retriever).await;
    let start = Instant::now();
    let answer = gate
        .post("find", &[("jujube-deadline-ms", "10000")], json!(1))
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(start.elapsed() >= Duration::from_secs(1));
}
