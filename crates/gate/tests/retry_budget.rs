//! Whatever fails, calls beyond the first of each request stay within the retry budget.

mod env;

use std::time::Duration;

use env::{
    Env,
    stand_in::{Reply, Seen, StandIn, Step, not_run, output},
};
use futures_util::{StreamExt, stream};
use proptest::{collection::vec, prelude::*};
use routing::RetryBudgetConfig;
use serde_json::json;
use tokio::{runtime::Runtime, time::Instant};

const REQUESTS: usize = 60;
const AT_ONCE: usize = 10;

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Good,
    Late,
    Refused,
    Error,
    Hangup,
    Malformed,
    CutAfterText,
    CutBeforeText,
}

fn fate() -> impl Strategy<Value = Fate> {
    let fates = [
        Fate::Good,
        Fate::Late,
        Fate::Refused,
        Fate::Error,
        Fate::Hangup,
        Fate::Malformed,
        Fate::CutAfterText,
        Fate::CutBeforeText,
    ];
    proptest::sample::select(fates.to_vec())
}

fn reply(fate: Fate, call: &Seen) -> Reply {
    let is_engine = call.path == "/v1/completions";
    let from = call.body["resume"]["offset"].as_u64().unwrap_or(0) as usize;
    match fate {
        Fate::Good | Fate::Late if is_engine => {
            Reply::Stream(vec![Step::Chunk(from, "text"), Step::Done])
        }
        Fate::Good => Reply::Json(output(&json!(1))),
        Fate::Late => Reply::Later(Duration::from_millis(40), output(&json!(1))),
        Fate::Refused => not_run(),
        Fate::Error => Reply::Status(500, Vec::new(), "broken".to_owned()),
        Fate::Hangup => Reply::Hangup,
        Fate::CutAfterText if is_engine => Reply::Stream(vec![
            Step::Chunk(from, "t"),
            Step::Pause(Duration::from_millis(5)),
            Step::Cut,
        ]),
        Fate::CutBeforeText if is_engine => Reply::Stream(vec![Step::Cut]),
        Fate::Malformed | Fate::CutAfterText | Fate::CutBeforeText => Reply::Json(json!([])),
    }
}

/// Calls beyond the first of each request that generate or look up anew, and how many may be.
async fn extra_calls(pipeline: &str, service: &str, fates: Vec<Fate>) -> (usize, f64) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let behaviour = move |call: &Seen| reply(fates[call.nth % fates.len()], call);
    let one = StandIn::start("one", service, behaviour.clone()).await;
    let two = StandIn::start("two", service, behaviour).await;
    let start = Instant::now();
    for _ in 0..REQUESTS / AT_ONCE {
        gate.knows(&one).await;
        gate.knows(&two).await;
        let headers = [("jujube-deadline-ms", "2000")];
        let asked = (0..AT_ONCE).map(|_| gate.ask(pipeline, &headers, json!("x")));
        stream::iter(asked).buffer_unordered(AT_ONCE).count().await;
    }
    let budget = RetryBudgetConfig::default();
    let regained = start.elapsed().div_duration_f64(budget.refill_interval);
    let allowed = budget.reserve + budget.ratio * REQUESTS as f64 + regained;
    let calls = one.calls().into_iter().chain(two.calls());
    // To resume a generation at its own endpoint runs nothing again and is free.
    let anew = calls.filter(|call| call.body["resume"].is_null()).count();
    (anew.saturating_sub(REQUESTS), allowed)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn extra_calls_stay_within_share_and_reserve(
        fates in vec(fate(), 1..8),
        is_engine in any::<bool>(),
    ) {
        let (pipeline, service) = if is_engine { ("chat", "llm") } else { ("find", "look") };
        let runtime = Runtime::new().expect("a runtime");
        let (extra, allowed) = runtime.block_on(extra_calls(pipeline, service, fates));
        prop_assert!(extra as f64 <= allowed, "{extra} calls beyond the first, {allowed} allowed");
    }
}

#[test]
fn a_service_that_always_fails_gets_no_more_than_the_budget() {
    let runtime = Runtime::new().expect("a runtime");
    for (pipeline, service) in [("chat", "llm"), ("find", "look")] {
        let failing = extra_calls(pipeline, service, vec![Fate::Error]);
        let (extra, allowed) = runtime.block_on(failing);
        assert!(extra as f64 <= allowed, "{extra} calls, {allowed} allowed");
        assert!(extra > 0, "the budget was not used at all");
    }
}
