//! Endpoints that name the request rate that they take, while gates can't reach each other.

mod support;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bench::{
    proxy::{Cut, Rules},
    rate_check::{CONTACT_TIME, WINDOW, allowed, most_in_window},
    stand_in::StandIn,
};
use futures_util::future::join_all;
use support::{CallerRequest, Cluster};
use tokio::time::{Instant, sleep};

const GATES: [&str; 3] = ["gate-1", "gate-2", "gate-3"];
/// Requests per second that each endpoint names.
const RATE: f64 = 1.5;
/// Time between the requests of one gate's callers.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends requests to gate `gate` until `until`; returns the number that were served.
async fn call_until(cluster: &Cluster, gate: usize, until: Instant) -> usize {
    let mut served = 0;
    while Instant::now() < until {
        let id = format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let request = CallerRequest {
            gate,
            ..CallerRequest::new("/notices/1", &id)
        };
        let response = cluster.send(request).await;
        served += usize::from(response.is_ok_and(|r| r.status.is_success()));
        sleep(CALL_INTERVAL).await;
    }
    served
}

/// Sends requests to all gates for `time`; returns the numbers that were served, by gate.
async fn call_all(cluster: &Cluster, time: Duration) -> Vec<usize> {
    let until = Instant::now() + time;
    join_all((0..GATES.len()).map(|gate| call_until(cluster, gate, until))).await
}

fn assert_within_rate(endpoint: &StandIn, since: Instant) {
    let most = most_in_window(&endpoint.arrivals(), since, Instant::now());
    let allowed = allowed(RATE);
    let name = endpoint.name();
    assert!(
        most <= allowed,
        "{most} requests to {name} in {WINDOW:?}; allowed {allowed}"
    );
}

/// Guards against gates that each grant themselves the whole rate when they can't reach the one
/// that granted it, and against gates that send nothing at all then.
#[tokio::test(flavor = "multi_thread")]
async fn gates_cut_off_from_each_other_stay_within_the_rate_and_go_on() {
    let cluster = Cluster::start_with(&GATES).await;
    let endpoints = cluster.endpoints.iter();
    let desk: Vec<&StandIn> = endpoints.filter(|e| e.name().starts_with("desk")).collect();
    for endpoint in &desk {
        endpoint.set_limit(Some("1.5"));
    }
    let named_at = Instant::now();
    call_all(&cluster, CONTACT_TIME).await;
    let cut = |cut| move |link: &bench::proxy::Proxy| link.set_rules(Rules::cut(cut));
    cluster.links.iter().for_each(cut(Cut::Both));
    // Loans of before the cut end meanwhile.
    call_all(&cluster, WINDOW).await;
    let served = call_all(&cluster, 2 * WINDOW).await;
    assert!(served.iter().all(|n| *n > 0), "{served:?}");
    cluster.links.iter().for_each(cut(Cut::None));
    call_all(&cluster, 2 * WINDOW).await;
    // One of them is cut off in one direction only.
    cluster.links[..1].iter().for_each(cut(Cut::FromUpstream));
    call_all(&cluster, 2 * WINDOW).await;
    for endpoint in desk {
        assert_within_rate(endpoint, named_at + CONTACT_TIME);
    }
}
