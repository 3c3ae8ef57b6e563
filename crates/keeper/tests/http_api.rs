//! The operators' HTTP API of real keepers.

mod env;

use std::time::Duration;

use bytes::Bytes;
use env::{Fault, Group, LIMIT, az, client, submission};
use expect_test::expect;
use host::client::{Answer, build_request};
use hyper::{Method, Request};
use operators::{ApiError, MemberAction, MemberRequest};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};
use uuid::Uuid;

async fn send(url: &str, method: Method, token: &str, body: Bytes) -> Answer {
    let builder = Request::builder()
        .method(method)
        .uri(url)
        .header("authorization", format!("Bearer {token}"));
    client()
        .send(build_request(builder, body, url).unwrap())
        .await
        .unwrap()
}

async fn post(group: &Group, path: &str, body: &Value) -> Answer {
    let body = serde_json::to_vec(body).unwrap().into();
    send(&group.http(0, path), Method::POST, "", body).await
}

fn problem(answer: &Answer) -> Value {
    let kind = answer.headers.get("content-type").unwrap();
    assert_eq!(kind, "application/problem+json");
    serde_json::from_slice(&answer.body).unwrap()
}

fn body(base_revision: u64, document: &str) -> Value {
    json!({
        "change": Uuid::now_v7(),
        "base_revision": base_revision,
        "author": "tester",
        "reason": "test",
        "document": document,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_bodies_are_refused_and_change_nothing() {
    let group = Group::start(1).await;
    group.leader().await;
    let mut unknown = body(0, "");
    unknown["priority"] = json!(3);
    assert_eq!(post(&group, "/v1/changes", &unknown).await.status, 400);
    let mut both = body(0, "");
    both["sections"] = json!([]);
    assert_eq!(post(&group, "/v1/changes", &both).await.status, 400);
    // A section without `after` must not be read as a deletion.
    let id = json!({ "kind": "availability-zone", "name": "a" });
    let mut no_after = body(0, "");
    no_after["document"] = Value::Null;
    no_after["sections"] = json!([{ "id": id }]);
    let answer = post(&group, "/v1/changes", &no_after).await;
    assert_eq!(answer.status, 400);
    let detail = problem(&answer)["detail"].to_string();
    assert!(detail.contains("missing field `after`"), "{detail}");
    let large = body(0, &"#".repeat(4 << 20));
    let answer = post(&group, "/v1/changes", &large).await;
    assert_eq!(answer.status, 413);
    assert_eq!(problem(&answer)["type"], "too-large");
    let missing = send(&group.http(0, "/v2"), Method::GET, "", Bytes::new()).await;
    assert_eq!(
        (missing.status.as_u16(), problem(&missing)["status"].clone()),
        (404, json!(404))
    );
    assert_eq!(group.api().declaration().await.unwrap().revision, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_fault_of_a_document_has_its_location() {
    let group = Group::start(1).await;
    group.leader().await;
    let text = "[availability-zone a]\nregion = x\nsize = 3\n\n[pipeline p]\nstages = q\n";
    let answer = post(&group, "/v1/changes", &body(0, text)).await;
    assert_eq!(answer.status, 422);
    let faults = &problem(&answer)["faults"];
    expect![[r#"
        [
          {
            "file": "document",
            "key": "size",
            "line": 3,
            "section": "availability-zone a",
            "what": "unknown key; remove it or correct its name"
          },
          {
            "file": "document",
            "key": "stages",
            "line": 6,
            "section": "pipeline p",
            "what": "service `q` is not declared; add `[service q]` or remove it"
          }
        ]"#]]
    .assert_eq(&serde_json::to_string_pretty(faults).unwrap());
    assert_eq!(group.api().declaration().await.unwrap().revision, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_on_an_old_base_keeps_sections_added_since() {
    let group = Group::start(1).await;
    let two = "[availability-zone a]\nregion = x\n[availability-zone b]\nregion = x\n";
    assert_eq!(post(&group, "/v1/changes", &body(0, two)).await.status, 200);
    group.submit(&submission(1, vec![az("c", "added")])).await;
    // Based on revision 1: deletes b and doesn't mention c.
    let one = "[availability-zone a]\nregion = x\n";
    let change = body(1, one);
    assert_eq!(post(&group, "/v1/changes", &change).await.status, 200);
    let retried: Value =
        serde_json::from_slice(&post(&group, "/v1/changes", &change).await.body).unwrap();
    assert_eq!(retried, json!({ "revision": 3, "applied": false }));
    let current = group.api().declaration().await.unwrap();
    let names: Vec<String> = current
        .document
        .sections
        .keys()
        .map(|id| id.name.clone())
        .collect();
    assert_eq!(names, ["a", "c"]);
    // Another change on revision 1 to b, which is deleted by now, conflicts.
    let changed = "[availability-zone a]\nregion = x\n[availability-zone b]\nregion = y\n";
    let answer = post(&group, "/v1/changes", &body(1, changed)).await;
    assert_eq!(answer.status, 409);
    let conflict = &problem(&answer)["conflicts"][0];
    assert_eq!(conflict["current"], Value::Null);
    assert_eq!(conflict["proposed"]["entries"]["region"], "y");
    let future = post(&group, "/v1/changes", &body(9, one)).await;
    assert_eq!(problem(&future)["type"], "unknown-base");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_tokens_only_operators_make_changes_and_the_token_sets_the_author() {
    let tokens = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(tokens.path(), "amel secret-1\nyoussef secret-2\n").unwrap();
    let extra = format!(
        "[security]\noperator_tokens_file = {}\n",
        tokens.path().display()
    );
    let group = Group::start_with(1, &extra).await;
    group.leader().await;
    let text = "[availability-zone a]\nregion = x\n";
    let bytes = Bytes::from(serde_json::to_vec(&body(0, text)).unwrap());
    let url = group.http(0, "/v1/changes");
    for token in ["", "secret-3", "secret-1 "] {
        let answer = send(&url, Method::POST, token, bytes.clone()).await;
        assert_eq!(
            answer.status,
            if token == "secret-1 " { 200 } else { 401 },
            "{token}"
        );
    }
    let answer = send(&url, Method::POST, "secret-2", bytes.clone()).await;
    assert_eq!(answer.status, 200);
    let keepers = send(
        &group.http(0, "/v1/keepers"),
        Method::POST,
        "",
        Bytes::new(),
    )
    .await;
    assert_eq!(keepers.status, 401);
    let trail = group.api().audit(1).await.unwrap();
    assert_eq!(trail[0].author, "amel");
    assert_eq!(trail.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_the_problem_has_step_and_peer() {
    let group = Group::start(3).await;
    let leader = group.leader().await;
    group.isolate(leader, Fault::Blackhole);
    let url = group.http(leader, "/v1/declaration");
    let answer = send(&url, Method::GET, "", Bytes::new()).await;
    assert_eq!(answer.status, 503);
    let problem_body = problem(&answer);
    assert_eq!(problem_body["step"], "read the declaration");
    assert!(problem_body["peer"].is_string());
    assert_eq!(answer.headers["retry-after"], "1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_joins_catches_up_is_promoted_and_replaces_another() {
    let mut group = Group::start(3).await;
    group.submit(&submission(0, vec![az("a", "x")])).await;
    let joiner = group.start_another().await;
    let member = |action, name: &str, address| MemberRequest {
        action,
        name: name.to_owned(),
        address,
        force: false,
    };
    let address = Some(group.proxy_address(joiner));
    let add = member(MemberAction::Add, "k3", address);
    change_members(&group, &add).await;
    change_members(&group, &member(MemberAction::Promote, "k3", None)).await;
    let status = group.status(group.leader().await).await.unwrap();
    assert_eq!(status.voters, ["k0", "k1", "k2", "k3"]);
    let old = (0..3).find(|i| *i != 0).unwrap();
    change_members(
        &group,
        &member(MemberAction::Remove, &format!("k{old}"), None),
    )
    .await;
    group.kill(old);
    let accepted = group.submit(&submission(1, vec![az("b", "x")])).await;
    assert_eq!(accepted.revision, 2);
    let caught_up = async {
        while group
            .api_of(joiner)
            .declaration()
            .await
            .ok()
            .map(|d| d.revision)
            != Some(2)
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LIMIT, caught_up).await.unwrap();
}

/// Retries until the change of members succeeds; a learner has to catch up first.
async fn change_members(group: &Group, req: &MemberRequest) {
    let changed = async {
        loop {
            match group.api().change_members(req).await {
                Ok(()) => return,
                Err(ApiError::Refused { status: 409, .. } | ApiError::Unavailable { .. }) => {
                    sleep(Duration::from_millis(100)).await;
                }
                Err(e) => panic!("{e}"),
            }
        }
    };
    timeout(LIMIT, changed)
        .await
        .unwrap_or_else(|_| panic!("{req:?} in time"));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_health_and_metrics_are_served() {
    let group = Group::start(3).await;
    let leader = group.leader().await;
    let status = group.status(leader).await.unwrap();
    assert_eq!(status.voters, ["k0", "k1", "k2"]);
    assert_eq!(status.lag.len(), 2);
    let health = send(
        &group.http(leader, "/healthz"),
        Method::GET,
        "",
        Bytes::new(),
    )
    .await;
    assert_eq!(health.status, 200);
    let metrics = send(
        &group.http(leader, "/metrics"),
        Method::GET,
        "",
        Bytes::new(),
    )
    .await;
    let text = String::from_utf8(metrics.body.to_vec()).unwrap();
    assert!(text.contains("jujube_keeper_is_leader 1"), "{text}");
}

/// Depth of nested arrays, far beyond what parsers accept.
const DEPTH: usize = 100_000;

/// Guards against a keeper that stops, or no longer lists endpoints, after odd announcements and
/// changes.
#[tokio::test(flavor = "multi_thread")]
async fn odd_bodies_are_refused_and_later_ones_taken() {
    let mut group = Group::start(1).await;
    group.leader().await;
    let announcement = |name: &str, field: &str, value: &str| {
        let sound = json!({"endpoint": name, "service": "ice", "az": "a", "seq": 1,
            "address": "http://127.0.0.1:9", "incarnation": Uuid::now_v7(), "state": "ready"});
        let Value::Object(mut fields) = sound else {
            unreachable!("it is an object")
        };
        fields.remove(field);
        let text = Value::Object(fields).to_string();
        format!("{{\"{field}\":{value},{}", &text[1..])
    };
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let mut odd = vec![
        nested.clone(),
        format!("{{\"a\":{nested}}}"),
        "\0".to_owned(),
    ];
    for value in [
        &nested,
        "18446744073709551616",
        "1e400",
        "-1",
        "null",
        "{}",
        "\"http://127.0.0.1:99999\"",
        "\"http://127.0.0.1:-4\"",
    ] {
        for field in ["seq", "address", "slots", "load", "models"] {
            let name = format!("odd-{}", odd.len());
            odd.push(announcement(&name, field, value));
        }
    }
    let mut taken = 0;
    for body in odd {
        for path in ["/v1/announce", "/v1/changes"] {
            let url = group.http(0, path);
            let bytes = Bytes::from(body.clone());
            let answer = send(&url, Method::POST, "", bytes).await;
            let case = &body[..body.len().min(200)];
            match answer.status.as_u16() {
                200 if path == "/v1/announce" => taken += 1,
                400 => {}
                status => panic!("{status} to {path} {case}"),
            }
        }
    }
    let sound = announcement("sound", "slots", "2");
    let url = group.http(0, "/v1/announce");
    let answer = send(&url, Method::POST, "", sound.into()).await;
    assert_eq!(answer.status, 200);
    let answer = send(
        &group.http(0, "/v1/endpoints"),
        Method::GET,
        "",
        Bytes::new(),
    )
    .await;
    let listed: Value = serde_json::from_slice(&answer.body).unwrap();
    let listed = listed.as_array().unwrap();
    assert_eq!(listed.len(), taken + 1);
    assert!(listed.iter().any(|e| e["endpoint"] == "sound"));
    let process = group.keepers[0].as_mut().unwrap();
    assert!(process.is_running());
    assert_eq!(process.panics(), Vec::<String>::new());
}
