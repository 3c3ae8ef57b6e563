//! Gossip between tables over real links.

mod common;

use std::time::Duration;

use common::{announcement, table};
use link::{Identity, LinkConfig, Peer, Role};
use membership::{Announcement, EndpointState, Readiness, Table, TableConfig, neighbours};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Gate {
    table: Table,
    address: std::net::SocketAddr,
    cfg: LinkConfig,
    server: JoinHandle<()>,
}

async fn gate(name: &str, az: &str) -> Gate {
    let cfg = LinkConfig::new(Identity {
        vm: name.to_owned(),
        az: az.to_owned(),
        role: Role::Gate,
        incarnation: uuid::Uuid::now_v7(),
    });
    let table = Table::new(TableConfig::new(name, az));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shared_table = table.clone();
    let handler = move |call: link::Incoming| {
        let table = shared_table.clone();
        async move { table.answer(&call.body).await }
    };
    let server = tokio::spawn(link::serve(listener, cfg.clone(), handler));
    Gate {
        table,
        address,
        cfg,
        server,
    }
}

impl Gate {
    fn peer(&self, other: &Self) -> Peer {
        Peer::start(&other.cfg.identity.vm, other.address, &self.cfg)
    }
}

/// Announces `names` to `table` periodically until aborted.
fn announce_periodically(table: &Table, names: Vec<String>) -> JoinHandle<()> {
    let table = table.clone();
    tokio::spawn(async move {
        for seq in 1.. {
            for name in &names {
                table.announce(announcement(name, 1, seq)).unwrap();
            }
            sleep(Duration::from_millis(300)).await;
        }
    })
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out after {TIMEOUT:?} waiting until {what}"));
}

fn state(table: &Table, name: &str) -> Option<EndpointState> {
    let list = table.list();
    list.iter()
        .find(|view| view.endpoint == name)
        .map(|view| view.state)
}

