//! Endpoints that name the request rate that they take from all gates together.

mod env;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bench::{
    proxy::Proxy,
    rate_check::{CONTACT_TIME, WINDOW, allowed, most_in_window},
};
use env::{
    Env, Gate,
    fake_endpoint::{FakeEndpoint, Reply, output},
};
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep};

const GATES: usize = 3;
/// Requests per second that the endpoint names.
const RATE: f64 = 1.5;
/// Time between the requests of one gate's callers.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between announcements of an endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Starts gates of one availability zone that know each other.
async fn start_gates(env: &Env) -> (Vec<Gate>, Vec<Proxy>) {
    let mut links = Vec::new();
    for _ in 0..GATES {
        links.push(Proxy::start(0).await.unwrap());
    }
    let mut gates = Vec::new();
    for n in 0..GATES {
        let others = (0..GATES).filter(|other| *other != n);
        let others = others.map(|other| format!("g{other} = {}\n", links[other].address()));
        let settings = format!("[gates]\n{}", others.collect::<String>());
        let gate = env.gate_with(&format!("g{n}"), &settings).await;
        links[n].set_upstream(gate.link);
        gates.push(gate);
    }
    (gates, links)
}

/// Sends requests to `gate` for `time`; returns the numbers that were answered with 200 and with
/// another status.
async fn call_for(gate: &Gate, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < until {
        let answer = gate.post("find", &[], json!("x")).await;
        match answer.status {
            200 => served += 1,
            _ => {
                assert_eq!((answer.status, &*answer.outcome()), (503, "not_run"));
                assert!(answer.headers.contains_key("retry-after"));
                refused += 1;
            }
        }
        sleep(CALL_INTERVAL).await;
    }
    (served, refused)
}

/// Sends requests to all gates for `time`; returns the number that was served.
async fn call_all(gates: &[Gate], time: Duration) -> usize {
    let results = join_all(gates.iter().map(|gate| call_for(gate, time))).await;
    results.iter().map(|(served, _)| served).sum()
}

/// An endpoint that records when calls arrive, and names a rate while the flag is set.
async fn limited_endpoint(
    name: &str,
    is_limited: &Arc<AtomicBool>,
    arrivals: &Arc<Mutex<Vec<Instant>>>,
) -> FakeEndpoint {
    let (is_limited, arrivals) = (Arc::clone(is_limited), Arc::clone(arrivals));
    let respond = move |_: &_| {
        arrivals.lock().unwrap().push(Instant::now());
        let limit = ("jujube-limit", RATE.to_string());
        let headers = match is_limited.load(Ordering::SeqCst) {
            true => vec![limit],
            false => Vec::new(),
        };
        Reply::Status(200, headers, output(&json!("found")).to_string())
    };
    FakeEndpoint::start(name, "look", respond).await
}

/// Guards against gates of pipelines that send an endpoint more than the rate that it named, since
/// none knows what the others send, and against gates that never use it again.
#[tokio::test]
async fn gates_of_pipelines_together_stay_within_the_rate_that_an_endpoint_names() {
    let env = Env::start().await;
    let (gates, _links) = start_gates(&env).await;
    let (is_limited, arrivals) = (Arc::default(), Arc::default());
    let endpoint = limited_endpoint("look-1", &is_limited, &arrivals).await;
    let announcing = async {
        loop {
            gates[0].announce(&endpoint).await;
            sleep(ANNOUNCE_INTERVAL).await;
        }
    };
    let calling = async {
        call_all(&gates, Duration::from_secs(1)).await;
        is_limited.store(true, Ordering::SeqCst);
        let since = Instant::now() + CONTACT_TIME;
        call_all(&gates, CONTACT_TIME).await;
        let served = call_all(&gates, 2 * WINDOW).await;
        let most = most_in_window(&arrivals.lock().unwrap(), since, Instant::now());
        let allowed = allowed(RATE);
        assert!(
            most <= allowed,
            "{most} requests in {WINDOW:?}; allowed {allowed}"
        );
        assert!(served > 0);
        is_limited.store(false, Ordering::SeqCst);
        call_all(&gates, CONTACT_TIME).await;
        let served = call_all(&gates, WINDOW).await;
        assert!(served > 2 * allowed, "{served}");
    };
    tokio::select! {
        () = announcing => {}
        () = calling => {}
    }
}
