//! Requests, streams and stages through forwarding gates, with the product's own protocol.

mod support;

use bench::stand_in::{Fault, STREAM_EVENTS, StandIn};
use futures_util::future::join_all;
use hyper::StatusCode;
use serde_json::Value;
use support::{CallerRequest, Cluster, until};

const ACCEPT_STREAM: (&str, &str) = ("accept", "text/event-stream");

fn endpoints_of<'a>(cluster: &'a Cluster, service: &'a str) -> impl Iterator<Item = &'a StandIn> {
    let endpoints = cluster.endpoints.iter();
    endpoints.filter(move |e| e.name().starts_with(service))
}

fn set_all(endpoints: &[&StandIn], fault: Fault) {
    for endpoint in endpoints {
        endpoint.set_fault(fault);
    }
}

fn events(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_only_with_a_valid_key() {
    let cluster = Cluster::start().await;
    let forged = [("jujube-workspace", "forged"), ("x-own", "1")];
    let request = CallerRequest {
        headers: &forged,
        ..CallerRequest::new("/desk/berth?at=6", "r-1")
    };
    let response = cluster.send(request).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["jujube-request"], "r-1");
    let seen: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(
        (&seen["path"], &seen["workspace"], &seen["body"]),
        (&"/desk/berth?at=6".into(), &"tugs".into(), &"hello".into())
    );
    for (path, key, status) in [
        ("/desk/1", None, StatusCode::UNAUTHORIZED),
        ("/desk/1", Some("wrong"), StatusCode::UNAUTHORIZED),
        ("/nowhere/1", Some(support::KEY), StatusCode::NOT_FOUND),
        ("/notices/1", None, StatusCode::OK),
    ] {
        let request = CallerRequest {
            key,
            ..CallerRequest::new(path, "r-2")
        };
        assert_eq!(
            cluster.send(request).await.unwrap().status,
            status,
            "{path} {key:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_request_is_retried_only_if_proven_not_to_have_run() {
    let cluster = Cluster::start().await;
    let desks: Vec<&StandIn> = endpoints_of(&cluster, "desk").collect();
    desks[0].set_fault(Fault::Refuse);
    for n in 0..6 {
        let id = format!("refused-{n}");
        let response = cluster
            .send(CallerRequest::new("/desk/1", &id))
            .await
            .unwrap();
        assert_eq!(
            response.status,
            StatusCode::OK,
            "the other endpoint serves it"
        );
        assert_eq!(cluster.count_starts("desk", &id), 1);
    }
    set_all(&desks, Fault::CloseEarly);
    let response = cluster
        .send(CallerRequest::new("/desk/1", "cut"))
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(cluster.count_starts("desk", "cut"), 1);
    set_all(&desks, Fault::WrongCallId);
    let response = cluster
        .send(CallerRequest::new("/desk/1", "foreign"))
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(cluster.count_starts("desk", "foreign"), 1);
}

/// Guards against new calls to an endpoint whose responses say that it is leaving or request a
/// pause, while its announcements say ready.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_or_paused_endpoint_gets_no_new_calls() {
    let cluster = Cluster::start().await;
    let desks: Vec<&StandIn> = endpoints_of(&cluster, "desk").collect();
    desks[0].set_fault(Fault::LeavingHeader);
    let mut served_by_leaving = 0;
    for n in 0..12 {
        let response = cluster
            .send(CallerRequest::new("/desk/1", &format!("l-{n}")))
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert!(!response.headers.contains_key("jujube-leaving"));
        let seen: Value = serde_json::from_slice(&response.body).unwrap();
        served_by_leaving += usize::from(seen["endpoint"] == desks[0].name());
    }
    assert!(
        served_by_leaving <= 1,
        "{served_by_leaving} responses of the leaving endpoint"
    );
    for desk in &desks[1..] {
        desk.set_fault(Fault::RetryAfter(30));
    }
    let mut last = None;
    for n in 0..=desks.len() {
        last = cluster
            .send(CallerRequest::new("/desk/1", &format!("p-{n}")))
            .await
            .ok();
    }
    let last = last.unwrap();
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after: f64 = last.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(retry_after > 20.0 && retry_after <= 30.0, "{retry_after}");
}

/// Both endpoints interrupt streams that start there, since a gate may prefer either of them for long.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_stream_resumes_after_its_last_event() {
    let cluster = Cluster::start().await;
    endpoints_of(&cluster, "chat").for_each(|chat| chat.set_fault(Fault::Interrupt));
    let request = CallerRequest {
        headers: &[ACCEPT_STREAM],
        ..CallerRequest::new("/chat/1", "interrupted")
    };
    let response = cluster.send(request).await;
    let response = response.unwrap_or_else(|e| panic!("{e}\n{}", cluster.logs()));
    let all: Vec<u64> = (1..=STREAM_EVENTS).collect();
    assert_eq!(events(&response.body), all);
    assert_eq!(cluster.count_starts("chat", "interrupted"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn stages_of_both_gates_share_calls_and_release_results() {
    const REQUESTS: usize = 16;
    let cluster = Cluster::start().await;
    // Items queue while a call runs, so that the next call has items of both gates.
    endpoints_of(&cluster, "ice").for_each(|ice| ice.set_fault(Fault::Slow(10.0)));
    let before = cluster.batches().len();
    let headers = [
        ACCEPT_STREAM,
        ("jujube-items", "2,1"),
        ("jujube-item-key", "k"),
    ];
    // The items of one gate alone fill the first calls and go on to the next.
    let requests = (0..REQUESTS).map(|n| {
        let (cluster, headers) = (&cluster, &headers);
        async move {
            let id = format!("p-{n:x}");
            let request = CallerRequest {
                gate: n % 2,
                headers,
                ..CallerRequest::new("/plan/1", &id)
            };
            (id.clone(), cluster.send(request).await.unwrap())
        }
    });
    for (id, response) in join_all(requests).await {
        let body = String::from_utf8_lossy(&response.body);
        assert_eq!(response.status, StatusCode::OK, "{body}");
        assert!(body.contains(&format!("ice-1/{id}-1-0")), "{body}");
    }
    let batches = &cluster.batches()[before..];
    let items: usize = batches.iter().map(Vec::len).sum();
    assert_eq!(items, 3 * REQUESTS, "each item once: {batches:?}");
    // Items are named `p-N-STAGE-ITEM`; request N, in hexadecimal, was sent to gate N % 2.
    let gate_of = |item: &String| usize::from_str_radix(&item[2..3], 16).unwrap() % 2;
    let is_shared =
        |call: &&Vec<String>| (0..2).all(|gate| call.iter().any(|i| gate_of(i) == gate));
    assert!(batches.iter().any(|call| is_shared(&call)), "{batches:?}");
    until("all results are released", async || {
        let released_handles = cluster.released_handles();
        let own = released_handles
            .iter()
            .filter(|handle| handle.starts_with("ice-1/p-"));
        (own.count() == 3 * REQUESTS).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_gate_does_not_affect_requests_to_the_other_gate() {
    let mut cluster = Cluster::start().await;
    let mut killed = cluster.gates.remove(1);
    let headers = [ACCEPT_STREAM, ("jujube-items", "2,1")];
    killed.kill().await.unwrap();
    for n in 0..6 {
        let id = format!("k-{n}");
        let request = CallerRequest {
            headers: &headers,
            ..CallerRequest::new("/plan/1", &id)
        };
        assert_eq!(cluster.send(request).await.unwrap().status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_confirmation_keys_are_refused_with_retry_after() {
    let cluster = Cluster::start().await;
    cluster.pause_keeper();
    let frozen = CallerRequest::new("/desk/1", "frozen");
    let response = cluster
        .until_status("keys are refused", frozen, StatusCode::SERVICE_UNAVAILABLE)
        .await;
    assert!(response.headers.contains_key("retry-after"));
    let public = CallerRequest {
        key: None,
        ..CallerRequest::new("/notices/1", "public")
    };
    assert_eq!(cluster.send(public).await.unwrap().status, StatusCode::OK);
    cluster.resume_keeper();
    let thawed = CallerRequest::new("/desk/1", "thawed");
    cluster
        .until_status("the gate serves again", thawed, StatusCode::OK)
        .await;
    let log = cluster.logs();
    assert!(log.contains("confirmation") && !log.contains(support::KEY));
}

/// Silence of an endpoint that then continues, in milliseconds.
const PAUSE_MS: u64 = 2_200;

/// Guards against a stream that is cut when its endpoint pauses after the stage results have been
/// released, so that no other endpoint could continue it.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_with_released_results_is_kept() {
    let cluster = Cluster::start().await;
    endpoints_of(&cluster, "chat").for_each(|chat| chat.set_fault(Fault::Pause(PAUSE_MS)));
    let headers = [ACCEPT_STREAM, ("jujube-items", "1,1")];
    let request = CallerRequest {
        headers: &headers,
        ..CallerRequest::new("/draft/1", "kept")
    };
    let response = cluster.send(request).await;
    let response = response.unwrap_or_else(|e| panic!("{e}\n{}", cluster.logs()));
    let all: Vec<u64> = (1..=STREAM_EVENTS).collect();
    assert_eq!(events(&response.body), all);
    assert_eq!(cluster.count_starts("chat", "kept"), 1);
}

/// Guards against a stream that is not continued by another endpoint when its own pauses for long,
/// and against events that come twice.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_silent_endpoint_is_continued_by_another() {
    let cluster = Cluster::start().await;
    endpoints_of(&cluster, "chat").for_each(|chat| chat.set_fault(Fault::Pause(60_000)));
    let request = CallerRequest {
        headers: &[ACCEPT_STREAM],
        ..CallerRequest::new("/chat/1", "continued")
    };
    let response = cluster.send(request).await;
    let response = response.unwrap_or_else(|e| panic!("{e}\n{}", cluster.logs()));
    let all: Vec<u64> = (1..=STREAM_EVENTS).collect();
    assert_eq!(events(&response.body), all);
    assert_eq!(cluster.count_starts("chat", "continued"), 2);
}

/// Guards against an error for a repeatable request whose endpoint responds in the second half of its
/// time, before a second one could.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_to_a_repeatable_request_is_served() {
    let cluster = Cluster::start().await;
    endpoints_of(&cluster, "desk").for_each(|desk| desk.set_fault(Fault::Pause(2_500)));
    let response = cluster.send(CallerRequest::new("/look/1", "late")).await;
    let response = response.unwrap_or_else(|e| panic!("{e}\n{}", cluster.logs()));
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(cluster.count_starts("desk", "late"), 2);
}
