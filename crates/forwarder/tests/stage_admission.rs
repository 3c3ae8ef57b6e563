//! Admission over all stages of a request, at two gates of which one collects the items.

mod support;

use std::time::Duration;

use bench::stand_in::Fault;
use futures_util::future::join_all;
use hyper::StatusCode;
use support::{CallerRequest, Cluster, GATES, until};
use tokio::time::sleep;
use uuid::Uuid;

const SETTINGS: &str = "[routing]\nstage_admission = graph\nfair_share = workspaces\n";
/// Part of the event that a gate logs if it refuses a request before its first stage.
const REFUSED: &str = "refused before its first stage";
/// Time between two requests; the pool serves one in 96 ms.
const INTERVAL: Duration = Duration::from_millis(15);
const HEADERS: [(&str, &str); 3] = [
    ("accept", "text/event-stream"),
    ("jujube-items", "4,4"),
    ("jujube-deadline-ms", "700"),
];

/// Guards against a gate that learns of the waits only where it collects itself, against refusals
/// without a retry time, and against refusals that go on after the load.
#[tokio::test(flavor = "multi_thread")]
async fn both_gates_refuse_before_the_first_stage_while_the_pool_is_full() {
    let cluster = Cluster::start_routing(&GATES, SETTINGS).await;
    let pools = cluster.endpoints.iter();
    let pool = pools.into_iter().find(|e| e.name().starts_with("ice"));
    pool.unwrap().set_fault(Fault::Slow(2.0));
    until("both gates have refused requests", async || {
        // Spread over time, as waits count only while they are fresh.
        let requests = (0..80).map(|n| {
            let cluster = &cluster;
            async move {
                sleep(INTERVAL * n as u32).await;
                let id = Uuid::now_v7().to_string();
                let request = CallerRequest {
                    gate: n % 2,
                    headers: &HEADERS,
                    ..CallerRequest::new("/plan/1", &id)
                };
                cluster.send(request).await.unwrap()
            }
        });
        for response in join_all(requests).await {
            match response.status {
                StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE => {
                    assert!(response.headers.contains_key("retry-after"));
                }
                other => panic!("{other}\n{}", cluster.logs()),
            }
        }
        let has_refused = |name: &&str| cluster.gate_log(name).contains(REFUSED);
        GATES.iter().all(has_refused).then_some(())
    })
    .await;
    let quiet = CallerRequest {
        headers: &HEADERS,
        ..CallerRequest::new("/plan/1", "quiet")
    };
    let served = cluster.until_status("the pool is free again", quiet, StatusCode::OK);
    served.await;
}
