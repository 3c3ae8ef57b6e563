//! Malformed messages on a keeper's links: each gets an error, and the keeper goes on.

mod env;

use std::time::Duration;

use ciborium::Value;
use env::{Group, LIMIT};
use link::{
    Channel,
    keeper::{
        BlockedPart, Intent, IntentReply, KeeperReply, KeeperRequest, LeaseRequest, Output, Settle,
        Settlement,
    },
    keepers::Keepers,
};
use proptest::{
    collection::vec,
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tokio::task::JoinSet;
use uuid::Uuid;

const SEED: [u8; 32] = [17; 32];
const MESSAGES: usize = 2_000;
/// Messages in flight at one time.
const CONCURRENCY: usize = 32;
/// Time for a reply. A keeper may keep a request that it can't complete for longer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
const CHANNELS: [Channel; 6] = [
    Channel::Agreement,
    Channel::Keeper,
    Channel::Follow,
    Channel::Membership,
    Channel::Calls,
    Channel::Stages,
];

fn intent(key: Uuid) -> KeeperRequest {
    KeeperRequest::Intent(Intent {
        key,
        digest: vec![7; 32],
        gate: "gate".to_owned(),
        incarnation: Uuid::nil(),
        attempt: Uuid::new_v4(),
        service: "booking-desk".to_owned(),
        endpoint: "booking-1".to_owned(),
        expires: Duration::from_secs(30),
    })
}

fn samples() -> Vec<KeeperRequest> {
    let settle = |settlement| Settle {
        key: Uuid::now_v7(),
        attempt: Uuid::new_v4(),
        settlement,
    };
    let completed = Settlement::Completed(Output::Whole(b"booked".to_vec()));
    let refused = Settlement::Refused {
        status: 409,
        detail: "no".to_owned(),
    };
    vec![
        intent(Uuid::now_v7()),
        KeeperRequest::Settle(settle(completed.clone())),
        KeeperRequest::Settle(settle(Settlement::Released)),
        KeeperRequest::Hold(settle(refused)),
        KeeperRequest::Hold(settle(completed)),
        KeeperRequest::Lookup(Uuid::now_v7()),
        KeeperRequest::Lease(LeaseRequest {
            name: "rollout".to_owned(),
            holder: Uuid::new_v4(),
            vm: "vm".to_owned(),
            duration: Duration::from_secs(5),
        }),
        KeeperRequest::EndLease {
            name: "rollout".to_owned(),
            fencing: 1,
        },
        KeeperRequest::Audit { from: 1 },
        KeeperRequest::Original,
        KeeperRequest::Confirm,
        KeeperRequest::Clock,
        KeeperRequest::BlockPart(BlockedPart {
            part: 7,
            service: "llm".to_owned(),
            crashes: 3,
            endpoints: vec!["llm-1".to_owned()],
            requests: vec!["r-1".to_owned()],
            source: "gate".to_owned(),
            age: Duration::from_secs(1),
        }),
        KeeperRequest::UnblockPart {
            part: 7,
            author: "noura".to_owned(),
            reason: "fixed".to_owned(),
        },
        KeeperRequest::BlockedParts,
    ]
}

/// Values of a wrong type or size.
fn odd_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(Value::Bool(true)),
        Just(Value::from(0)),
        Just(Value::from(-1)),
        Just(Value::from(u64::MAX)),
        Just(Value::from(i64::MIN)),
        Just(Value::Float(f64::NAN)),
        Just(Value::Text(String::new())),
        Just(Value::Text("\u{0}é".repeat(2_000))),
        Just(Value::Bytes(vec![0xff; 16])),
        Just(Value::Bytes(vec![0; 4_000])),
        Just(Value::Array(Vec::new())),
        Just(Value::Map(Vec::new())),
        Just(Value::Tag(0, Box::new(Value::Null))),
    ]
}

/// Replaces the `nth` part of `value`, counted depth first, by `odd`.
fn replace(value: &mut Value, nth: &mut usize, odd: &Value) {
    if *nth == 0 {
        value.clone_from(odd);
    }
    *nth = nth.wrapping_sub(1);
    match value {
        Value::Array(items) => items.iter_mut().for_each(|item| replace(item, nth, odd)),
        Value::Map(entries) => {
            for (key, item) in entries {
                replace(key, nth, odd);
                replace(item, nth, odd);
            }
        }
        _ => {}
    }
}

