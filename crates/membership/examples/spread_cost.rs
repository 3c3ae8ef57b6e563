//! Measures the cost of gossip for one gate: bytes, CPU time and memory.
//!
//! All gates of an availability zone run in this process, and link to their neighbours through a
//! relay that counts TCP payload both ways. One endpoint in a hundred changes each second. Each other
//! availability zone is simulated by one gate. The size `CHURNED` also loses a rack of endpoints,
//! gets it back, and restarts a gate.
//! `cargo run --release -p membership --example spread_cost`

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
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

/// Gates and endpoints of an availability zone, and number of other zones: the users' present size,
/// four times that, the design size, and one beyond; then the design size with other zones.
const SIZES: [(usize, usize, usize); 6] = [
    (3, 12, 0),
    (8, 120, 0),
    (33, 490, 0),
    (60, 900, 0),
    (33, 490, 3),
    (33, 490, 11),
];
/// Endpoints of each other availability zone.
const OTHER_ENDPOINTS: usize = 60;
/// Endpoints of the rack that fails and recovers.
const RACK: usize = 40;
/// Gates and other zones of the size at which a rack fails and a gate restarts.
const CHURNED: (usize, usize) = (33, 0);
const OWN_AZ: &str = "sousse-a";
const CHURN_TIMEOUT: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(3);
const MEASURE: Duration = Duration::from_secs(10);
const PAGE_BYTES: u64 = 4_096;
/// One in this many announcements changes something.
const CHANGE_EVERY: u64 = 100;

struct Gate {
    table: Table,
    cfg: LinkConfig,
    address: SocketAddr,
}

