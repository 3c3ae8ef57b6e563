//! Unrepeatable calls run at most once, and callers get their true outcome.

mod env;

use std::time::Duration;

use env::{
    Env,
    client::Answer,
    fake_endpoint::{FakeEndpoint, Reply, not_run, output},
    keeper::Fault,
};
use futures_util::future::join_all;
use link::keeper::Settlement;
use serde_json::{Value, json};
use tokio::time::sleep;

fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

async fn start_booking_endpoint(
    handler: impl Fn(&env::fake_endpoint::ReceivedCall) -> Reply + Send + Sync + 'static,
) -> FakeEndpoint {
    FakeEndpoint::start("book-1", "book", handler).await
}

fn booked() -> Reply {
    Reply::Json(output(&json!("booked")))
}

/// Starts a gate that knows an endpoint for bookings.
async fn start_with_endpoint() -> (Env, env::Gate, FakeEndpoint) {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let endpoint = start_booking_endpoint(|_| booked()).await;
    gate.announce(&endpoint).await;
    (env, gate, endpoint)
}

async fn book(gate: &env::Gate, key: &str, deadline_ms: &str, input: Value) -> Answer {
    let headers = [
        ("idempotency-key", key),
        ("jujube-deadline-ms", deadline_ms),
    ];
    gate.post("booking", &headers, input).await
}

fn status_and_outcome(answer: &Answer) -> (u16, String) {
    (answer.status, answer.outcome())
}

#[tokio::test]
async fn a_repeat_gets_the_stored_result_and_another_body_is_a_conflict() {
    let (env, a, booking_endpoint) = start_with_endpoint().await;
    let b = env.gate("b").await;
    b.announce(&booking_endpoint).await;
    let key = key();
    for gate in [&a, &a, &b] {
        let answer = book(gate, &key, "5000", json!("ferry")).await;
        assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
    }
    assert_eq!(booking_endpoint.calls().len(), 1);
    assert_eq!(booking_endpoint.calls()[0].key.as_ref(), Some(&key));
    let conflict = book(&b, &key, "5000", json!("barge")).await;
    assert_eq!(conflict.status, 409);
    assert_eq!(booking_endpoint.calls().len(), 1);
    let entry = env::client::get(a.http, &format!("/v1/requests/{key}"))
        .await
        .unwrap();
    assert_eq!(
        (entry.outcome(), entry.json()["output"].clone()),
        ("completed".to_owned(), json!("booked"))
    );
}

#[tokio::test]
async fn two_gates_with_one_key_at_one_instant_run_it_once() {
    let env = Env::start().await;
    let (a, b) = (env.gate("a").await, env.gate("b").await);
    let booking_endpoint = start_booking_endpoint(|_| {
        Reply::Delayed(Duration::from_millis(100), output(&json!("booked")))
    })
    .await;
    a.announce(&booking_endpoint).await;
    b.announce(&booking_endpoint).await;
    for _ in 0..10 {
        let key = key();
        let requests = [&a, &b, &a, &b].map(|gate| book(gate, &key, "10000", json!("ferry")));
        for answer in join_all(requests).await {
            assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
        }
    }
    assert_eq!(booking_endpoint.calls().len(), 10);
}

#[tokio::test]
async fn a_booking_goes_on_when_its_caller_hangs_up() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let booking_endpoint = start_booking_endpoint(|_| {
        Reply::Delayed(Duration::from_millis(300), output(&json!("booked")))
    })
    .await;
    gate.announce(&booking_endpoint).await;
    let key = key();
    let request = book(&gate, &key, "5000", json!("ferry"));
    assert!(
        tokio::time::timeout(Duration::from_millis(100), request)
            .await
            .is_err()
    );
    booking_endpoint.wait_for_calls(1).await;
    let settled = env.keeper.wait_for_settlements(1).await;
    assert!(matches!(settled[0], Settlement::Completed(_)));
    let again = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(again.json()["output"], "booked");
    assert_eq!(booking_endpoint.calls().len(), 1);
}

