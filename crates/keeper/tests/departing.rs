//! Departures at real keepers, one of which is cut off from the others.

mod env;

use bytes::Bytes;
use env::{Fault, Group, LIMIT, client};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use link::{
    Channel,
    keeper::{Departure, KeeperReply, KeeperRequest},
};
use serde_json::json;
use tokio::time::timeout;
use uuid::Uuid;

/// Keeper that is cut off.
const ISOLATED: usize = 2;

/// Announces that `incarnation` of `endpoint` is leaving at keeper `i`; returns the status.
async fn announce_leaving(
    group: &Group,
    i: usize,
    endpoint: &str,
    incarnation: Uuid,
) -> StatusCode {
    let body = json!({"endpoint": endpoint, "service": "desk", "az": "az-0",
        "address": "http://127.0.0.1:9", "incarnation": incarnation, "seq": 1, "state": "leaving"});
    let req = Request::builder().method(Method::POST);
    let body = Bytes::from(body.to_string());
    let req = req.uri(group.http(i, "/v1/announce"));
    let req = req.body(Full::from(body)).unwrap();
    let answer = timeout(LIMIT, client().send(req)).await;
    answer.unwrap().unwrap().status
}

/// Guards against gates that miss a departure because the keeper they follow is cut off: every keeper
/// with a quorum names the version of the departures, and a cut off one acknowledges none.
#[tokio::test(flavor = "multi_thread")]
async fn departures_are_told_by_version_wherever_there_is_a_quorum() {
    let group = Group::start(3).await;
    group.isolate(ISOLATED, Fault::Blackhole);
    let leaving = Departure {
        endpoint: "desk-1".to_owned(),
        incarnation: Uuid::now_v7(),
    };
    let refused = announce_leaving(&group, ISOLATED, "desk-2", leaving.incarnation).await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    let mut statuses = Vec::new();
    while statuses.last() != Some(&StatusCode::OK) {
        // The others elect a leader first.
        assert!(statuses.len() < 20, "{statuses:?}");
        statuses.push(announce_leaving(&group, 0, "desk-1", leaving.incarnation).await);
    }
    for keeper in 0..ISOLATED {
        let peer = group.peer(keeper);
        peer.connected().await;
        let confirm = peer
            .call(Channel::Keeper, &KeeperRequest::Confirm, LIMIT)
            .await;
        let Ok(KeeperReply::Confirmed {
            departures_version, ..
        }) = confirm
        else {
            panic!("{confirm:?}");
        };
        let req = KeeperRequest::Departures { since: 0 };
        let reply: Result<KeeperReply, _> = peer.call(Channel::Keeper, &req, LIMIT).await;
        let expected = KeeperReply::Departures {
            version: departures_version,
            departures: vec![leaving.clone()],
        };
        assert_eq!(reply.unwrap(), expected);
    }
    let isolated = group.peer(ISOLATED);
    isolated.connected().await;
    let confirm = isolated.call(Channel::Keeper, &KeeperRequest::Confirm, LIMIT);
    let confirmed: KeeperReply = confirm.await.unwrap();
    assert_eq!(confirmed, KeeperReply::NoQuorum);
}
