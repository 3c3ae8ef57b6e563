//! Blocked parts at real keepers: crashes, replaced keepers, cuts, and operators.

mod env;

use std::time::Duration;

use bytes::Bytes;
use env::{Fault, Group, LIMIT, client};
use host::client::build_request;
use hyper::{Method, Request};
use link::{
    Channel,
    keeper::{BlockedPart, KeeperReply, KeeperRequest, MAX_BLOCK_EVIDENCE},
};
use operators::{MemberAction, MemberRequest};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

const HOUR: Duration = Duration::from_hours(1);
/// Timeout of one request that finds no quorum.
const REFUSED_TIMEOUT: Duration = Duration::from_secs(5);

fn blocked_part(part: u64, age: Duration) -> BlockedPart {
    BlockedPart {
        part,
        service: "llm".to_owned(),
        crashes: 3,
        endpoints: vec!["llm-1".to_owned(), "llm-2".to_owned()],
        requests: vec!["r-1".to_owned()],
        source: "gate-a".to_owned(),
        age,
    }
}

/// Sends `req` until a keeper with a quorum replies.
async fn request(group: &Group, req: &KeeperRequest) -> KeeperReply {
    group.links().request(req, LIMIT).await.unwrap()
}

async fn block(group: &Group, part: u64, age: Duration) -> bool {
    let req = KeeperRequest::BlockPart(blocked_part(part, age));
    match request(group, &req).await {
        KeeperReply::PartBlocked { is_blocked } => is_blocked,
        other => panic!("{other:?}"),
    }
}

/// Returns false if the part was not blocked, or if the reply to an earlier attempt was lost.
async fn unblock(group: &Group, part: u64) -> bool {
    let req = KeeperRequest::UnblockPart {
        part,
        author: "noura".to_owned(),
        reason: "fixed".to_owned(),
    };
    match request(group, &req).await {
        KeeperReply::PartUnblocked { existed } => existed,
        other => panic!("{other:?}"),
    }
}

/// Returns the list's version and parts.
async fn read_list(group: &Group) -> (u64, Vec<u64>) {
    match request(group, &KeeperRequest::BlockedParts).await {
        KeeperReply::BlockedParts { version, parts } => {
            (version, parts.iter().map(|block| block.part).collect())
        }
        other => panic!("{other:?}"),
    }
}

/// Returns the list's version and parts, after checking that confirmations name the same version;
/// the list must not change meanwhile.
async fn list(group: &Group) -> (u64, Vec<u64>) {
    let (version, parts) = read_list(group).await;
    match request(group, &KeeperRequest::Confirm).await {
        KeeperReply::Confirmed {
            blocked_version, ..
        } => assert_eq!(blocked_version, version),
        other => panic!("{other:?}"),
    }
    (version, parts)
}

/// Guards against blocks, or an operator's unblock, that are lost when all keepers restart.
#[tokio::test(flavor = "multi_thread")]
async fn blocks_and_unblocks_survive_kill_9_of_all_keepers() {
    let mut group = Group::start(3).await;
    assert_eq!(list(&group).await, (0, Vec::new()));
    for part in [1, 2, 3] {
        assert!(block(&group, part, Duration::ZERO).await);
    }
    unblock(&group, 2).await;
    assert_eq!(list(&group).await, (4, vec![1, 3]));
    for i in 0..3 {
        group.kill(i);
    }
    for i in 0..3 {
        group.restart(i);
    }
    assert_eq!(list(&group).await, (4, vec![1, 3]));
    // A gate that was cut off reports a decision from before the unblock.
    assert!(!block(&group, 2, HOUR).await);
    assert_eq!(list(&group).await, (4, vec![1, 3]));
}

/// Guards against a list that is only in the log, which a snapshot replaces.
#[tokio::test(flavor = "multi_thread")]
async fn blocks_survive_snapshots() {
    let mut group = Group::start_with(3, "snapshot_after = 100\n").await;
    assert!(block(&group, 7, Duration::ZERO).await);
    assert!(!unblock(&group, 8).await);
    for part in 100..157 {
        assert!(block(&group, part, Duration::ZERO).await);
        unblock(&group, part).await;
    }
    for i in 0..3 {
        group.kill(i);
    }
    for i in 0..3 {
        assert!(group.data(i).join("snapshot").exists());
        group.restart(i);
    }
    assert_eq!(list(&group).await, (115, vec![7]));
    assert!(!block(&group, 8, HOUR).await);
}

