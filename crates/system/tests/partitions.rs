//! A partitioned availability zone serves repeatable requests, rejects bookings as not run, and
//! catches up once the partition is healed.

use std::time::Duration;

use bench::stand_in::Fault;
use declaration::SectionId;
use system::{CallerRequest, Env, booking, new_key, wait_until};
use tokio::time::sleep;

const CUT_AZ: &str = "monastir-a";
const CUT_VM: &str = "monastir-a-1";

/// Upper bound on the time that a keeper continues to handle a gate's request.
const MAX_KEEPER_REQUEST_DURATION: Duration = Duration::from_secs(3);
/// Factor by which bookings are slowed, so that they are still running when a fault is injected.
const SLOWDOWN_FACTOR: f64 = 100.0;

fn set_ledger_desk_fault(env: &Env, fault: Fault) {
    let desks = env.endpoints().iter();
    let desks = desks.filter(|e| e.name().starts_with("ledger-desk"));
    desks.for_each(|desk| desk.set_fault(fault));
}

fn as_monastir_dealers(request: CallerRequest) -> CallerRequest {
    CallerRequest {
        workspace: "monastir-dealers",
        ..request
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_serves_repeatable_requests_and_rejects_bookings() {
    let env = Env::start().await;
    env.cut_off(CUT_AZ);
    let gate = env.gate(CUT_VM).http;
    for n in 0..5 {
        let request = as_monastir_dealers(CallerRequest::question(&format!("question {n}")));
        let response = request.send(gate).await.unwrap();
        assert_eq!(response.outcome, "completed", "{response:?}");
    }
    let key = new_key();
    let rejected = as_monastir_dealers(booking(key)).send(gate).await.unwrap();
    assert_eq!(rejected.outcome, "unknown", "{rejected:?}");
    assert!(matches!(rejected.status, 502 | 504), "{rejected:?}");
    assert_eq!(env.execution_count(key), 0);
    env.heal(CUT_AZ);
    let response = wait_until("bookings work again", async || {
        let response = as_monastir_dealers(booking(key)).send(gate).await.ok()?;
        (response.outcome == "completed").then_some(response)
    })
    .await;
    assert_eq!(env.execution_count(key), 1, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn majority_continues_bookings_and_changes() {
    let env = Env::start().await;
    env.cut_off(CUT_AZ);
    let key = new_key();
    let gate = env.gate("sousse-a-1").http;
    wait_until("the majority completes a booking", async || {
        let response = booking(key).send(gate).await.ok()?;
        (response.outcome == "completed").then_some(())
    })
    .await;
    assert_eq!(env.execution_count(key), 1);
    let mut document = env.api().declaration().await.unwrap().document;
    let id: SectionId = "pipeline stock-query".parse().unwrap();
    let section = document.sections.get_mut(&id).unwrap();
    section
        .entries
        .insert("deadline_ms".to_owned(), "900".to_owned());
    let revision = env.submit_declaration(&document.write(), "shorter").await;
    env.wait_for_revision(&["sousse-a-1", "sousse-a-2", "sousse-b-1"], revision)
        .await;
    env.heal(CUT_AZ);
    env.wait_for_revision(&[CUT_VM], revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gate_restarted_in_a_partition_gets_its_state_from_a_neighbour() {
    let mut env = Env::start().await;
    env.cut_off("sousse-a");
    env.kill_keeper("sousse-a-1").await;
    env.kill_gate("sousse-a-2").await;
    env.start_gate("sousse-a-2").await;
    env.wait_until_gate_ready("sousse-a-2").await;
    let gate = env.gate("sousse-a-2").http;
    let response = CallerRequest::question("who is there")
        .send(gate)
        .await
        .unwrap();
    assert_eq!(response.outcome, "completed", "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn result_returned_in_a_partitioned_zone_survives_the_loss_of_its_gate() {
    let mut env = Env::start().await;
    set_ledger_desk_fault(&env, Fault::Slow(SLOWDOWN_FACTOR));
    let key = new_key();
    let gate = env.gate("monastir-a-1").http;
    let call = tokio::spawn(async move { as_monastir_dealers(booking(key)).send(gate).await });
    wait_until("the booking has started", async || {
        (env.execution_count(key) == 1).then_some(())
    })
    .await;
    env.cut_off(CUT_AZ);
    let response = call.await.unwrap().unwrap();
    assert_eq!(response.outcome, "completed", "{response:?}");
    env.kill_gate(CUT_VM).await;
    sleep(MAX_KEEPER_REQUEST_DURATION).await;
    env.heal(CUT_AZ);
    set_ledger_desk_fault(&env, Fault::None);
    let gate = env.gate("sousse-a-1").http;
    let again = wait_until("the result is known", async || {
        let again = as_monastir_dealers(booking(key)).send(gate).await.ok()?;
        (again.outcome == "completed").then_some(again)
    })
    .await;
    assert_eq!(again.body["output"], response.body["output"]);
    assert_eq!(env.execution_count(key), 1);
}
