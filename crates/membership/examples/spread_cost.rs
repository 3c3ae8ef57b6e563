//! Measures what the spread of the table costs one gate: bytes, processor and memory.
//!
//! Every gate of an availability zone runs in this process, and links to its neighbours through a
//! relay that counts TCP payload both ways. One endpoint in a hundred changes each second.
//! `cargo run --release -p membership --example spread_cost`

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use link::{Identity, LinkConfig, Peer, Role};
use membership::{
    Announcement, EndpointState, Load, LoadedModel, Readiness, StageRole, Table, TableConfig,
    neighbours,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};
use uuid::Uuid;

/// Gates and endpoints of an availability zone: the users' today, four times that, the design size.
const SIZES: [(usize, usize); 3] = [(3, 12), (8, 120), (33, 490)];
const SETTLE: Duration = Duration::from_secs(3);
const MEASURE: Duration = Duration::from_secs(10);
const PAGE_BYTES: u64 = 4_096;
/// Of this many announcements one changes something.
const CHANGE_EVERY: u64 = 100;

struct Gate {
    table: Table,
    cfg: LinkConfig,
    address: SocketAddr,
}

async fn gate(name: &str) -> Gate {
    let cfg = LinkConfig::new(Identity {
        vm: name.to_owned(),
        az: "sousse-a".to_owned(),
        role: Role::Gate,
        incarnation: Uuid::now_v7(),
    });
    let table = Table::new(TableConfig::new(name, "sousse-a"));
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let answering = table.clone();
    let handler = move |call: link::Incoming| {
        let table = answering.clone();
        async move { table.answer(&call.body).await }
    };
    tokio::spawn(link::serve(listener, cfg.clone(), handler));
    Gate {
        table,
        cfg,
        address,
    }
}

/// Relays to `target` and counts the bytes of both directions.
async fn relay(target: SocketAddr, bytes: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            tokio::spawn(copy(near_rx, far_tx, Arc::clone(&bytes)));
            tokio::spawn(copy(far_rx, near_tx, Arc::clone(&bytes)));
        }
    });
    address
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        bytes.fetch_add(n as u64, Relaxed);
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

fn announcement(at: usize, seq: u64) -> Announcement {
    Announcement {
        endpoint: format!("appraise-llm-{at:05}"),
        service: format!("service-{}", at % 5),
        az: "sousse-a".to_owned(),
        address: format!("http://127.0.0.1:{}", 10_000 + at),
        incarnation: Uuid::nil(),
        seq,
        state: Readiness::Ready,
        models: vec![LoadedModel {
            model: "appraise-7b".to_owned(),
            version: ((seq + at as u64) / CHANGE_EVERY) as u32,
            adapters: vec!["horlogerie".to_owned()],
        }],
        role: StageRole::Both,
        checks_fencing: true,
        load: Load {
            running: (seq % 16) as u32,
            ..Load::default()
        },
    }
}

/// Every endpoint announces each second, each time at another gate.
async fn announce(tables: Vec<Table>, endpoints: usize) {
    let mut due = tokio::time::interval(Duration::from_secs(1) / endpoints as u32);
    for turn in 0_u64.. {
        let at = turn as usize % endpoints;
        let seq = turn / endpoints as u64 + 1;
        let gate = (turn as usize * 7 + at) % tables.len();
        // A table with room takes a later announcement.
        let _ = tables[gate].announce(announcement(at, seq));
        due.tick().await;
    }
}

/// User and system time of this process in clock ticks of 10 ms.
fn cpu() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 10)
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

async fn run(gates: usize, endpoints: usize) {
    let before = resident_bytes();
    let names: Vec<String> = (0..gates).map(|at| format!("g{at:02}")).collect();
    let mut all = Vec::new();
    for name in &names {
        all.push(gate(name).await);
    }
    let bytes = Arc::new(AtomicU64::new(0));
    for gate in &all {
        let mut peers = Vec::new();
        for name in neighbours(&gate.cfg.identity.vm, &names) {
            let at = names.iter().position(|other| *other == name);
            let target = all[at.expect("neighbours are gates")].address;
            let address = relay(target, Arc::clone(&bytes)).await;
            peers.push(Peer::start(&name, address, &gate.cfg));
        }
        gate.table.start_spread(peers);
    }
    let tables: Vec<Table> = all.iter().map(|gate| gate.table.clone()).collect();
    let announcing = tokio::spawn(announce(tables.clone(), endpoints));
    sleep(SETTLE).await;
    let (bytes_before, cpu_before, start) = (bytes.load(Relaxed), cpu(), Instant::now());
    let mut suspect = 0;
    let mut looks = 0;
    while start.elapsed() < MEASURE {
        sleep(Duration::from_millis(500)).await;
        for table in &tables {
            let list = table.list();
            looks += list.len();
            suspect += list
                .iter()
                .filter(|e| e.state != EndpointState::Ready)
                .count();
        }
    }
    let secs = start.elapsed().as_secs_f64();
    // Each byte is sent by one gate and received by another.
    let each = (bytes.load(Relaxed) - bytes_before) as f64 / secs / gates as f64;
    let cpu = cpu().saturating_sub(cpu_before).as_secs_f64() / secs / gates as f64;
    let resident = resident_bytes().saturating_sub(before) / gates as u64 / 1_024;
    println!(
        "{gates:>5} {endpoints:>9} {:>14.0} {:>14.2}% {resident:>10} KiB {suspect:>8} of {looks}",
        each,
        100.0 * cpu,
    );
    announcing.abort();
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    println!("gates endpoints   sent B/s each  of a core each   memory each  wrongly suspect");
    for (gates, endpoints) in SIZES {
        run(gates, endpoints).await;
    }
}