#[tokio::test]
async fn departure_reaches_all_gates() {
    let names: Vec<String> = (0..5).map(|at| format!("g{at}")).collect();
    let mut gates = Vec::new();
    for name in &names {
        gates.push(gate(name, "sousse-a").await);
    }
    for (at, name) in names.iter().enumerate() {
        let chosen = neighbours(name, &names);
        let peers = gates
            .iter()
            .filter(|other| chosen.contains(&other.cfg.identity.vm));
        let peers: Vec<Peer> = peers.map(|other| gates[at].peer(other)).collect();
        gates[at].table.start_gossip(peers);
    }
    let announcing = announce_periodically(&gates[0].table, vec!["e".to_owned()]);
    wait_until("all gates have the endpoint", || {
        gates
            .iter()
            .all(|g| state(&g.table, "e") == Some(EndpointState::Ready))
    })
    .await;
    announcing.abort();
    let leaving = Announcement {
        state: Readiness::Leaving,
        ..announcement("e", 1, 1_000)
    };
    let start = Instant::now();
    gates[3].table.announce(leaving).unwrap();
    wait_until("all gates see it leaving", || {
        gates
            .iter()
            .all(|g| state(&g.table, "e") == Some(EndpointState::Leaving))
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(3));
}

#[tokio::test]
async fn restarted_gate_has_the_table_within_2_s() {
    let old = gate("a", "sousse-a").await;
    for at in 0..490 {
        let name = format!("e{at}");
        old.table.announce(announcement(&name, 1, 1)).unwrap();
    }
    let start = Instant::now();
    let restarted = gate("b", "sousse-a").await;
    let peers = [restarted.peer(&old)];
    assert!(restarted.table.bootstrap(&peers).await);
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(restarted.table.list().len(), 490);
}

#[tokio::test]
async fn gate_without_reachable_neighbour_starts_empty_within_2_s() {
    let alone = gate("a", "sousse-a").await;
    let unreachable = gate("b", "sousse-a").await;
    unreachable.server.abort();
    let peers = [alone.peer(&unreachable)];
    let start = Instant::now();
    assert!(!alone.table.bootstrap(&peers).await);
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn heartbeats_at_another_gate_keep_an_endpoint_ready() {
    let (a, b) = (gate("a", "sousse-a").await, gate("b", "sousse-a").await);
    let peers = vec![b.peer(&a)];
    b.table.start_gossip(peers);
    let announcements = async {
        for seq in 1..14 {
            a.table.announce(announcement("e", 1, seq)).unwrap();
            sleep(Duration::from_millis(500)).await;
        }
    };
    announcements.await;
    assert_eq!(state(&b.table, "e"), Some(EndpointState::Ready));
    let start = Instant::now();
    wait_until("it is suspect", || {
        state(&b.table, "e") == Some(EndpointState::Suspect)
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn other_zone_gets_a_bounded_sample() {
    let (a, b) = (gate("a", "sousse-a").await, gate("b", "mahdia-a").await);
    let names = (0..40).map(|at| format!("e{at}")).collect();
    let announcing = announce_periodically(&a.table, names);
    let bound = b.table.config().max_remote_per_service;
    let peers = vec![b.peer(&a)];
    b.table.start_gossip(peers);
    wait_until("a sample arrives", || !b.table.list().is_empty()).await;
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(b.table.list().len(), bound);
    announcing.abort();
    assert!(table("c").list().is_empty());
}

#[test]
fn neighbours_are_few_and_reach_all_gates() {
    let gates: Vec<String> = (0..33).map(|at| format!("g{at:02}")).collect();
    let mut reached = vec![gates[0].clone()];
    for _ in 0..6 {
        let next: Vec<String> = reached.iter().flat_map(|g| neighbours(g, &gates)).collect();
        reached.extend(next);
        reached.sort();
        reached.dedup();
    }
    assert_eq!(reached.len(), gates.len());
    let most = gates.iter().map(|g| neighbours(g, &gates).len()).max();
    assert_eq!(most, Some(6));
    assert!(neighbours("alone", &[]).is_empty());
}

#[tokio::test]
async fn table_that_spans_zones_is_equal_on_all_gates() {
    let mut gates = Vec::new();
    for (name, az) in [("k1", "sousse-a"), ("k2", "monastir-a"), ("k3", "mahdia-a")] {
        let mut gate = gate(name, az).await;
        gate.server.abort();
        let mut cfg = TableConfig::new(name, az);
        cfg.spans_zones = true;
        gate.table = Table::new(cfg);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        gate.address = listener.local_addr().unwrap();
        let shared_table = gate.table.clone();
        let handler = move |call: link::Incoming| {
            let table = shared_table.clone();
            async move { table.answer(&call.body).await }
        };
        gate.server = tokio::spawn(link::serve(listener, gate.cfg.clone(), handler));
        gates.push(gate);
    }
    let mut tasks = Vec::new();
    for gate in &gates {
        let others = gates.iter().filter(|other| other.address != gate.address);
        let peers: Vec<Peer> = others.map(|other| gate.peer(other)).collect();
        for peer in &peers {
            peer.connected().await;
        }
        tasks.push(gate.table.gossip(peers));
    }
    // Each receives announcements from endpoints of every availability zone.
    for (at, az) in ["sousse-a", "monastir-a", "mahdia-a"]
        .into_iter()
        .enumerate()
    {
        for n in 0..3 {
            let mut announced = announcement(&format!("e{at}{n}"), 1, 1);
            az.clone_into(&mut announced.az);
            gates[(at + n) % 3].table.announce(announced).unwrap();
        }
    }
    let all_known = async {
        while gates.iter().any(|gate| gate.table.list().len() < 9) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, all_known).await.unwrap();
    gates[0].table.deregister("e10", None);
    let departure_known = async {
        let is_leaving = |gate: &Gate| {
            let list = gate.table.list();
            list.iter()
                .any(|e| e.endpoint == "e10" && e.state == EndpointState::Leaving)
        };
        while !gates.iter().all(is_leaving) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, departure_known).await.unwrap();
}