#[tokio::test]
async fn without_a_quorum_nothing_is_sent() {
    let (env, gate, booking_endpoint) = start_with_endpoint().await;
    env.keeper.set_fault(Fault::NoQuorum);
    let answer = book(&gate, &key(), "500", json!("ferry")).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
    assert!(answer.headers.contains_key("retry-after"));
    env.keeper.set_fault(Fault::None);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(booking_endpoint.calls().len(), 0);
}

#[tokio::test]
async fn an_intent_whose_answer_was_lost_is_given_back_and_the_key_is_free() {
    let (env, gate, booking_endpoint) = start_with_endpoint().await;
    env.keeper.set_fault(Fault::LostReplies);
    let key = key();
    let answer = book(&gate, &key, "400", json!("ferry")).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
    assert_eq!(booking_endpoint.calls().len(), 0);
    env.keeper.set_fault(Fault::None);
    assert_eq!(
        env.keeper.wait_for_settlements(1).await,
        [Settlement::Released]
    );
    let again = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(again.json()["output"], "booked", "{}", again.text());
    assert_eq!(booking_endpoint.calls().len(), 1);
}

#[tokio::test]
async fn a_gate_killed_between_intent_and_send_leaves_the_key_used_and_nothing_sent() {
    let env = Env::start().await;
    let (mut a, b) = (env.gate("a").await, env.gate("b").await);
    let booking_endpoint = start_booking_endpoint(|_| booked()).await;
    a.announce(&booking_endpoint).await;
    b.announce(&booking_endpoint).await;
    env.keeper.state.lock().unwrap().reply_delay = Duration::from_secs(2);
    let key = key();
    let headers = [("idempotency-key", &*key)];
    tokio::select! {
        answer = a.try_post("booking", &headers, json!("ferry")) => panic!("{answer:?}"),
        () = env.keeper.wait_for_intents(1) => {}
    }
    a.kill();
    env.keeper.state.lock().unwrap().reply_delay = Duration::ZERO;
    let answer = book(&b, &key, "1000", json!("ferry")).await;
    assert_eq!(
        status_and_outcome(&answer),
        (502, "unknown".to_owned()),
        "{}",
        answer.text()
    );
    assert_eq!(booking_endpoint.calls().len(), 0);
}

#[tokio::test]
async fn a_gate_killed_between_send_and_result_is_not_repeated_by_another() {
    let env = Env::start().await;
    let (mut a, b) = (env.gate("a").await, env.gate("b").await);
    let booking_endpoint = start_booking_endpoint(|_| Reply::Silent).await;
    a.announce(&booking_endpoint).await;
    b.announce(&booking_endpoint).await;
    let key = key();
    let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "10000")];
    tokio::select! {
        answer = a.try_post("booking", &headers, json!("ferry")) => panic!("{answer:?}"),
        () = booking_endpoint.wait_for_calls(1) => {}
    }
    a.kill();
    let answer = book(&b, &key, "1000", json!("ferry")).await;
    assert_eq!(
        status_and_outcome(&answer),
        (502, "unknown".to_owned()),
        "{}",
        answer.text()
    );
    assert_eq!(booking_endpoint.calls().len(), 1);
}

#[tokio::test]
async fn a_refused_connection_is_tried_elsewhere_and_costs_no_intent() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let down = FakeEndpoint::unreachable("book-0", "book").await;
    let booking_endpoint = start_booking_endpoint(|_| booked()).await;
    gate.announce(&down).await;
    gate.announce(&booking_endpoint).await;
    for _ in 0..6 {
        let answer = book(&gate, &key(), "5000", json!("ferry")).await;
        assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
    }
    assert_eq!(booking_endpoint.calls().len(), 6);
    assert_eq!(env.keeper.state.lock().unwrap().intents, 6);
}

