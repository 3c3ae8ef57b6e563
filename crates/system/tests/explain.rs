//! `jujubeferry explain` shows the cause of a failed `/v1` request, given only its id.

use bench::stand_in::Fault;
use system::{CallerRequest, CallerResponse, Env, booking, new_key, wait_until};

/// VM whose gate receives the requests; it is the only one in its availability zone.
const VM: &str = "monastir-a-1";
const AZ: &str = "monastir-a";

fn as_monastir_dealers(request: CallerRequest) -> CallerRequest {
    CallerRequest {
        workspace: "monastir-dealers",
        ..request
    }
}

fn set_fault(env: &Env, service: &str, fault: Fault) {
    let endpoints = env.endpoints().iter();
    let endpoints = endpoints.filter(|e| e.name().starts_with(service));
    endpoints.for_each(|endpoint| endpoint.set_fault(fault));
}

async fn explain(env: &Env, response: &CallerResponse) -> String {
    let id = response.body["request"]
        .as_str()
        .expect("the response contains the request id");
    env.explain(id).await
}

#[track_caller]
fn assert_contains(explanation: &str, parts: &[&str]) {
    for part in parts {
        assert!(
            explanation.contains(part),
            "{part} is not in\n{explanation}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_refused_by_every_endpoint() {
    let env = Env::start().await;
    set_fault(&env, "appraise-llm", Fault::Refuse);
    let request = as_monastir_dealers(CallerRequest::question("what is it worth"));
    let response = request.send(env.gate(VM).http).await.unwrap();
    assert_eq!(response.outcome, "not_run", "{response:?}");
    let explanation = explain(&env, &response).await;
    assert_contains(
        &explanation,
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
async fn booking_whose_result_was_lost_with_the_connection() {
    let env = Env::start().await;
    set_fault(&env, "ledger-desk", Fault::CloseEarly);
    let request = as_monastir_dealers(booking(new_key()));
    let response = request.send(env.gate(VM).http).await.unwrap();
    assert_eq!(response.outcome, "unknown", "{response:?}");
    let explanation = explain(&env, &response).await;
    assert_contains(
        &explanation,
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
async fn booking_refused_in_a_zone_without_a_quorum() {
    let env = Env::start().await;
    env.cut_off(AZ);
    let gate = env.gate(VM).http;
    let response = wait_until("the ledger is unreachable", async || {
        let response = as_monastir_dealers(booking(new_key()))
            .send(gate)
            .await
            .ok()?;
        (response.outcome == "unknown").then_some(response)
    })
    .await;
    let explanation = explain(&env, &response).await;
    assert_contains(
        &explanation,
        &[
            ": lost after",
            "at-most-once ledger",
            "ledger",
            "service ledger-desk",
            "consensus",
        ],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn served_request_names_its_endpoint_and_rejected_request_its_fault() {
    let env = Env::start().await;
    let gate = env.gate(VM).http;
    let request = as_monastir_dealers(CallerRequest::question("how old is it"));
    let response = request.send(gate).await.unwrap();
    assert_eq!(response.outcome, "completed", "{response:?}");
    let explanation = explain(&env, &response).await;
    assert_contains(
        &explanation,
        &[": served with 200 by appraise-llm-", "route question"],
    );
    let bad = CallerRequest {
        workspace: "nobody",
        ..CallerRequest::question("how old is it")
    };
    let explanation = explain(&env, &bad.send(gate).await.unwrap()).await;
    assert_contains(
        &explanation,
        &[": rejected after", "workspace `nobody` is not declared"],
    );
}