/// Guards against a replaced keeper that leads without the list.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_keeper_has_the_list() {
    let mut group = Group::start(3).await;
    assert!(block(&group, 1, Duration::ZERO).await);
    assert!(block(&group, 2, Duration::ZERO).await);
    unblock(&group, 2).await;
    let new = group.start_another().await;
    let member = |action, name: &str, address| MemberRequest {
        action,
        name: name.to_owned(),
        address,
        force: false,
    };
    let address = Some(group.proxy_address(new));
    change_members(&group, &member(MemberAction::Add, "k3", address)).await;
    change_members(&group, &member(MemberAction::Promote, "k3", None)).await;
    change_members(&group, &member(MemberAction::Remove, "k2", None)).await;
    group.kill(2);
    let peer = group.peer(new);
    peer.connected().await;
    let listed = async {
        loop {
            let reply = peer.call(Channel::Keeper, &KeeperRequest::BlockedParts, LIMIT);
            match reply.await {
                Ok(KeeperReply::BlockedParts { version, parts }) => return (version, parts),
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    let (version, parts) = timeout(LIMIT, listed).await.expect("listed in time");
    let parts: Vec<u64> = parts.iter().map(|block| block.part).collect();
    assert_eq!((version, parts), (3, vec![1]));
    assert!(!block(&group, 2, HOUR).await);
}

/// Retries until the change of members succeeds; a learner has to catch up first.
async fn change_members(group: &Group, req: &MemberRequest) {
    let changed = async {
        while group.api().change_members(req).await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(LIMIT, changed)
        .await
        .unwrap_or_else(|_| panic!("{req:?} in time"));
}

/// Guards against a keeper without a quorum that claims to have stored a decision, or serves a list
/// that may be old.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_every_request_is_refused() {
    let group = Group::start(3).await;
    assert!(block(&group, 1, Duration::ZERO).await);
    let isolated = group.leader().await;
    group.isolate(isolated, Fault::Reset);
    let peer = group.peer(isolated);
    peer.connected().await;
    let requests = [
        KeeperRequest::BlockPart(blocked_part(2, Duration::ZERO)),
        KeeperRequest::UnblockPart {
            part: 1,
            author: "noura".to_owned(),
            reason: "fixed".to_owned(),
        },
        KeeperRequest::BlockedParts,
    ];
    for req in &requests {
        let reply: KeeperReply = peer
            .call(Channel::Keeper, req, REFUSED_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply, KeeperReply::NoQuorum, "{req:?}");
    }
    let others = group.running().filter(|(i, _)| *i != isolated);
    let others = link::keepers::Keepers::new(others.map(|(_, p)| env::peer(p.link)).collect());
    let reply = others.request(&requests[0], LIMIT).await.unwrap();
    assert_eq!(reply, KeeperReply::PartBlocked { is_blocked: true });
    group.isolate(isolated, Fault::None);
    // What was refused may have been applied or not; a retry settles it.
    assert!(block(&group, 2, Duration::ZERO).await);
    let (_, parts) = list(&group).await;
    assert!(parts.contains(&2), "{parts:?}");
}

/// Guards against an unblock that is undone by a decision made before it, or that undoes later ones.
#[tokio::test(flavor = "multi_thread")]
async fn an_unblock_holds_against_older_decisions_only() {
    let group = Group::start(1).await;
    assert!(!block(&group, 1, 24 * HOUR).await, "expired");
    assert!(block(&group, 1, HOUR).await);
    unblock(&group, 1).await;
    assert!(!block(&group, 1, HOUR).await);
    assert!(!unblock(&group, 1).await);
    // The stamps have milliseconds.
    sleep(Duration::from_millis(20)).await;
    assert!(block(&group, 1, Duration::ZERO).await);
    assert_eq!(list(&group).await, (3, vec![1]));
}

/// Guards against names that fill the log, and against half of a malformed request taking effect.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_change_nothing() {
    let group = Group::start(1).await;
    let long = "n".repeat(1_025);
    let valid = || blocked_part(1, Duration::ZERO);
    let unblock = |author: &str, reason: &str| KeeperRequest::UnblockPart {
        part: 1,
        author: author.to_owned(),
        reason: reason.to_owned(),
    };
    let malformed = [
        KeeperRequest::BlockPart(BlockedPart {
            service: long.clone(),
            ..valid()
        }),
        KeeperRequest::BlockPart(BlockedPart {
            source: String::new(),
            ..valid()
        }),
        KeeperRequest::BlockPart(BlockedPart {
            endpoints: vec!["e".to_owned(); MAX_BLOCK_EVIDENCE + 1],
            ..valid()
        }),
        KeeperRequest::BlockPart(BlockedPart {
            requests: vec![long.clone()],
            ..valid()
        }),
        unblock("", "fixed"),
        unblock("noura", ""),
        unblock("noura", &long),
        unblock(&long, "fixed"),
    ];
    for req in malformed {
        let reply = request(&group, &req).await;
        assert!(matches!(reply, KeeperReply::Invalid(_)), "{reply:?}");
    }
    assert_eq!(list(&group).await, (0, Vec::new()));
    assert!(!block(&group, 1, Duration::MAX).await);
}

/// Returns the status and body of a request to keeper 0.
async fn send(group: &Group, method: Method, path: &str, token: &str, body: &str) -> (u16, Value) {
    let url = group.http(0, path);
    let builder = Request::builder()
        .method(method)
        .uri(&url)
        .header("authorization", format!("Bearer {token}"));
    let body = Bytes::copy_from_slice(body.as_bytes());
    let req = build_request(builder, body, &url).unwrap();
    let answer = client().send(req).await.unwrap();
    let body = serde_json::from_slice(&answer.body).unwrap_or_default();
    (answer.status.as_u16(), body)
}

/// Guards against unblocks without an operator's token, or under another name than the token's.
#[tokio::test(flavor = "multi_thread")]
async fn operators_list_and_unblock_with_their_token() {
    const PATH: &str = "/v1/blocked-parts/00000000000000ab/unblock";
    const BODY: &str = r#"{ "author": "somebody", "reason": "fixed" }"#;
    let tokens = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(tokens.path(), "amel secret-1\n").unwrap();
    let extra = format!(
        "[security]\noperator_tokens_file = {}\n",
        tokens.path().display()
    );
    let group = Group::start_with(1, &extra).await;
    assert!(block(&group, 0xab, HOUR).await);
    let (status, list) = send(&group, Method::GET, "/v1/blocked-parts", "", "").await;
    assert_eq!((status, &list["version"]), (200, &json!(1)));
    let blocked = &list["blocked"][0];
    let expected = json!({
        "part": "00000000000000ab",
        "service": "llm",
        "crashes": 3,
        "endpoints": ["llm-1", "llm-2"],
        "requests": ["r-1"],
        "source": "gate-a",
        "blocked_at": blocked["blocked_at"],
        "expires_at": blocked["expires_at"],
    });
    assert_eq!(blocked, &expected);
    for key in ["blocked_at", "expires_at"] {
        let time = blocked[key].as_str().unwrap();
        assert!(time.len() == 20 && time.ends_with('Z'), "{time}");
    }
    for token in ["", "secret-2"] {
        let (status, _) = send(&group, Method::POST, PATH, token, BODY).await;
        assert_eq!(status, 401, "{token}");
    }
    let metrics = client().get(&group.http(0, "/metrics")).await.unwrap();
    let metrics = String::from_utf8(metrics.body.to_vec()).unwrap();
    assert!(
        metrics.contains("jujube_keeper_blocked_parts 1"),
        "{metrics}"
    );
    assert_eq!(group.status(0).await.unwrap().blocked_parts, 1);

    let (status, reply) = send(&group, Method::POST, PATH, "secret-1", BODY).await;
    assert_eq!((status, reply), (200, json!({ "existed": true })));
    let (_, list) = send(&group, Method::GET, "/v1/blocked-parts", "", "").await;
    assert_eq!(
        (&list["version"], &list["blocked"]),
        (&json!(2), &json!([]))
    );
    let unblocked = &list["unblocked"][0];
    assert_eq!(unblocked["part"], "00000000000000ab");
    assert_eq!(unblocked["author"], "amel");
    assert_eq!(unblocked["reason"], "fixed");
}

/// Guards against a malformed request for an unblock that is taken for another part.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_unblocks_over_http_change_nothing() {
    let group = Group::start(1).await;
    assert!(block(&group, 0xab, Duration::ZERO).await);
    let cases = [
        ("ab", r#"{ "author": "a", "reason": "r" }"#, 400),
        (
            "+0000000000000ab",
            r#"{ "author": "a", "reason": "r" }"#,
            400,
        ),
        (
            "00000000000000zz",
            r#"{ "author": "a", "reason": "r" }"#,
            400,
        ),
        ("00000000000000ab", r#"{ "author": "a" }"#, 400),
        (
            "00000000000000ab",
            r#"{ "author": "a", "reason": "r", "x": 1 }"#,
            400,
        ),
        ("00000000000000ab", r#"{ "reason": "r" }"#, 409),
        (
            "00000000000000ab",
            r#"{ "author": "a", "reason": "" }"#,
            409,
        ),
    ];
    for (part, body, expected) in cases {
        let path = format!("/v1/blocked-parts/{part}/unblock");
        let (status, problem) = send(&group, Method::POST, &path, "", body).await;
        assert_eq!(status, expected, "{part} {body}: {problem}");
    }
    assert_eq!(list(&group).await, (1, vec![0xab]));
}

/// Guards against blocks that outlast their time while nothing else is written to the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_block_ends_without_other_entries() {
    let group = Group::start(3).await;
    let almost = 23 * HOUR + Duration::from_secs(3_595);
    assert!(block(&group, 1, almost).await);
    assert!(block(&group, 2, Duration::ZERO).await);
    let ended = async {
        while read_list(&group).await.1.contains(&1) {
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(LIMIT, ended).await.expect("the block ends in time");
    assert_eq!(list(&group).await, (3, vec![2]));
}
