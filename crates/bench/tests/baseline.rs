//! A baseline gate with stand-ins: announcements, leaving endpoints and outcomes.

use std::{sync::Arc, time::Duration};

use bench::{
    baseline::{BaselineGate, EndpointTable, PickPolicy},
    client::{Answer, Client},
    deployment::{Deployment, DeploymentName},
    output::expected_output,
    stand_in::{self, Fault, Kind, StandIn, StandInConfig},
};
use declaration::Declaration;
use serde_json::{Value, json};

/// An address that refuses connections.
const UNREACHABLE: &str = "http://127.0.0.1:1";

struct Cluster {
    declaration: Declaration,
    gate: BaselineGate,
    stand_ins: Vec<StandIn>,
}

async fn start_cluster() -> Cluster {
    let deployment = Deployment::named(DeploymentName::EscortDesk);
    let declaration = deployment.declaration().unwrap();
    let table = Arc::new(EndpointTable::default());
    let gate = BaselineGate::start(
        "portland",
        PickPolicy::LeastInFlight,
        declaration.clone(),
        table,
    );
    let gate = gate.await.unwrap();
    let services = [
        ("ice-reports", Kind::Pool),
        ("plan-model", Kind::Engine),
        ("vessel-roster", Kind::Plain),
        ("booking-desk", Kind::Plain),
    ];
    let mut stand_ins = Vec::new();
    for (service, kind) in services {
        let mut cfg = StandInConfig::new(service, service, "portland", kind);
        cfg.gates = vec![UNREACHABLE.to_owned(), format!("http://{}", gate.address())];
        cfg.announce_interval = Duration::from_millis(50);
        stand_ins.push(stand_in::start(cfg).await.unwrap());
    }
    let cluster = Cluster {
        declaration,
        gate,
        stand_ins,
    };
    cluster.wait_until_announced().await;
    cluster
}

impl Cluster {
    /// Waits until the gate completes a call to the stand-in that was started last.
    async fn wait_until_announced(&self) {
        for _ in 0..200 {
            if self.call("escort-booking", &json!(1)).await.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the stand-ins were not announced within 4 s");
    }

    async fn call(&self, pipeline: &str, input: &Value) -> Answer {
        let url = format!("http://{}/v1/pipelines/{pipeline}", self.gate.address());
        let headers = [("jujube-workspace", "dispatch"), ("idempotency-key", "k")];
        let body = json!({ "input": input });
        Client::default()
            .post_json(&url, &headers, &body)
            .await
            .unwrap()
    }
}

#[tokio::test]
async fn announced_stand_ins_return_the_expected_output() {
    let cluster = start_cluster().await;
    let input = json!({ "prompt": "[#r1] ice off Owls Head?" });
    let answer = cluster.call("radio-answer", &input).await;
    let wanted = expected_output(&cluster.declaration, "radio-answer", &input);
    assert_eq!(answer.json()["outcome"], "completed");
    assert_eq!(Some(answer.json()["output"].clone()), wanted);
}

#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_new_calls() {
    let cluster = start_cluster().await;
    cluster.stand_ins[0].leave().await;
    let answer = cluster.call("radio-answer", &json!("ice?")).await;
    assert_eq!(answer.json()["outcome"], "not_run");
    assert!(
        cluster.stand_ins[0]
            .journal()
            .iter()
            .all(|entry| entry.call.is_empty())
    );
}

#[tokio::test]
async fn a_booking_whose_response_is_lost_is_unknown() {
    let cluster = start_cluster().await;
    cluster.stand_ins[3].set_fault(Fault::CloseEarly);
    let answer = cluster.call("escort-booking", &json!("tug")).await;
    assert_eq!(answer.json()["outcome"], "unknown");
}
