//! Odd entries among those that gates and keepers pass to each other.

mod common;

use std::time::Duration;

use common::{announcement, table};
use membership::{Announcement, Delta, EndpointState, Reply, Request, Table};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tokio::time::advance;

const SEED: [u8; 32] = [33; 32];
const MESSAGES: usize = 4_000;
/// Depth of nested arrays, far beyond what the decoder accepts.
const DEPTH: usize = 100_000;

fn delta(name: &str, seq: u64, age: Duration) -> Delta {
    Delta {
        announced: announcement(name, 1, seq),
        age,
        cold_left: None,
    }
}

fn deltas(deltas: Vec<Delta>) -> Request {
    Request::push("other".to_owned(), 0, deltas)
}

async fn send(table: &Table, req: &Request) -> Reply {
    link::decode(&table.answer(&link::encode(req)).await).unwrap()
}

fn names(table: &Table) -> Vec<String> {
    table.list().into_iter().map(|e| e.endpoint).collect()
}

/// Guards against an endpoint that is kept although nobody hears of it: a delta with an absurd age
/// counted as a heartbeat.
#[tokio::test(start_paused = true)]
async fn delta_with_an_absurd_age_is_no_heartbeat() {
    let table = table("a");
    send(&table, &deltas(vec![delta("e", 1, Duration::ZERO)])).await;
    advance(Duration::from_secs(10)).await;
    let odd = delta("e", 1, Duration::from_millis(u64::MAX));
    send(&table, &deltas(vec![odd])).await;
    assert_eq!(table.list()[0].state, EndpointState::Suspect);
}

/// Guards against entries that no process can call: they were listed and passed on.
#[tokio::test(start_paused = true)]
async fn invalid_entries_are_left_out_and_the_others_kept() {
    let table = table("a");
    let odd = |change: fn(&mut Announcement)| {
        let mut delta = delta("odd", 1, Duration::ZERO);
        change(&mut delta.announced);
        delta
    };
    let entries = vec![
        delta("e1", 1, Duration::ZERO),
        odd(|a| a.address = "http://127.0.0.1:99999".to_owned()),
        odd(|a| a.address = "http://127.0.0.1:-4".to_owned()),
        odd(|a| a.address = String::new()),
        odd(|a| a.service = String::new()),
        odd(|a| a.az = "z".repeat(4_000)),
        odd(|a| a.endpoint = "e".repeat(4_000)),
        odd(|a| a.models = vec![a.models[0].clone(); 1_000]),
        delta("e2", 1, Duration::ZERO),
    ];
    send(&table, &deltas(entries)).await;
    assert_eq!(names(&table), ["e1", "e2"]);
}

/// Encoded values of a wrong type or size.
const ODD_VALUES: [&[u8]; 12] = [
    b"\xf6",                                         // null
    b"\x20",                                         // -1
    b"\x1b\xff\xff\xff\xff\xff\xff\xff\xff",         // 2^64 - 1
    b"\x3b\xff\xff\xff\xff\xff\xff\xff\xff",         // -2^64
    b"\xc2\x49\xff\xff\xff\xff\xff\xff\xff\xff\xff", // 2^72 - 1
    b"\xf9\x7e\x00",                                 // not a number
    b"\xf9\x7c\x00",                                 // infinity
    b"\x60",                                         // an empty text
    b"\x80",                                         // an empty array
    b"\xa0",                                         // an empty map
    b"\x5b\xff\xff\xff\xff\xff\xff\xff\xff",         // bytes of a length past the end
    b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",         // as many elements
];

fn samples() -> Vec<Request> {
    vec![
        deltas(vec![
            delta("e1", 2, Duration::ZERO),
            delta("e2", 1, Duration::ZERO),
        ]),
        Request::Announce(Box::new(announcement("e3", 1, 1))),
        Request::Exchange(Vec::new()),
        Request::Repair {
            buckets: vec![1, 2],
            digests: Vec::new(),
        },
        Request::Sample(7),
        Request::RefreshSample(Vec::new()),
        Request::Since {
            table: None,
            version: 0,
            wait: Duration::from_secs(1),
        },
        Request::Pull,
        Request::Unavailable,
    ]
}

/// Guards against a table that panics, or no longer takes entries, after messages with odd values.
#[tokio::test(start_paused = true)]
async fn table_goes_on_after_odd_messages() {
    let table = table("a");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let replaced = (any::<prop::sample::Index>(), 0..ODD_VALUES.len());
    let message = (0..samples().len(), prop::collection::vec(replaced, 1..3));
    for _ in 0..MESSAGES {
        let (sample, replaced) = message.new_tree(&mut runner).unwrap().current();
        let mut bytes = link::encode(&samples()[sample]);
        for (index, odd) in replaced {
            let index = index.index(bytes.len());
            bytes.splice(index..=index, ODD_VALUES[odd].iter().copied());
        }
        let answer = table.answer(&bytes).await;
        link::decode::<Reply>(&answer).unwrap();
    }
    // Each byte begins an array of one element.
    let nested = vec![0x81; DEPTH];
    let answer = table.answer(&nested).await;
    let reply = link::decode::<Reply>(&answer).unwrap();
    assert!(matches!(reply, Reply::Malformed(_)), "{reply:?}");
    send(&table, &deltas(vec![delta("new", 1, Duration::ZERO)])).await;
    assert!(names(&table).contains(&"new".to_owned()));
}
