//! At-most-once calls with real gates and a real ledger of three keepers, while keepers fail.

mod env;

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    path::Path,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use env::{
    DECLARATION, Gate, client,
    fake_endpoint::{FakeEndpoint, Reply, output},
};
use futures_util::future::join_all;
use host::{
    role::Running,
    settings::Reader,
    shutdown::{self, StopHandle},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

const KEEPERS: usize = 3;

/// Last byte of the loopback address of the next group of keepers.
static NEXT_HOST: AtomicU8 = AtomicU8::new(2);

/// Three keepers that run in this process.
struct Keepers {
    folder: TempDir,
    links: Vec<SocketAddr>,
    running: Vec<Option<(StopHandle, Running)>>,
}

impl Keepers {
    async fn start() -> Self {
        // Outgoing connections start from 127.0.0.1, so none takes a port before its keeper binds it.
        let host = IpAddr::from([127, 0, 0, NEXT_HOST.fetch_add(1, Ordering::Relaxed)]);
        let listener = || TcpListener::bind((host, 0)).unwrap();
        let listeners: Vec<_> = (0..KEEPERS).map(|_| listener()).collect();
        let links = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        drop(listeners);
        let mut keepers = Self {
            folder: tempfile::tempdir().unwrap(),
            links,
            running: Vec::new(),
        };
        for n in 0..KEEPERS {
            let running = keepers.start_one(n).await;
            keepers.running.push(Some(running));
        }
        keepers.declare().await;
        keepers
    }

    async fn start_one(&self, n: usize) -> (StopHandle, Running) {
        let settings = format!(
            "[vm]\nname = k{n}\navailability_zone = z\n[listen]\nlink = {}\n{}[data]\nfolder = k{n}\n",
            self.links[n],
            self.section(),
        );
        let folder: &Path = self.folder.path();
        let mut reader = Reader::from_bytes("k.ini", folder, settings.as_bytes()).unwrap();
        let cfg = keeper::Config::read(&mut reader);
        reader.finish().unwrap();
        let (stop, stopped) = shutdown::channel();
        (stop, keeper::start(cfg, stopped).await.unwrap())
    }

    /// The settings section that lists all keepers.
    fn section(&self) -> String {
        let lines = self.links.iter().enumerate();
        let lines: Vec<String> = lines.map(|(n, link)| format!("k{n} = {link}\n")).collect();
        format!("[keepers]\n{}", lines.concat())
    }

    fn http(&self) -> Vec<SocketAddr> {
        let running = self.running.iter().flatten();
        running.map(|(_, running)| running.http).collect()
    }

    async fn declare(&self) {
        let change = json!({
            "change": uuid::Uuid::now_v7(), "base_revision": 0, "author": "test",
            "reason": "test", "document": DECLARATION,
        });
        let start = Instant::now();
        loop {
            let answer = client::post(self.http()[0], "/v1/changes", &[], &change).await;
            match answer {
                Ok(answer) if answer.status == 200 => return,
                other => assert!(start.elapsed() < env::TEST_TIMEOUT, "{other:?}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits for a leader and returns its index.
    async fn leader(&self) -> usize {
        let start = Instant::now();
        loop {
            for (n, running) in self.running.iter().enumerate() {
                let Some((_, running)) = running else {
                    continue;
                };
                let status = client::get(running.http, "/v1/status").await;
                if status.is_ok_and(|s| s.status == 200 && s.json()["role"] == "leader") {
                    return n;
                }
            }
            assert!(start.elapsed() < env::TEST_TIMEOUT, "no leader");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn stop(&mut self, n: usize) {
        let (stop, running) = self.running[n].take().unwrap();
        stop.stop();
        running.finished().await.unwrap();
    }

    async fn gate(&self, name: &str) -> Gate {
        let path = self.folder.path().join(format!("{name}.ini"));
        let settings = format!(
            "[vm]\nname = {name}\navailability_zone = z\n{}",
            self.section()
        );
        std::fs::write(&path, settings).unwrap();
        Gate::start(&path).await
    }
}

async fn start_booking_endpoint() -> FakeEndpoint {
    FakeEndpoint::start("book-1", "book", |call| {
        Reply::Delayed(Duration::from_millis(20), output(&call.body["input"]))
    })
    .await
}

async fn book(gate: &Gate, key: &str, input: &Value) -> Result<client::Answer, String> {
    let headers = [("idempotency-key", key), ("jujube-deadline-ms", "8000")];
    gate.try_post("booking", &headers, input.clone()).await
}

fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Number of calls received with `input`.
fn runs(booking_endpoint: &FakeEndpoint, input: &Value) -> usize {
    let calls = booking_endpoint.calls();
    calls.iter().filter(|c| c.body["input"] == *input).count()
}

#[tokio::test]
async fn duplicates_at_two_gates_run_once_with_the_real_ledger() {
    let keepers = Keepers::start().await;
    let (one, two) = (keepers.gate("a").await, keepers.gate("b").await);
    let booking_endpoint = start_booking_endpoint().await;
    for n in 0..20 {
        // Endpoints repeat their announcements; on slow disks the rounds outlast a single one.
        one.announce(&booking_endpoint).await;
        two.announce(&booking_endpoint).await;
        let (key, input) = (key(), json!({ "ferry": n }));
        let requests = [&one, &two, &two, &one].map(|gate| book(gate, &key, &input));
        for answer in join_all(requests).await {
            let answer = answer.unwrap();
            assert_eq!(answer.json()["output"], input, "{}", answer.text());
        }
        assert_eq!(runs(&booking_endpoint, &input), 1);
        let conflict = book(&two, &key, &json!("another")).await.unwrap();
        assert_eq!(conflict.status, 409, "{}", conflict.text());
    }
    let entry = client::get(one.http, &format!("/v1/requests/{}", key()))
        .await
        .unwrap();
    assert_eq!(entry.status, 404, "{}", entry.text());
}

#[tokio::test]
async fn keys_beyond_the_window_are_refused() {
    let keepers = Keepers::start().await;
    let gate = keepers.gate("a").await;
    let booking_endpoint = start_booking_endpoint().await;
    gate.announce(&booking_endpoint).await;
    let old = uuid::Builder::from_unix_timestamp_millis(1_000_000, &[7; 10]).into_uuid();
    let answer = book(&gate, &old.to_string(), &json!(1)).await.unwrap();
    assert_eq!(
        (answer.status, &*answer.outcome()),
        (410, "unknown"),
        "{}",
        answer.text()
    );
    let future = uuid::Builder::from_unix_timestamp_millis(1 << 47, &[7; 10]).into_uuid();
    let answer = book(&gate, &future.to_string(), &json!(1)).await.unwrap();
    assert_eq!(
        (answer.status, &*answer.outcome()),
        (400, "not_run"),
        "{}",
        answer.text()
    );
    assert!(booking_endpoint.calls().is_empty());
}

/// While the leader stops and restarts, callers that retry with the same key all get their result,
/// and no booking runs twice.
#[tokio::test]
async fn bookings_survive_the_loss_of_the_leader() {
    const BOOKINGS: usize = 60;
    let mut keepers = Keepers::start().await;
    let gates = [keepers.gate("a").await, keepers.gate("b").await];
    let booking_endpoint = start_booking_endpoint().await;
    for gate in &gates {
        gate.announce(&booking_endpoint).await;
    }
    let bookings = async {
        let bookings = (0..BOOKINGS).map(|n| {
            let (gates, booking_endpoint) = (&gates, &booking_endpoint);
            async move {
                sleep(Duration::from_millis(30 * n as u64)).await;
                let (key, input) = (key(), json!({ "barge": n }));
                for attempt in 0..40 {
                    let gate = &gates[(n + attempt) % gates.len()];
                    // Endpoints repeat their announcements, or they expire.
                    gate.announce(booking_endpoint).await;
                    let answer = book(gate, &key, &input).await.unwrap();
                    if answer.status == 200 {
                        assert_eq!(answer.json()["output"], input);
                        return;
                    }
                    assert_ne!(answer.outcome(), "completed", "{}", answer.text());
                    sleep(Duration::from_millis(100)).await;
                }
                panic!("booking {n} has no answer");
            }
        });
        join_all(bookings).await;
    };
    let leader_restart = async {
        sleep(Duration::from_millis(500)).await;
        let leader = keepers.leader().await;
        keepers.stop(leader).await;
        sleep(Duration::from_millis(800)).await;
        let back = keepers.start_one(leader).await;
        keepers.running[leader] = Some(back);
    };
    tokio::join!(bookings, leader_restart);
    for n in 0..BOOKINGS {
        assert_eq!(
            runs(&booking_endpoint, &json!({ "barge": n })),
            1,
            "booking {n}"
        );
    }
}

#[tokio::test]
async fn without_a_quorum_bookings_are_unknown_and_repeatable_work_goes_on() {
    let mut keepers = Keepers::start().await;
    let gate = keepers.gate("a").await;
    let booking_endpoint = start_booking_endpoint().await;
    let retriever =
        FakeEndpoint::start("look-1", "look", |_| Reply::Json(output(&json!("found")))).await;
    let leader = keepers.leader().await;
    keepers.stop(leader).await;
    keepers.stop((leader + 1) % KEEPERS).await;
    gate.announce(&booking_endpoint).await;
    gate.announce(&retriever).await;
    let answer = book(&gate, &key(), &json!("ferry")).await.unwrap();
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
    assert!(matches!(answer.status, 502 | 504), "{}", answer.text());
    // Endpoints repeat their announcements, or they expire.
    gate.announce(&retriever).await;
    let answer = gate.post("find", &[], json!(1)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(booking_endpoint.calls().is_empty());
}
