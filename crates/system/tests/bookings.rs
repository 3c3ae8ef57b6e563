//! Bookings run at most once and their outcome is reported correctly while processes are killed,
//! frozen or lose their links.

use std::{net::SocketAddr, sync::Arc};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use system::{CallerRequest, CallerResponse, Env, KEEPER_VMS, booking, new_key, wait_until};
use tokio::task::JoinSet;
use uuid::Uuid;

const BOOKINGS: usize = 60;
/// Number of `unknown` outcomes after which a caller stops retrying.
const MAX_UNKNOWN_OUTCOMES: usize = 8;

/// A booking with all responses to its caller, in order.
#[derive(Debug)]
struct BookingResult {
    key: Uuid,
    responses: Vec<CallerResponse>,
}

/// Sends one booking to the gates in turn, under the same key, until it has completed.
/// An unknown outcome may become known later, so the caller retries; the retries are limited, since
/// the outcome stays unknown if the gate died.
async fn book_until_completed(gates: Arc<Vec<SocketAddr>>, first: usize) -> BookingResult {
    let key = new_key();
    let mut responses = Vec::new();
    for attempt in 0..200 {
        let gate = gates[(first + attempt) % gates.len()];
        if let Ok(response) = booking(key).send(gate).await {
            let is_completed = response.outcome == "completed";
            responses.push(response);
            let unknown = responses
                .iter()
                .filter(|response| response.outcome == "unknown")
                .count();
            if is_completed || unknown == MAX_UNKNOWN_OUTCOMES {
                break;
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    BookingResult { key, responses }
}

async fn book_during(
    env: &mut Env,
    gates: Vec<SocketAddr>,
    fault: impl AsyncFnOnce(&mut Env),
) -> Vec<BookingResult> {
    let gates = Arc::new(gates);
    let mut callers = JoinSet::new();
    for caller in 0..BOOKINGS {
        let gates = Arc::clone(&gates);
        callers.spawn(async move {
            let delay = std::time::Duration::from_millis(20 * caller as u64);
            tokio::time::sleep(delay).await;
            book_until_completed(gates, caller).await
        });
    }
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    fault(env).await;
    callers.join_all().await
}

/// Asserts that each booking ran at most once, and that its last outcome is `completed` with
/// one run, or `unknown`.
fn assert_consistent(env: &Env, bookings: &[BookingResult]) {
    for booking_result in bookings {
        let runs = env.execution_count(booking_result.key);
        let last = booking_result
            .responses
            .last()
            .map_or("", |response| response.outcome.as_str());
        assert!(
            runs <= 1,
            "{} ran {runs} times: {:?}",
            booking_result.key,
            booking_result.responses
        );
        match last {
            "completed" => assert_eq!(
                runs, 1,
                "{} completed without a run: {:?}",
                booking_result.key, booking_result.responses
            ),
            "unknown" => {}
            _ => panic!(
                "{} has no final outcome: {:?}",
                booking_result.key, booking_result.responses
            ),
        }
    }
}

fn assert_all_completed(bookings: &[BookingResult]) {
    for booking_result in bookings {
        let last = booking_result
            .responses
            .last()
            .map_or("", |response| response.outcome.as_str());
        assert_eq!(last, "completed", "{booking_result:?}");
    }
}

fn all_gates(env: &Env) -> Vec<SocketAddr> {
    system::VM_NAMES
        .iter()
        .map(|vm| env.gate(vm).http)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_complete_when_the_leading_keeper_is_killed() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let bookings = book_during(&mut env, gates, async |env: &mut Env| {
        let leader = env.leader(&KEEPER_VMS).await;
        env.kill_keeper(leader).await;
    })
    .await;
    assert_consistent(&env, &bookings);
    // The endpoints did not fail, so no result was lost.
    assert_all_completed(&bookings);
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_at_most_once_when_a_gate_is_killed() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let bookings = book_during(&mut env, gates, async |env: &mut Env| {
        env.kill_gate("sousse-a-1").await;
    })
    .await;
    assert_consistent(&env, &bookings);
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_at_most_once_when_all_keepers_are_restarted() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let bookings = book_during(&mut env, gates, async |env: &mut Env| {
        for vm in KEEPER_VMS {
            env.kill_keeper(vm).await;
        }
        for vm in KEEPER_VMS {
            env.start_keeper(vm).await;
        }
    })
    .await;
    assert_consistent(&env, &bookings);
}

/// While all keepers restart, no gate can ask the ledger. A completed booking that is sent again
/// then gets its result or an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn completed_booking_is_never_reported_as_not_run_while_keepers_restart() {
    const SEED: u64 = 30;
    const ROUNDS: usize = 4;
    const RESENDS: usize = 24;
    const MAX_DELAY_MS: u64 = 1_000;
    const OUTAGE_MS: std::ops::Range<u64> = 500..2_000;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    for round in 0..ROUNDS {
        let first = book_until_completed(Arc::new(gates.clone()), round).await;
        for vm in KEEPER_VMS {
            env.kill_keeper(vm).await;
        }
        let mut callers = JoinSet::new();
        for _ in 0..RESENDS {
            let gate = gates[rng.random_range(0..gates.len())];
            let delay = std::time::Duration::from_millis(rng.random_range(0..MAX_DELAY_MS));
            callers.spawn(async move {
                tokio::time::sleep(delay).await;
                booking(first.key).send(gate).await
            });
        }
        let outage = std::time::Duration::from_millis(rng.random_range(OUTAGE_MS));
        tokio::time::sleep(outage).await;
        for vm in KEEPER_VMS {
            env.start_keeper(vm).await;
        }
        for response in callers.join_all().await {
            let response = response.unwrap();
            assert!(
                matches!(&*response.outcome, "completed" | "unknown"),
                "{response:?}"
            );
        }
        assert_eq!(env.execution_count(first.key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_sent_to_all_gates_at_once_runs_once() {
    let env = Env::start().await;
    for _ in 0..10 {
        let key = new_key();
        let mut callers = JoinSet::new();
        for gate in all_gates(&env) {
            callers.spawn(async move { booking(key).send(gate).await });
        }
        let responses = callers.join_all().await;
        assert_eq!(env.execution_count(key), 1, "{responses:?}");
        let responses: Vec<CallerResponse> = responses.into_iter().map(Result::unwrap).collect();
        let outputs: Vec<_> = responses
            .iter()
            .filter(|t| t.outcome == "completed")
            .collect();
        assert!(!outputs.is_empty(), "{responses:?}");
        assert!(
            outputs
                .iter()
                .all(|t| t.body["output"] == outputs[0].body["output"])
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn different_input_under_the_same_key_is_a_conflict() {
    let env = Env::start().await;
    let key = new_key();
    let gate = env.gate("sousse-a-1").http;
    assert_eq!(booking(key).send(gate).await.unwrap().outcome, "completed");
    let other = CallerRequest {
        input: serde_json::json!({ "piece": "another" }),
        ..booking(key)
    };
    let response = other.send(env.gate("monastir-a-1").http).await.unwrap();
    assert_eq!(response.status, 409, "{response:?}");
    assert_eq!(env.execution_count(key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_complete_when_open_links_go_silent() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let bookings = book_during(&mut env, gates, async |env: &mut Env| {
        env.silence_open_links();
    })
    .await;
    assert_consistent(&env, &bookings);
    assert_all_completed(&bookings);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader_that_resumes_grants_nothing_twice() {
    use bench::processes::Signal;
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let bookings = book_during(&mut env, gates, async |env: &mut Env| {
        let leader = env.leader(&KEEPER_VMS).await;
        env.signal_keeper(leader, Signal::STOP);
        let others: Vec<&str> = KEEPER_VMS.into_iter().filter(|vm| *vm != leader).collect();
        env.leader(&others).await;
        env.signal_keeper(leader, Signal::CONT);
    })
    .await;
    assert_consistent(&env, &bookings);
}

#[tokio::test(flavor = "multi_thread")]
async fn ledger_reports_the_outcome_of_a_booking() {
    let env = Env::start().await;
    let key = new_key();
    booking(key)
        .send(env.gate("sousse-a-1").http)
        .await
        .unwrap();
    let url = format!("http://{}/v1/requests/{key}", env.gate("sousse-b-1").http);
    let response = wait_until("the ledger answers", async || {
        let client = host::client::Client::new(std::time::Duration::from_secs(5));
        client
            .get(&url)
            .await
            .ok()
            .filter(|a| a.status.is_success())
    })
    .await;
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(body["outcome"], "completed", "{body}");
}
