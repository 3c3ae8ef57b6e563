//! Parts of prompts under which endpoints crash, while gates are cut off from the keepers or from each
//! other.

mod support;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bench::{
    proxy::{Cut, Rules},
    raw_endpoint::{RawEndpoint, RawRequest, Then},
};
use hyper::StatusCode;
use operators::{BlockedEntry, KeeperApi, UnblockRequest, parse_part};
use support::{CallerRequest, Cluster, GATES, PROBE_PATH, until};
use tokio::time::{Instant, sleep};

/// Id of the part that crashes endpoints.
const CRASHING: &str = "crashing";
/// Text of the refusal of a request with a blocked part.
const BLOCKED: &str = "endpoints crashed under a part of its prompt";
/// Path of streams for which callers need no access key.
const STREAM: &str = "/raw-public/1";
/// More than the crashes that a decision needs: crashes of one endpoint in short order count once.
const ENDPOINTS: usize = 8;
/// Time after which gates know what happened to a link, a list or a process.
const CONTACT_TIME: Duration = Duration::from_secs(4);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What a gate responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    /// The prompt has a blocked part.
    Blocked,
    /// Refused for another reason, or lost.
    Failed,
}

/// Responds with one event and crashes if the prompt has the part.
fn respond(req: &RawRequest) -> (String, Then) {
    let call = req.header("jujube-call");
    let head = format!("HTTP/1.1 200 OK\r\nJujube-Call: {call}\r\n");
    let stream = format!("{head}Content-Type: text/event-stream\r\n");
    match req.path == PROBE_PATH {
        true => (format!("{head}Content-Length: 0\r\n\r\n"), Then::KeepOpen),
        false if has_crashing_part(req) => (
            format!("{stream}Content-Length: 100\r\n\r\nid: 1\ndata: e1\n\n"),
            Then::Crash,
        ),
        false => (
            format!("{stream}Content-Length: 16\r\n\r\nid: 1\ndata: e1\n\n"),
            Then::KeepOpen,
        ),
    }
}

fn has_crashing_part(req: &RawRequest) -> bool {
    req.header("jujube-prompt-parts").contains(CRASHING)
}

async fn start() -> (Cluster, Vec<RawEndpoint>) {
    let mut cluster = Cluster::start().await;
    let mut endpoints = Vec::new();
    for _ in 0..ENDPOINTS {
        endpoints.push(RawEndpoint::start(respond).await.unwrap());
    }
    cluster.add_raw(&endpoints).await;
    (cluster, endpoints)
}

/// Sends a request with these parts and one of its own in its prompt.
async fn call(cluster: &Cluster, gate: usize, parts: &str) -> Outcome {
    let id = format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let parts = format!("{parts}{id}:200");
    let headers = [
        ("accept", "text/event-stream"),
        ("jujube-model", "m"),
        ("jujube-tokens", "1000,80"),
        ("jujube-prompt-parts", parts.as_str()),
    ];
    let request = CallerRequest {
        gate,
        key: None,
        headers: &headers,
        ..CallerRequest::new(STREAM, &id)
    };
    match cluster.send(request).await {
        Ok(r) if r.status == StatusCode::OK => Outcome::Served,
        Ok(r) if String::from_utf8_lossy(&r.body).contains(BLOCKED) => Outcome::Blocked,
        Ok(_) | Err(_) => Outcome::Failed,
    }
}

async fn call_crashing(cluster: &Cluster, gate: usize) -> Outcome {
    call(cluster, gate, &format!("shared:400,{CRASHING}:400,")).await
}

async fn call_sound(cluster: &Cluster, gate: usize) -> Outcome {
    call(cluster, gate, "shared:400,common:400,").await
}

/// Sends sound and crashing requests to gate `gate` until it refuses the latter.
async fn await_blocked(cluster: &Cluster, gate: usize) {
    until("the part is blocked", async || {
        call_sound(cluster, gate).await;
        let outcome = call_crashing(cluster, gate).await;
        (outcome == Outcome::Blocked).then_some(())
    })
    .await;
}

/// Sends crashing requests to gate `gate` for [`CONTACT_TIME`]; returns the outcomes.
async fn call_for_contact_time(cluster: &Cluster, gate: usize) -> Vec<Outcome> {
    let end = Instant::now() + CONTACT_TIME;
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        outcomes.push(call_crashing(cluster, gate).await);
        sleep(CALL_INTERVAL).await;
    }
    outcomes
}

/// Returns how many requests with the part endpoints received.
fn count_crashing(endpoints: &[RawEndpoint]) -> usize {
    let requests = endpoints.iter().flat_map(RawEndpoint::requests);
    requests.filter(has_crashing_part).count()
}