#[tokio::test]
async fn an_explicit_refusal_releases_the_key() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let booking_endpoint = start_booking_endpoint(|call| match call.nth {
        0..4 => not_run(),
        _ => booked(),
    })
    .await;
    gate.announce(&booking_endpoint).await;
    let key = key();
    let answer = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(
        status_and_outcome(&answer),
        (503, "not_run".to_owned()),
        "{}",
        answer.text()
    );
    let again = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(again.json()["output"], "booked", "{}", again.text());
}

#[tokio::test]
async fn an_answer_that_was_lost_is_unknown_and_never_sent_again() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let booking_endpoint = start_booking_endpoint(|call| match call.body["input"].as_str() {
        Some("error") => Reply::Status(500, Vec::new(), "boom".to_owned()),
        Some("crossed") => Reply::WrongCallId(output(&json!("someone else's"))),
        Some("crossed refusal") => Reply::RefusalWithWrongCallId,
        _ => Reply::CloseConnection,
    })
    .await;
    gate.announce(&booking_endpoint).await;
    for input in ["hang up", "error", "crossed", "crossed refusal"] {
        let key = key();
        for _ in 0..2 {
            let answer = book(&gate, &key, "2000", json!(input)).await;
            assert_eq!(
                status_and_outcome(&answer),
                (502, "unknown".to_owned()),
                "{}",
                answer.text()
            );
        }
    }
    assert_eq!(booking_endpoint.calls().len(), 4);
}

#[tokio::test]
async fn a_refusal_by_the_service_is_stored_as_failed() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let booking_endpoint =
        start_booking_endpoint(|_| Reply::Status(409, Vec::new(), "already reserved".to_owned()))
            .await;
    gate.announce(&booking_endpoint).await;
    let key = key();
    for _ in 0..2 {
        let answer = book(&gate, &key, "2000", json!("watch")).await;
        assert_eq!(
            status_and_outcome(&answer),
            (502, "failed".to_owned()),
            "{}",
            answer.text()
        );
        assert!(answer.text().contains("already reserved"));
    }
    assert_eq!(booking_endpoint.calls().len(), 1);
}

#[tokio::test]
async fn a_result_after_the_deadline_is_kept_for_the_next_ask() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let booking_endpoint = start_booking_endpoint(|_| {
        Reply::Delayed(Duration::from_millis(600), output(&json!("booked")))
    })
    .await;
    gate.announce(&booking_endpoint).await;
    let key = key();
    let late = book(&gate, &key, "200", json!("ferry")).await;
    assert_eq!(
        status_and_outcome(&late),
        (504, "unknown".to_owned()),
        "{}",
        late.text()
    );
    let again = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(again.json()["output"], "booked", "{}", again.text());
    assert_eq!(booking_endpoint.calls().len(), 1);
}

#[tokio::test]
async fn a_repeat_does_not_run_the_stages_before_the_booking_again() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("slot 3")))).await;
    let booking_endpoint =
        start_booking_endpoint(|call| Reply::Json(output(&call.body["previous"]))).await;
    gate.announce(&retriever).await;
    gate.announce(&booking_endpoint).await;
    let key = key();
    for _ in 0..2 {
        let headers = [("idempotency-key", &*key)];
        let answer = gate.post("plan-booking", &headers, json!("ferry")).await;
        assert_eq!(answer.json()["output"], "slot 3", "{}", answer.text());
        env.keeper.wait_for_settlements(1).await;
    }
    assert_eq!(
        (retriever.calls().len(), booking_endpoint.calls().len()),
        (1, 1)
    );
    let headers = [("idempotency-key", &*key)];
    let conflict = gate.post("plan-booking", &headers, json!("barge")).await;
    assert_eq!(conflict.status, 409);
    assert_eq!(retriever.calls().len(), 1);
}

