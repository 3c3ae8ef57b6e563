//! A cut off availability zone serves what it can, refuses the rest truthfully and catches up.

use std::time::Duration;

use bench::stand_in::Fault;
use declaration::SectionId;
use system::{CallerRequest, Env, booking, new_key, wait_until};
use tokio::time::sleep;

const CUT: &str = "monastir-a";
const CUT_VM: &str = "monastir-a-1";

/// No keeper goes on with a question of a gate for longer.
const LONGEST_QUESTION: Duration = Duration::from_secs(3);
/// By how much bookings are slowed, so that a fault meets them in the middle.
const SLOW_DOWN: f64 = 100.0;

fn slow_desks(env: &Env, fault: Fault) {
    let desks = env.endpoints().iter();
    let desks = desks.filter(|e| e.name().starts_with("ledger-desk"));
    desks.for_each(|desk| desk.set_fault(fault));
}

fn dealers_of_monastir(request: CallerRequest) -> CallerRequest {
    CallerRequest {
        workspace: "monastir-dealers",
        ..request
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_availability_zone_serves_what_repeats_and_refuses_bookings() {
    let env = Env::start().await;
    env.cut_off(CUT);
    let gate = env.gate(CUT_VM).http;
    for n in 0..5 {
        let question = dealers_of_monastir(CallerRequest::question(&format!("question {n}")));
        let response = question.send(gate).await.unwrap();
        assert_eq!(response.outcome, "completed", "{response:?}");
    }
    let key = new_key();
    let refused = dealers_of_monastir(booking(key)).send(gate).await.unwrap();
    assert_eq!(refused.outcome, "not_run", "{refused:?}");
    assert_eq!(env.execution_count(key), 0);
    env.heal(CUT);
    let response = wait_until("bookings work again", async || {
        let response = dealers_of_monastir(booking(key)).send(gate).await.ok()?;
        (response.outcome == "completed").then_some(response)
    })
    .await;
    assert_eq!(env.execution_count(key), 1, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_others_go_on_booking_and_changing() {
    let env = Env::start().await;
    env.cut_off(CUT);
    let key = new_key();
    let gate = env.gate("sousse-a-1").http;
    wait_until("the majority books", async || {
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
    env.heal(CUT);
    env.wait_for_revision(&[CUT_VM], revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_that_restarts_while_cut_off_starts_from_its_neighbour() {
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
async fn a_result_told_within_a_cut_availability_zone_outlives_its_gate() {
    let mut env = Env::start().await;
    slow_desks(&env, Fault::Slow(SLOW_DOWN));
    let key = new_key();
    let gate = env.gate("monastir-a-1").http;
    let asked = tokio::spawn(async move { dealers_of_monastir(booking(key)).send(gate).await });
    wait_until("the booking has begun", async || {
        (env.execution_count(key) == 1).then_some(())
    })
    .await;
    env.cut_off(CUT);
    let response = asked.await.unwrap().unwrap();
    assert_eq!(response.outcome, "completed", "{response:?}");
    env.kill_gate(CUT_VM).await;
    sleep(LONGEST_QUESTION).await;
    env.heal(CUT);
    slow_desks(&env, Fault::None);
    let gate = env.gate("sousse-a-1").http;
    let again = wait_until("the result is known", async || {
        let again = dealers_of_monastir(booking(key)).send(gate).await.ok()?;
        (again.outcome == "completed").then_some(again)
    })
    .await;
    assert_eq!(again.body["output"], response.body["output"]);
    assert_eq!(env.execution_count(key), 1);
}
