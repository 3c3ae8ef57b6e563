//! A booking runs at most once, whatever dies in the middle, and callers are told the truth.

use std::{net::SocketAddr, sync::Arc};

use system::{CallerRequest, CallerResponse, Env, KEEPER_VMS, booking, new_key, wait_until};
use tokio::task::JoinSet;
use uuid::Uuid;

const BOOKINGS: usize = 60;
/// Answers `unknown` after which a caller gives up.
const MAX_UNKNOWN: usize = 8;

/// A booking with everything that its caller was told, in order.
#[derive(Debug)]
struct Booked {
    key: Uuid,
    told: Vec<CallerResponse>,
}

/// Sends one booking to the gates in turn, with the same key, until it completed. An outcome that
/// was unknown at first may become known, so the caller asks again; a few times, since one whose
/// gate died stays unknown.
async fn book_until_completed(gates: Arc<Vec<SocketAddr>>, first: usize) -> Booked {
    let key = new_key();
    let mut told = Vec::new();
    for attempt in 0..200 {
        let gate = gates[(first + attempt) % gates.len()];
        if let Ok(answer) = booking(key).send(gate).await {
            let is_completed = answer.outcome == "completed";
            told.push(answer);
            let unknown = told.iter().filter(|told| told.outcome == "unknown").count();
            if is_completed || unknown == MAX_UNKNOWN {
                break;
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    Booked { key, told }
}

async fn book_during(
    env: &mut Env,
    gates: Vec<SocketAddr>,
    fault: impl AsyncFnOnce(&mut Env),
) -> Vec<Booked> {
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

/// What must hold of every booking, whatever happened.
fn assert_honest(env: &Env, booked: &[Booked]) {
    for one in booked {
        let runs = env.execution_count(one.key);
        let last = one.told.last().map_or("", |told| told.outcome.as_str());
        assert!(runs <= 1, "{} ran {runs} times: {:?}", one.key, one.told);
        match last {
            "completed" => assert_eq!(
                runs, 1,
                "{} completed without a run: {:?}",
                one.key, one.told
            ),
            "unknown" => {}
            _ => panic!("{} came to no end: {:?}", one.key, one.told),
        }
    }
}

fn assert_all_completed(booked: &[Booked]) {
    for one in booked {
        let last = one.told.last().map_or("", |told| told.outcome.as_str());
        assert_eq!(last, "completed", "{one:?}");
    }
}

fn all_gates(env: &Env) -> Vec<SocketAddr> {
    system::VM_NAMES
        .iter()
        .map(|vm| env.gate(vm).http)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_leading_keeper_is_killed_during_bookings() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let booked = book_during(&mut env, gates, async |env: &mut Env| {
        let leader = env.leader(&KEEPER_VMS).await;
        env.kill_keeper(leader).await;
    })
    .await;
    assert_honest(&env, &booked);
    // The endpoints did not fail, so that no result was lost.
    assert_all_completed(&booked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_is_killed_during_bookings() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let booked = book_during(&mut env, gates, async |env: &mut Env| {
        env.kill_gate("sousse-a-1").await;
    })
    .await;
    assert_honest(&env, &booked);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_keepers_are_killed_and_started_again_during_bookings() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let booked = book_during(&mut env, gates, async |env: &mut Env| {
        for vm in KEEPER_VMS {
            env.kill_keeper(vm).await;
        }
        for vm in KEEPER_VMS {
            env.start_keeper(vm).await;
        }
    })
    .await;
    assert_honest(&env, &booked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_sent_to_all_gates_at_once_runs_once() {
    let env = Env::start().await;
    for _ in 0..10 {
        let key = new_key();
        let mut callers = JoinSet::new();
        for gate in all_gates(&env) {
            callers.spawn(async move { booking(key).send(gate).await });
        }
        let told = callers.join_all().await;
        assert_eq!(env.execution_count(key), 1, "{told:?}");
        let told: Vec<CallerResponse> = told.into_iter().map(Result::unwrap).collect();
        let outputs: Vec<_> = told.iter().filter(|t| t.outcome == "completed").collect();
        assert!(!outputs.is_empty(), "{told:?}");
        assert!(
            outputs
                .iter()
                .all(|t| t.body["output"] == outputs[0].body["output"])
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_body_under_the_same_key_is_a_conflict() {
    let env = Env::start().await;
    let key = new_key();
    let gate = env.gate("sousse-a-1").http;
    assert_eq!(booking(key).send(gate).await.unwrap().outcome, "completed");
    let other = CallerRequest {
        input: serde_json::json!({ "piece": "another" }),
        ..booking(key)
    };
    let told = other.send(env.gate("monastir-a-1").http).await.unwrap();
    assert_eq!(told.status, 409, "{told:?}");
    assert_eq!(env.execution_count(key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn links_that_go_silent_cost_no_booking() {
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let booked = book_during(&mut env, gates, async |env: &mut Env| {
        env.silence_open_links();
    })
    .await;
    assert_honest(&env, &booked);
    assert_all_completed(&booked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_that_wakes_up_grants_nothing_twice() {
    use bench::processes::Signal;
    let mut env = Env::start().await;
    let gates = all_gates(&env);
    let booked = book_during(&mut env, gates, async |env: &mut Env| {
        let leader = env.leader(&KEEPER_VMS).await;
        env.signal_keeper(leader, Signal::STOP);
        let others: Vec<&str> = KEEPER_VMS.into_iter().filter(|vm| *vm != leader).collect();
        env.leader(&others).await;
        env.signal_keeper(leader, Signal::CONT);
    })
    .await;
    assert_honest(&env, &booked);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_ledger_tells_what_became_of_a_booking() {
    let env = Env::start().await;
    let key = new_key();
    booking(key)
        .send(env.gate("sousse-a-1").http)
        .await
        .unwrap();
    let url = format!("http://{}/v1/requests/{key}", env.gate("sousse-b-1").http);
    let told = wait_until("the ledger answers", async || {
        let client = host::client::Client::new(std::time::Duration::from_secs(5));
        client
            .get(&url)
            .await
            .ok()
            .filter(|a| a.status.is_success())
    })
    .await;
    let body: serde_json::Value = serde_json::from_slice(&told.body).unwrap();
    assert_eq!(body["outcome"], "completed", "{body}");
}