#[tokio::test]
async fn an_output_too_large_to_keep_is_told_as_completed() {
    let env = Env::start().await;
    let gate = env
        .gate_with("g", "[limits]\nstored_output_bytes = 8\n")
        .await;
    let booking_endpoint =
        start_booking_endpoint(|_| Reply::Json(output(&json!("a long confirmation")))).await;
    gate.announce(&booking_endpoint).await;
    let key = key();
    let first = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(first.json()["output"], "a long confirmation");
    let again = book(&gate, &key, "5000", json!("ferry")).await;
    assert_eq!(
        status_and_outcome(&again),
        (200, "completed".to_owned()),
        "{}",
        again.text()
    );
    assert_eq!(again.json()["output_not_kept"], 21);
    assert_eq!(booking_endpoint.calls().len(), 1);
}

/// A gate that knows no endpoint refuses a request before it claims the key.
#[tokio::test]
async fn a_gate_without_endpoints_asks_the_ledger_before_it_refuses() {
    let (env, a, booking_endpoint) = start_with_endpoint().await;
    let b = env.gate("b").await;
    let key = key();
    let answer = book(&a, &key, "5000", json!("ferry")).await;
    assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
    let answer = book(&b, &key, "5000", json!("ferry")).await;
    assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
    let answer = book(&b, &key, "5000", json!("barge")).await;
    assert_eq!(answer.status, 409, "{}", answer.text());
    let answer = book(&b, &self::key(), "5000", json!("ferry")).await;
    let expected = (503, "not_run".to_owned());
    assert_eq!(status_and_outcome(&answer), expected, "{}", answer.text());
    env.keeper.set_fault(Fault::NoQuorum);
    let answer = book(&b, &key, "500", json!("ferry")).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
    assert_eq!(booking_endpoint.calls().len(), 1);
}

/// Refused requests wait for the ledger, but only some of them at one time.
#[tokio::test]
async fn refused_requests_load_the_keepers_within_a_limit() {
    const REQUESTS: usize = 100;
    const MAX_VERIFICATIONS: usize = 64;
    let env = Env::start().await;
    let gate = env.gate("g").await;
    env.keeper.set_fault(Fault::NoQuorum);
    let keys: Vec<String> = (0..REQUESTS).map(|_| key()).collect();
    let requests = keys.iter().map(|key| book(&gate, key, "20000", json!(1)));
    let answers = join_all(requests).await;
    for answer in &answers {
        let expected = (502, "unknown".to_owned());
        assert_eq!(status_and_outcome(answer), expected, "{}", answer.text());
    }
    let asked = answers.iter().filter(|a| a.json()["step"] == "ledger");
    assert_eq!(asked.count(), MAX_VERIFICATIONS);
}

#[tokio::test]
async fn a_repeat_waits_for_a_quorum_that_is_lost_for_a_short_time() {
    let (env, a, booking_endpoint) = start_with_endpoint().await;
    let b = env.gate("b").await;
    b.announce(&booking_endpoint).await;
    let key = key();
    let answer = book(&a, &key, "5000", json!("ferry")).await;
    assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
    env.keeper.set_fault(Fault::NoQuorum);
    let outage = async {
        sleep(Duration::from_millis(2_500)).await;
        env.keeper.set_fault(Fault::None);
    };
    let new_key = self::key();
    let (old, new, ()) = tokio::join!(
        book(&b, &key, "10000", json!("ferry")),
        book(&b, &new_key, "10000", json!("ferry")),
        outage
    );
    for answer in [old, new] {
        assert_eq!(answer.json()["output"], "booked", "{}", answer.text());
    }
    assert_eq!(booking_endpoint.calls().len(), 2);
}

#[tokio::test]
async fn without_a_quorum_for_long_the_outcome_is_unknown_at_once() {
    let (env, gate, booking_endpoint) = start_with_endpoint().await;
    env.keeper.set_fault(Fault::NoQuorum);
    let expected = (502, "unknown".to_owned());
    for _ in 0..2 {
        let answer = book(&gate, &key(), "60000", json!("ferry")).await;
        assert_eq!(status_and_outcome(&answer), expected, "{}", answer.text());
        assert!(answer.json()["retry_after_ms"].as_u64().unwrap() > 0);
        assert!(answer.headers.contains_key("retry-after"));
    }
    assert!(booking_endpoint.calls().is_empty());
}

