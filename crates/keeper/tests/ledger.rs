//! Intents, settlements and leases through real keepers.

mod env;

use std::{sync::Arc, time::Duration};

use env::{Fault, Group, LIMIT};
use link::{
    keeper::{
        Intent, IntentReply, KeeperReply, KeeperRequest, LeaseReply, LeaseRequest, LedgerEntry,
        Output, Settle, Settlement,
    },
    keepers::Keepers,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use uuid::Uuid;

fn intent(key: Uuid, attempt: Uuid) -> KeeperRequest {
    KeeperRequest::Intent(Intent {
        key,
        digest: vec![7; 32],
        gate: "gate".to_owned(),
        incarnation: Uuid::nil(),
        attempt,
        service: "booking-desk".to_owned(),
        endpoint: "booking-1".to_owned(),
        expires: Duration::from_secs(30),
    })
}

fn settle(key: Uuid, attempt: Uuid, settlement: Settlement) -> KeeperRequest {
    KeeperRequest::Settle(Settle {
        key,
        attempt,
        settlement,
    })
}

fn completed(text: &str) -> Settlement {
    Settlement::Completed(Output::Whole(text.as_bytes().to_vec()))
}

async fn request(keepers: &Keepers, req: &KeeperRequest) -> KeeperReply {
    keepers.request(req, LIMIT).await.unwrap()
}

async fn request_intent(keepers: &Keepers, key: Uuid, attempt: Uuid) -> IntentReply {
    match request(keepers, &intent(key, attempt)).await {
        KeeperReply::Intent(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_granted_once_and_later_attempts_get_its_result() {
    let group = Group::start(3).await;
    let keepers = group.links();
    let (key, first, second) = (Uuid::now_v7(), Uuid::new_v4(), Uuid::new_v4());
    assert_eq!(
        request_intent(&keepers, key, first).await,
        IntentReply::Granted
    );
    assert_eq!(
        request_intent(&keepers, key, first).await,
        IntentReply::Granted
    );
    assert_eq!(
        request_intent(&keepers, key, second).await,
        IntentReply::InProgress
    );
    let other_attempt = settle(key, second, Settlement::Released);
    assert!(matches!(
        request(&keepers, &other_attempt).await,
        KeeperReply::Invalid(_)
    ));
    let result = settle(key, first, completed("booked"));
    assert_eq!(request(&keepers, &result).await, KeeperReply::Settled);
    assert_eq!(request(&keepers, &result).await, KeeperReply::Settled);
    for i in 0..3 {
        let one = Keepers::new(vec![group.peer(i)]);
        let reply = request_intent(&one, key, second).await;
        assert_eq!(reply, IntentReply::Settled(completed("booked")));
        let reply = request(&one, &KeeperRequest::Lookup(key)).await;
        assert_eq!(
            reply,
            KeeperReply::Lookup(LedgerEntry::Settled(completed("booked")))
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_release_frees_the_key_and_a_late_intent_of_its_attempt_is_not_granted() {
    let group = Group::start(1).await;
    let keepers = group.links();
    let (key, first, second) = (Uuid::now_v7(), Uuid::new_v4(), Uuid::new_v4());
    let release = settle(key, first, Settlement::Released);
    assert_eq!(request(&keepers, &release).await, KeeperReply::Settled);
    let late = request_intent(&keepers, key, first).await;
    assert_eq!(late, IntentReply::Settled(Settlement::Released));
    assert_eq!(
        request_intent(&keepers, key, second).await,
        IntentReply::Granted
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_outside_the_window_or_with_another_digest_are_refused() {
    let group = Group::start_with(1, "[ledger]\nretention_ms = 60000\nskew_ms = 5000\n").await;
    let keepers = group.links();
    let now = Uuid::now_v7().get_timestamp().unwrap().to_unix().0;
    let at = |seconds| Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0));
    let attempt = Uuid::new_v4();
    let old = request_intent(&keepers, at(now - 120), attempt).await;
    assert_eq!(old, IntentReply::TooOld);
    let future = request_intent(&keepers, at(now + 120), attempt).await;
    assert_eq!(future, IntentReply::InFuture);
    let not_v7 = request(&keepers, &intent(Uuid::new_v4(), attempt)).await;
    assert!(matches!(not_v7, KeeperReply::Invalid(_)));
    let key = Uuid::now_v7();
    assert_eq!(
        request_intent(&keepers, key, attempt).await,
        IntentReply::Granted
    );
    let KeeperRequest::Intent(mut other) = intent(key, Uuid::new_v4()) else {
        unreachable!()
    };
    other.digest = vec![8; 32];
    let reply = request(&keepers, &KeeperRequest::Intent(other)).await;
    assert_eq!(reply, KeeperReply::Intent(IntentReply::Conflict));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_output_over_the_limit_is_reported_as_too_large() {
    let group = Group::start_with(1, "[ledger]\nmax_output_bytes = 100\n").await;
    let keepers = group.links();
    let (key, attempt) = (Uuid::now_v7(), Uuid::new_v4());
    request_intent(&keepers, key, attempt).await;
    let result = settle(key, attempt, completed(&"x".repeat(101)));
    assert_eq!(request(&keepers, &result).await, KeeperReply::Settled);
    let reply = request_intent(&keepers, key, Uuid::new_v4()).await;
    let too_large = Settlement::Completed(Output::TooLarge(101));
    assert_eq!(reply, IntentReply::Settled(too_large));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_gates_get_one_grant_per_key_while_the_leader_is_killed() {
    const KEYS: usize = 60;
    const GATES: usize = 4;
    let mut group = Group::start(3).await;
    group.leader().await;
    let keys: Arc<Vec<Uuid>> = Arc::new((0..KEYS).map(|_| Uuid::now_v7()).collect());
    let mut gates = JoinSet::new();
    for _ in 0..GATES {
        let (keepers, keys) = (group.links(), Arc::clone(&keys));
        gates.spawn(async move {
            let mut granted = Vec::new();
            for key in keys.iter() {
                if request_intent(&keepers, *key, Uuid::new_v4()).await == IntentReply::Granted {
                    granted.push(*key);
                }
                sleep(Duration::from_millis(20)).await;
            }
            granted
        });
    }
    sleep(Duration::from_millis(300)).await;
    let leader = group.leader().await;
    group.kill(leader);
    let mut granted = gates.join_all().await.concat();
    granted.sort();
    // Each key was granted to one attempt, and every attempt retries until it has a reply.
    assert_eq!(granted, *keys);
}

fn lease(holder: Uuid, vm: &str) -> KeeperRequest {
    KeeperRequest::Lease(LeaseRequest {
        name: "controller/sousse-a".to_owned(),
        holder,
        vm: vm.to_owned(),
        duration: Duration::from_millis(1_500),
    })
}

async fn request_lease(keepers: &Keepers, holder: Uuid, vm: &str) -> LeaseReply {
    match request(keepers, &lease(holder, vm)).await {
        KeeperReply::Lease(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_passes_on_only_after_it_expires_despite_a_leader_change() {
    let mut group = Group::start(3).await;
    let keepers = group.links();
    let (one, two) = (Uuid::new_v4(), Uuid::new_v4());
    let requested_at = Instant::now();
    let LeaseReply::Granted { fencing, previous } = request_lease(&keepers, one, "vm-1").await
    else {
        panic!("a free lease is granted");
    };
    assert_eq!(previous, None);
    let renewed_at = Instant::now();
    let renewed = request_lease(&keepers, one, "vm-1").await;
    assert_eq!(
        renewed,
        LeaseReply::Granted {
            fencing,
            previous: None
        }
    );
    assert!(requested_at <= renewed_at);
    let leader = group.leader().await;
    group.kill(leader);
    let (next, before) = loop {
        match request_lease(&keepers, two, "vm-2").await {
            LeaseReply::Held { vm, .. } => assert_eq!(vm, "vm-1"),
            LeaseReply::Granted { fencing, previous } => break (fencing, previous.unwrap()),
        }
        sleep(Duration::from_millis(50)).await;
    };
    // The first holder counts from before its request.
    assert!(renewed_at.elapsed() >= Duration::from_millis(1_500));
    assert!(next > fencing);
    assert_eq!((before.vm.as_str(), before.fencing), ("vm-1", fencing));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_nothing_is_granted() {
    let group = Group::start(3).await;
    let leader = group.leader().await;
    group.isolate(leader, Fault::Blackhole);
    let isolated = Keepers::new(vec![group.peer(leader)]);
    let req = intent(Uuid::now_v7(), Uuid::new_v4());
    let reply = isolated.request(&req, Duration::from_secs(3)).await;
    assert!(reply.is_err(), "{reply:?}");
    let lookup = KeeperRequest::Lookup(Uuid::now_v7());
    let reply = isolated.request(&lookup, Duration::from_secs(3)).await;
    assert!(reply.is_err(), "{reply:?}");
}
