//! Limits of workspaces, retry budgets, hedges, and answers at once when the gate gives up.

mod env;

use std::time::Duration;

use env::{
    Env,
    stand_in::{Reply, StandIn, not_run, output},
};
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn a_workspace_over_its_limit_is_told_when_to_come_back() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |_| {
        Reply::Later(Duration::from_millis(500), output(&json!(1)))
    })
    .await;
    gate.knows(&look).await;
    let small = [("jujube-workspace", "small")];
    let (first, second) = tokio::join!(gate.ask("find", &small, json!(1)), async {
        look.until_called(1).await;
        gate.ask("find", &small, json!(1)).await
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
    assert_eq!(look.calls().len(), 1);
}

#[tokio::test]
async fn retries_stay_within_the_budget_when_everything_fails() {
    const REQUESTS: usize = 200;
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let mut endpoints = Vec::new();
    for n in 0..3 {
        let name = format!("look-{n}");
        let endpoint = StandIn::start(&name, "look", |_| not_run()).await;
        gate.knows(&endpoint).await;
        endpoints.push(endpoint);
    }
    for _ in 0..REQUESTS {
        for endpoint in &endpoints {
            gate.knows(endpoint).await;
        }
        let answer = gate.ask("find", &[], json!(1)).await;
        assert_eq!(answer.outcome(), "not_run", "{}", answer.text());
    }
    let calls: usize = endpoints.iter().map(|e| e.calls().len()).sum();
    // A tenth of the first tries, the reserve of ten, and what comes back with time.
    assert!(calls <= REQUESTS + REQUESTS / 10 + 10 + 20, "{calls}");
}

#[tokio::test]
async fn a_request_that_is_given_up_is_answered_at_once() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |_| not_run()).await;
    gate.knows(&look).await;
    let start = Instant::now();
    let answer = gate
        .ask("find", &[("jujube-deadline-ms", "30000")], json!(1))
        .await;
    assert_eq!(answer.outcome(), "not_run");
    assert!(answer.json()["retry_after_ms"].as_u64().unwrap() > 0);
    assert!(start.elapsed() < Duration::from_secs(10));
}

/// An endpoint that is slow where it is asked to be, and turns away what asks for a pause.
async fn slow_look() -> StandIn {
    StandIn::start("look-1", "look", |call| match call.body["input"].as_str() {
        Some("slow") => Reply::Later(Duration::from_secs(5), output(&json!(1))),
        Some("pause") => not_run(),
        _ => Reply::Json(output(&json!(1))),
    })
    .await
}

/// The only other endpoint wants a pause: a call that lags gets no company there.
#[tokio::test]
async fn no_hedge_goes_to_an_endpoint_that_pauses() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let one = slow_look().await;
    let two = StandIn::start("look-2", "look", |call| match call.body["input"].as_str() {
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
        gate.knows(endpoint).await;
    }
    for _ in 0..40 {
        gate.ask("find", &[], json!("fast")).await;
    }
    // The gate looks at its latencies anew from time to time.
    sleep(Duration::from_secs(1)).await;
    // Turned away by both, in whatever order.
    gate.ask("find", &[], json!("pause")).await;
    let calls = two.calls();
    let turned_away = calls.iter().filter(|call| call.body["input"] == "pause");
    assert_eq!(turned_away.count(), 1);
    let before = calls.len();
    let headers = [("jujube-deadline-ms", "1500")];
    let asks = (0..8).map(|_| gate.ask("find", &headers, json!("slow")));
    join_all(asks).await;
    assert_eq!(two.calls().len(), before);
}

#[tokio::test]
async fn a_lagging_call_is_hedged_and_a_booking_never() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let one = slow_look().await;
    let two = StandIn::start("look-2", "look", |_| Reply::Json(output(&json!(1)))).await;
    let desk = StandIn::start("book-1", "book", |_| {
        Reply::Later(Duration::from_millis(400), output(&json!(1)))
    })
    .await;
    let spare = StandIn::start("book-2", "book", |_| {
        Reply::Later(Duration::from_millis(400), output(&json!(1)))
    })
    .await;
    for endpoint in [&one, &two, &desk, &spare] {
        gate.knows(endpoint).await;
    }
    for _ in 0..40 {
        gate.ask("find", &[], json!("fast")).await;
    }
    // The gate looks at its latencies anew from time to time.
    sleep(Duration::from_secs(1)).await;
    let headers = [("jujube-deadline-ms", "4000")];
    let asks = (0..8).map(|_| gate.ask("find", &headers, json!("slow")));
    for answer in join_all(asks).await {
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(gate.metric("jujube_hedges_total", "look").await >= 1.0);
    let keys: Vec<String> = (0..4).map(|_| uuid::Uuid::now_v7().to_string()).collect();
    let asks = keys.iter().map(|key| async {
        gate.ask("booking", &[("idempotency-key", key)], json!(1))
            .await
    });
    for answer in join_all(asks).await {
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(desk.calls().len() + spare.calls().len(), 4);
    assert!(gate.metric("jujube_hedges_total", "book").await < 1.0);
}

#[tokio::test]
async fn the_pause_that_an_endpoint_asks_for_is_kept() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let look = StandIn::start("look-1", "look", |call| match call.nth {
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
    gate.knows(&look).await;
    let start = Instant::now();
    let answer = gate
        .ask("find", &[("jujube-deadline-ms", "10000")], json!(1))
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(start.elapsed() >= Duration::from_secs(1));
}