/// The refusal comes before the deadline and names the ledger, whichever step waited for it; it is not
/// an unexplained 504 at the deadline.
#[tokio::test]
async fn bookings_that_wait_for_the_ledger_are_refused_with_its_error_in_time() {
    const ROUNDS: u64 = 4;
    /// Bookings at a time; few enough for one endpoint.
    const BOOKINGS: u64 = 10;
    let (env, gate, booking_endpoint) = start_with_endpoint().await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    for (fault, pipeline) in [
        (Fault::LostReplies, "booking"),
        (Fault::NoQuorum, "booking"),
        (Fault::NoQuorum, "plan-booking"),
    ] {
        for round in 0..ROUNDS {
            // Endpoints repeat their announcements, or they expire.
            gate.announce(&booking_endpoint).await;
            gate.announce(&retriever).await;
            env.keeper.set_fault(fault);
            let requests = (0..BOOKINGS).map(|n| {
                let (gate, key) = (&gate, key());
                let deadline_ms = (200 + BOOKINGS * round + n).to_string();
                async move {
                    let headers = [
                        ("idempotency-key", &*key),
                        ("jujube-deadline-ms", &*deadline_ms),
                    ];
                    gate.post(pipeline, &headers, json!("ferry")).await
                }
            });
            for answer in join_all(requests).await {
                let expected = (502, "unknown".to_owned());
                assert_eq!(status_and_outcome(&answer), expected, "{}", answer.text());
                assert_eq!(answer.json()["step"], "ledger", "{}", answer.text());
            }
            env.keeper.set_fault(Fault::None);
        }
    }
    assert!(booking_endpoint.calls().is_empty());
}

/// The earlier request booked; the repeat fails at the stage after the booking.
#[tokio::test]
async fn a_repeat_that_fails_after_the_stored_booking_is_unknown() {
    let (_env, gate, booking_endpoint) = start_with_endpoint().await;
    let key = key();
    let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "5000")];
    for _ in 0..2 {
        let answer = gate.post("booking-notice", &headers, json!(1)).await;
        let expected = (502, "unknown".to_owned());
        assert_eq!(status_and_outcome(&answer), expected, "{}", answer.text());
    }
    assert_eq!(booking_endpoint.calls().len(), 1);
}

/// The ledger grants the key of the second stage, which then does not run; the first one has run for
/// the earlier request.
#[tokio::test]
async fn a_repeat_whose_second_unrepeatable_stage_is_refused_is_unknown() {
    let (_env, gate, booking_endpoint) = start_with_endpoint().await;
    let drafting_endpoint = FakeEndpoint::start("draft-1", "draft", |_| not_run()).await;
    gate.announce(&drafting_endpoint).await;
    let key = key();
    let headers = [("idempotency-key", &*key), ("jujube-deadline-ms", "5000")];
    for _ in 0..2 {
        let answer = gate.post("booking-draft", &headers, json!(1)).await;
        assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
        assert_eq!(answer.status, 502, "{}", answer.text());
    }
    assert_eq!(booking_endpoint.calls().len(), 1);
    assert!(!drafting_endpoint.calls().is_empty());
}

#[tokio::test]
async fn a_refusal_before_the_key_was_looked_up_says_nothing_about_it() {
    let env = Env::start().await;
    let gate = env.gate("g").await;
    let key = key();
    let headers = [("idempotency-key", &*key)];
    let answer = gate.post("no-such-pipeline", &headers, json!(1)).await;
    assert_eq!((answer.status, answer.outcome()), (404, String::new()));
    let answer = gate.post("no-such-pipeline", &[], json!(1)).await;
    assert_eq!((answer.status, &*answer.outcome()), (404, "not_run"));
}