/// A message with parts replaced, then damaged as bytes.
fn message() -> impl Strategy<Value = (usize, Vec<u8>)> {
    let replaced = vec((0_usize..24, odd_value()), 0..3);
    let damaged = vec((any::<prop::sample::Index>(), any::<u8>()), 0..3);
    let cut = prop::option::weighted(0.1, any::<prop::sample::Index>());
    let channel = prop_oneof![4 => Just(1_usize), 1 => 0..CHANNELS.len()];
    (channel, 0..samples().len(), replaced, damaged, cut).prop_map(
        |(channel, sample, replaced, damaged, cut)| {
            let mut value = Value::serialized(&samples()[sample]).unwrap();
            for (mut nth, odd) in replaced {
                replace(&mut value, &mut nth, &odd);
            }
            let mut bytes = Vec::new();
            ciborium::into_writer(&value, &mut bytes).unwrap();
            for (index, byte) in damaged {
                let index = index.index(bytes.len());
                bytes[index] = byte;
            }
            if let Some(cut) = cut {
                bytes.truncate(cut.index(bytes.len()));
            }
            (channel, bytes)
        },
    )
}

async fn assert_serves(keepers: &Keepers) {
    let reply = keepers.request(&intent(Uuid::now_v7()), LIMIT).await;
    assert_eq!(reply, Ok(KeeperReply::Intent(IntentReply::Granted)));
}

#[tokio::test(flavor = "multi_thread")]
async fn keeper_goes_on_after_malformed_messages() {
    let mut group = Group::start(1).await;
    let keepers = group.links();
    assert_serves(&keepers).await;
    let peer = &keepers.peers()[0];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut replies = 0;
    let mut in_flight = JoinSet::new();
    for _ in 0..MESSAGES {
        let (channel, bytes) = message().new_tree(&mut runner).unwrap().current();
        if in_flight.len() == CONCURRENCY {
            replies += in_flight.join_next().await.unwrap().unwrap();
        }
        let peer = peer.clone();
        in_flight.spawn(async move {
            let channel = CHANNELS[channel];
            let reply = peer.call_bytes(channel, bytes, REPLY_TIMEOUT).await;
            usize::from(reply.is_ok())
        });
    }
    replies += in_flight.join_all().await.into_iter().sum::<usize>();
    assert!(replies > MESSAGES / 2, "{replies}");
    let process = group.keepers[0].as_mut().unwrap();
    assert!(process.is_running());
    assert_eq!(process.panics(), Vec::<String>::new());
    assert_serves(&keepers).await;
}

/// Depth of nested arrays, far beyond what the decoder accepts.
const DEPTH: usize = 100_000;

/// Guards against a keeper that stops after deeply nested messages and times at the end of their type.
#[tokio::test(flavor = "multi_thread")]
async fn keeper_goes_on_after_nested_messages_and_endless_times() {
    let mut group = Group::start(1).await;
    let keepers = group.links();
    assert_serves(&keepers).await;
    let peer = &keepers.peers()[0];
    let since = membership::Request::Since {
        table: None,
        version: u64::MAX,
        wait: Duration::MAX,
    };
    let lease = KeeperRequest::Lease(LeaseRequest {
        name: "rollout".to_owned(),
        holder: Uuid::new_v4(),
        vm: "vm".to_owned(),
        duration: Duration::MAX,
    });
    let mut endless = intent(Uuid::now_v7());
    if let KeeperRequest::Intent(intent) = &mut endless {
        intent.expires = Duration::MAX;
    }
    let mut messages = vec![
        (Channel::Membership, link::encode(&since)),
        (Channel::Keeper, link::encode(&lease)),
        (Channel::Keeper, link::encode(&endless)),
    ];
    for channel in CHANNELS {
        // An array, a map and a tag in each other, `DEPTH` times.
        for byte in [0x81, 0xa1, 0xc0] {
            messages.push((channel, vec![byte; DEPTH]));
        }
    }
    for (channel, bytes) in messages {
        // An error or no reply is right as well.
        let _ = peer.call_bytes(channel, bytes, REPLY_TIMEOUT).await;
    }
    let process = group.keepers[0].as_mut().unwrap();
    assert!(process.is_running());
    assert_eq!(process.panics(), Vec::<String>::new());
    assert_serves(&keepers).await;
}