fn keeper_api(cluster: &Cluster) -> KeeperApi {
    KeeperApi::new(vec![cluster.keeper.http.to_string()], None)
}

/// Returns the parts that the keeper lists.
async fn keeper_list(cluster: &Cluster) -> Vec<BlockedEntry> {
    keeper_api(cluster).blocked_parts().await.unwrap().blocked
}

fn cut_keeper(cluster: &Cluster, cut: Cut) {
    cluster.keeper_link.set_rules(Rules::cut(cut));
}

fn cut_gates(cluster: &Cluster, cut: Cut) {
    for link in &cluster.links {
        link.set_rules(Rules::cut(cut));
    }
}

/// Guards against gates without keepers that forget a blocked part, and against one that starts then
/// and serves requests with it before it has heard of it.
#[tokio::test(flavor = "multi_thread")]
async fn blocked_part_stays_blocked_at_gates_cut_off_from_the_keepers() {
    let (mut cluster, endpoints) = start().await;
    await_blocked(&cluster, 0).await;
    sleep(CONTACT_TIME).await;
    let before = count_crashing(&endpoints);
    cut_keeper(&cluster, Cut::Both);
    for gate in 0..GATES.len() {
        let outcomes = call_for_contact_time(&cluster, gate).await;
        assert!(
            outcomes.iter().all(|o| *o == Outcome::Blocked),
            "{outcomes:?}"
        );
    }
    cluster.restart_gate(1).await;
    call_for_contact_time(&cluster, 1).await;
    cut_keeper(&cluster, Cut::None);
    await_blocked(&cluster, 1).await;
    for gate in 0..GATES.len() {
        until("sound requests are served", async || {
            let outcome = call_sound(&cluster, gate).await;
            (outcome == Outcome::Served).then_some(())
        })
        .await;
    }
    assert_eq!(count_crashing(&endpoints), before);
}

/// Guards against blocks that are decided on both sides of a cut and conflict when it heals, or take
/// other parts with them.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_is_blocked_on_both_sides_of_a_cut_is_one_block_afterwards() {
    let (cluster, _endpoints) = start().await;
    for gate in 0..GATES.len() {
        assert_eq!(call_sound(&cluster, gate).await, Outcome::Served);
    }
    cut_keeper(&cluster, Cut::Both);
    cut_gates(&cluster, Cut::Both);
    sleep(CONTACT_TIME).await;
    for gate in 0..GATES.len() {
        await_blocked(&cluster, gate).await;
    }
    let logs = cluster.logs();
    for gate in GATES {
        let decided = format!("\"source\":\"{gate}\"");
        assert!(logs.contains(&decided), "{gate} has not decided");
    }
    assert_eq!(keeper_list(&cluster).await, []);
    cut_keeper(&cluster, Cut::None);
    cut_gates(&cluster, Cut::None);
    until("the keeper lists the part", async || {
        (keeper_list(&cluster).await.len() == 1).then_some(())
    })
    .await;
    for gate in 0..GATES.len() {
        let outcomes = call_for_contact_time(&cluster, gate).await;
        assert!(
            outcomes.iter().all(|o| *o == Outcome::Blocked),
            "{outcomes:?}"
        );
        assert_eq!(call_sound(&cluster, gate).await, Outcome::Served);
    }
    assert_eq!(keeper_list(&cluster).await.len(), 1);
}

/// Guards against gates that were cut off from the keepers and block a part again that an operator
/// took back meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn block_that_is_taken_back_during_a_cut_ends_at_gates_that_were_cut_off() {
    let (cluster, _endpoints) = start().await;
    await_blocked(&cluster, 0).await;
    let listed = until("the keeper lists the part", async || {
        keeper_list(&cluster).await.into_iter().next()
    })
    .await;
    sleep(CONTACT_TIME).await;
    cut_keeper(&cluster, Cut::Both);
    sleep(CONTACT_TIME).await;
    let req = UnblockRequest {
        author: "operator".to_owned(),
        reason: "the endpoints were mended".to_owned(),
    };
    let part = parse_part(&listed.part).unwrap();
    let reply = keeper_api(&cluster).unblock_part(part, &req).await.unwrap();
    assert!(reply.existed);
    for gate in 0..GATES.len() {
        assert_eq!(call_crashing(&cluster, gate).await, Outcome::Blocked);
    }
    cut_keeper(&cluster, Cut::None);
    // Time in which gates that don't know of it would propose the block again.
    sleep(2 * CONTACT_TIME).await;
    assert_eq!(keeper_list(&cluster).await, []);
    for gate in 0..GATES.len() {
        assert_ne!(call_crashing(&cluster, gate).await, Outcome::Blocked);
    }
}
