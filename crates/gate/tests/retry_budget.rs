//! Whatever fails, calls beyond the first of each request stay within the retry budget.

mod env;

use std::time::Duration;

use env::{
    Env,
    fake_endpoint::{FakeEndpoint, ReceivedCall, Reply, Step, not_run, output},
};
use futures_util::{StreamExt, stream};
use proptest::{collection::vec, prelude::*};
use routing::RetryBudgetConfig;
use serde_json::json;
use tokio::{runtime::Runtime, time::Instant};

const REQUESTS: usize = 60;
const CONCURRENCY: usize = 10;

/// How an endpoint answers a call.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Success,
    SlowSuccess,
    Refused,
    Error,
    CloseConnection,
    Malformed,
    CutAfterText,
    CutBeforeText,
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    let behaviours = [
        Behaviour::Success,
        Behaviour::SlowSuccess,
        Behaviour::Refused,
        Behaviour::Error,
        Behaviour::CloseConnection,
        Behaviour::Malformed,
        Behaviour::CutAfterText,
        Behaviour::CutBeforeText,
    ];
    proptest::sample::select(behaviours.to_vec())
}

fn reply(behaviour: Behaviour, call: &ReceivedCall) -> Reply {
    let is_engine = call.path == "/v1/completions";
    let from = call.body["resume"]["offset"].as_u64().unwrap_or(0) as usize;
    match behaviour {
        Behaviour::Success | Behaviour::SlowSuccess if is_engine => {
            Reply::Stream(vec![Step::Chunk(from, "text"), Step::Done])
        }
        Behaviour::Success => Reply::Json(output(&json!(1))),
        Behaviour::SlowSuccess => Reply::Delayed(Duration::from_millis(40), output(&json!(1))),
        Behaviour::Refused => not_run(),
        Behaviour::Error => Reply::Status(500, Vec::new(), "broken".to_owned()),
        Behaviour::CloseConnection => Reply::CloseConnection,
        Behaviour::CutAfterText if is_engine => Reply::Stream(vec![
            Step::Chunk(from, "t"),
            Step::Pause(Duration::from_millis(5)),
            Step::Disconnect,
        ]),
        Behaviour::CutBeforeText if is_engine => Reply::Stream(vec![Step::Disconnect]),
        Behaviour::Malformed | Behaviour::CutAfterText | Behaviour::CutBeforeText => {
            Reply::Json(json!([]))
        }
    }
}

/// Returns the calls beyond the first of each request, except resumed generations, and the number
/// allowed by the budget.
async fn extra_calls(pipeline: &str, service: &str, behaviours: Vec<Behaviour>) -> (usize, f64) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let handler = move |call: &ReceivedCall| reply(behaviours[call.nth % behaviours.len()], call);
    let first = FakeEndpoint::start("one", service, handler.clone()).await;
    let second = FakeEndpoint::start("two", service, handler).await;
    let start = Instant::now();
    for _ in 0..REQUESTS / CONCURRENCY {
        gate.announce(&first).await;
        gate.announce(&second).await;
        let headers = [("jujube-deadline-ms", "2000")];
        let requests = (0..CONCURRENCY).map(|_| gate.post(pipeline, &headers, json!("x")));
        stream::iter(requests)
            .buffer_unordered(CONCURRENCY)
            .count()
            .await;
    }
    let budget = RetryBudgetConfig::default();
    let recovered = start.elapsed().div_duration_f64(budget.refill_interval);
    let allowed = budget.reserve + budget.ratio * REQUESTS as f64 + recovered;
    let calls = first.calls().into_iter().chain(second.calls());
    // Resuming a generation at its own endpoint repeats no work and costs no budget.
    let unresumed = calls.filter(|call| call.body["resume"].is_null()).count();
    (unresumed.saturating_sub(REQUESTS), allowed)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn extra_calls_stay_within_share_and_reserve(
        behaviours in vec(behaviour(), 1..8),
        is_engine in any::<bool>(),
    ) {
        let (pipeline, service) = if is_engine { ("chat", "llm") } else { ("find", "look") };
        let runtime = Runtime::new().expect("a runtime");
        let (extra, allowed) = runtime.block_on(extra_calls(pipeline, service, behaviours));
        prop_assert!(extra as f64 <= allowed, "{extra} calls beyond the first, {allowed} allowed");
    }
}

#[test]
fn retries_of_a_service_that_always_fails_stay_within_the_budget() {
    let runtime = Runtime::new().expect("a runtime");
    for (pipeline, service) in [("chat", "llm"), ("find", "look")] {
        let failing = extra_calls(pipeline, service, vec![Behaviour::Error]);
        let (extra, allowed) = runtime.block_on(failing);
        assert!(extra as f64 <= allowed, "{extra} calls, {allowed} allowed");
        assert!(extra > 0, "the budget was not used at all");
    }
}
