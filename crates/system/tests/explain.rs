//! From the id of a failed `/v1` request to its cause, by `jujubeferry explain` alone.

use bench::stand_in::Fault;
use system::{CallerRequest, CallerResponse, Env, booking, new_key, wait_until};

/// The VM whose gate is asked; its availability zone has no other one.
const VM: &str = "monastir-a-1";
const AZ: &str = "monastir-a";

fn of_monastir(request: CallerRequest) -> CallerRequest {
    CallerRequest {
        workspace: "monastir-dealers",
        ..request
    }
}

fn set(env: &Env, service: &str, fault: Fault) {
    let endpoints = env.endpoints().iter();
    let endpoints = endpoints.filter(|e| e.name().starts_with(service));
    endpoints.for_each(|endpoint| endpoint.set_fault(fault));
}

async fn explained(env: &Env, told: &CallerResponse) -> String {
    let id = told.body["request"]
        .as_str()
        .expect("answers name their id");
    env.explain(id).await
}

#[track_caller]
fn assert_told(told: &str, parts: &[&str]) {
    for part in parts {
        assert!(told.contains(part), "{part} is not in\n{told}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_while_every_endpoint_refuses() {
    let env = Env::start().await;
    set(&env, "appraise-llm", Fault::Refuse);
    let request = of_monastir(CallerRequest::question("what is it worth"));
    let told = request.send(env.gate(VM).http).await.unwrap();
    assert_eq!(told.outcome, "not_run", "{told:?}");
    let told = explained(&env, &told).await;
    assert_told(
        &told,
        &[
            ": refused after",
            "admitted",
            "route question, urgency",
            "workspace monastir-dealers",
            "endpoint appraise-llm-",
            "cached_percent 0",
            "why refused by the endpoint, which did not run it",
            "not_repeated",
        ],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_with_the_endpoints_that_ran_it() {
    let env = Env::start().await;
    set(&env, "ledger-desk", Fault::CloseEarly);
    let request = of_monastir(booking(new_key()));
    let told = request.send(env.gate(VM).http).await.unwrap();
    assert_eq!(told.outcome, "unknown", "{told:?}");
    let told = explained(&env, &told).await;
    assert_told(
        &told,
        &[
            ": lost after",
            "endpoints dealer-portal-",
            "ledger",
            "said granted, service ledger-desk",
            "endpoint ledger-desk-",
            "may_have_run true",
            "why connection lost",
        ],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_in_a_zone_without_a_quorum() {
    let env = Env::start().await;
    env.cut_off(AZ);
    let gate = env.gate(VM).http;
    let told = wait_until("the ledger is out of reach", async || {
        let told = of_monastir(booking(new_key())).send(gate).await.ok()?;
        (told.outcome == "not_run").then_some(told)
    })
    .await;
    let told = explained(&env, &told).await;
    assert_told(
        &told,
        &[
            ": refused after",
            "at-most-once ledger",
            "ledger",
            "service ledger-desk",
            "consensus",
        ],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_went_well_names_its_endpoint_and_bad_input_its_fault() {
    let env = Env::start().await;
    let gate = env.gate(VM).http;
    let request = of_monastir(CallerRequest::question("how old is it"));
    let told = request.send(gate).await.unwrap();
    assert_eq!(told.outcome, "completed", "{told:?}");
    let told = explained(&env, &told).await;
    assert_told(
        &told,
        &[": served with 200 by appraise-llm-", "route question"],
    );
    let bad = CallerRequest {
        workspace: "nobody",
        ..CallerRequest::question("how old is it")
    };
    let told = explained(&env, &bad.send(gate).await.unwrap()).await;
    assert_told(
        &told,
        &[": rejected after", "workspace `nobody` is not declared"],
    );
}