async fn gate(name: &str, az: &str) -> Gate {
    let cfg = LinkConfig::new(Identity {
        vm: name.to_owned(),
        az: az.to_owned(),
        role: Role::Gate,
        incarnation: Uuid::now_v7(),
    });
    let table = Table::new(TableConfig::new(name, az));
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

/// Starts a relay to `target` that counts the bytes of both directions; returns its address.
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

fn announcement(az: &str, at: usize, seq: u64) -> Announcement {
    Announcement {
        endpoint: format!("{az}-llm-{at:05}"),
        service: format!("service-{}", at % 5),
        az: az.to_owned(),
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
        slots: None,
        cold_left_ms: 0,
        load: Load {
            running: (seq % 16) as u32,
            ..Load::default()
        },
    }
}

/// Announces every endpoint once a second, each time to another gate. The endpoints of the rack are
/// silent while it is down, and have a new incarnation afterwards.
async fn announce(az: String, tables: Vec<Table>, endpoints: usize, rack_down: Arc<AtomicBool>) {
    let mut due = tokio::time::interval(Duration::from_secs(1) / endpoints as u32);
    let mut rack_incarnation = Uuid::nil();
    for turn in 0_u64.. {
        due.tick().await;
        let at = turn as usize % endpoints;
        let seq = turn / endpoints as u64 + 1;
        let gate = (turn as usize * 7 + at) % tables.len();
        let mut announced = announcement(&az, at, seq);
        match (at < RACK, rack_down.load(Relaxed)) {
            (true, true) => {
                rack_incarnation = Uuid::from_u128(1);
                continue;
            }
            (true, false) => announced.incarnation = rack_incarnation,
            (false, _) => {}
        }
        // Not refused: the table has capacity and the announcement is newer.
        let _ = tables[gate].announce(announced);
    }
}

/// Returns user and system time of this process, in steps of clock ticks of 10 ms.
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

/// Gates of one availability zone, linked through relays, and gates of other zones.
struct Zone {
    gates: Vec<Gate>,
    names: Vec<String>,
    others: Vec<Gate>,
    bytes: Arc<AtomicU64>,
    rack_down: Arc<AtomicBool>,
}

impl Zone {
    async fn start(gates: usize, endpoints: usize, zones: usize) -> Self {
        let names: Vec<String> = (0..gates).map(|at| format!("g{at:02}")).collect();
        let mut zone = Self {
            gates: Vec::new(),
            names,
            others: Vec::new(),
            bytes: Arc::new(AtomicU64::new(0)),
            rack_down: Arc::default(),
        };
        for name in &zone.names {
            zone.gates.push(gate(name, OWN_AZ).await);
        }
        for at in 0..zones {
            let az = format!("mahdia-{at}");
            let other = gate(&format!("z{at:02}"), &az).await;
            let tables = vec![other.table.clone()];
            tokio::spawn(announce(az, tables, OTHER_ENDPOINTS, Arc::default()));
            other.table.start_gossip(Vec::new());
            zone.others.push(other);
        }
        for gate in &zone.gates {
            gate.table.start_gossip(zone.links(gate).await);
        }
        let down = Arc::clone(&zone.rack_down);
        tokio::spawn(announce(OWN_AZ.to_owned(), zone.tables(), endpoints, down));
        zone
    }

    fn tables(&self) -> Vec<Table> {
        self.gates.iter().map(|gate| gate.table.clone()).collect()
    }

    /// Opens the links of `gate` to its neighbours and to the other zones.
    async fn links(&self, gate: &Gate) -> Vec<Peer> {
        let mut peers = Vec::new();
        let chosen = neighbours(&gate.cfg.identity.vm, &self.names);
        let near = self
            .gates
            .iter()
            .filter(|g| chosen.contains(&g.cfg.identity.vm));
        for other in near.chain(&self.others) {
            let address = relay(other.address, Arc::clone(&self.bytes)).await;
            peers.push(Peer::start(&other.cfg.identity.vm, address, &gate.cfg));
        }
        peers
    }

    fn sent(&self) -> u64 {
        self.bytes.load(Relaxed)
    }

    /// Waits until `condition` holds for the rack at every gate; prints the time and the bytes.
    async fn churn(&self, what: &str, condition: impl Fn(&[EndpointState]) -> bool) {
        let (before, start) = (self.sent(), Instant::now());
        let rack: Vec<String> = (0..RACK)
            .map(|at| format!("{OWN_AZ}-llm-{at:05}"))
            .collect();
        let is_reached = |table: &Table| {
            let list = table.list().into_iter();
            let states = list.filter(|e| rack.contains(&e.endpoint)).map(|e| e.state);
            condition(&states.collect::<Vec<_>>())
        };
        while start.elapsed() < CHURN_TIMEOUT && !self.gates.iter().all(|g| is_reached(&g.table)) {
            sleep(Duration::from_millis(20)).await;
        }
        let elapsed = start.elapsed();
        sleep(MEASURE.saturating_sub(elapsed)).await;
        let secs = start.elapsed().as_secs_f64();
        let each = (self.sent() - before) as f64 / secs / self.gates.len() as f64;
        println!(
            "{what}: {} ms, then {each:.0} B/s over {secs:.0} s",
            elapsed.as_millis()
        );
    }

    async fn restart(&self, endpoints: usize) {
        let (before, start) = (self.sent(), Instant::now());
        let fresh = gate(&self.names[0], OWN_AZ).await;
        fresh.table.start_gossip(self.links(&self.gates[0]).await);
        while start.elapsed() < CHURN_TIMEOUT && fresh.table.list().len() < endpoints {
            sleep(Duration::from_millis(5)).await;
        }
        let elapsed = start.elapsed().as_millis();
        println!(
            "restart of a gate: whole table after {elapsed} ms, {} bytes by all gates",
            self.sent() - before
        );
    }
}

async fn run(gates: usize, endpoints: usize, zones: usize) -> Zone {
    let before = resident_bytes();
    let zone = Zone::start(gates, endpoints, zones).await;
    let tables = zone.tables();
    sleep(WARM_UP).await;
    let (bytes_before, cpu_before, start) = (zone.sent(), cpu(), Instant::now());
    let mut suspect = 0;
    let mut checked = 0;
    let mut oldest_ms = 0;
    while start.elapsed() < MEASURE {
        sleep(Duration::from_millis(500)).await;
        for table in &tables {
            let list = table.list();
            checked += list.len();
            oldest_ms = list.iter().map(|e| e.silent_ms).fold(oldest_ms, u64::max);
            suspect += list
                .iter()
                .filter(|e| e.state != EndpointState::Ready)
                .count();
        }
    }
    let secs = start.elapsed().as_secs_f64();
    // Each byte is sent by one gate and received by another.
    let each = (zone.sent() - bytes_before) as f64 / secs / gates as f64;
    let cpu = cpu().saturating_sub(cpu_before).as_secs_f64() / secs / gates as f64;
    let resident = resident_bytes().saturating_sub(before) / gates as u64 / 1_024;
    println!(
        "{gates:>5} {endpoints:>9} {zones:>5} {each:>14.0} {:>14.2}% {resident:>10} KiB {suspect:>8} of {checked} {oldest_ms:>7} ms",
        100.0 * cpu,
    );
    zone
}

/// Simulates failure and recovery of a rack, then the restart of a gate.
async fn churn(zone: &Zone, endpoints: usize) {
    zone.rack_down.store(true, Relaxed);
    let is_unavailable = |s: &[EndpointState]| s.iter().all(|s| *s != EndpointState::Ready);
    zone.churn("rack goes silent", is_unavailable).await;
    zone.rack_down.store(false, Relaxed);
    let is_ready =
        |s: &[EndpointState]| s.len() == RACK && s.iter().all(|s| *s == EndpointState::Ready);
    zone.churn("rack recovers", is_ready).await;
    zone.restart(endpoints).await;
}

fn main() {
    println!(
        "gates endpoints zones   sent B/s each  of a core each   memory each  wrongly suspect  oldest heartbeat"
    );
    for (gates, endpoints, zones) in SIZES {
        let mut runtime = tokio::runtime::Builder::new_multi_thread();
        let runtime = runtime.worker_threads(2).enable_all().build();
        let runtime = runtime.expect("a runtime starts");
        runtime.block_on(async {
            let zone = run(gates, endpoints, zones).await;
            if (gates, zones) == CHURNED {
                churn(&zone, endpoints).await;
            }
        });
        // Ends all tasks of this size before the next measurement.
        runtime.shutdown_background();
    }
}
