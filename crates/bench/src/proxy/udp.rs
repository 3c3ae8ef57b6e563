//! UDP: one task a client address, each datagram under the rules of its own.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{net::UdpSocket, sync::watch, task::JoinSet, time::sleep};

use super::{
    Switch,
    rules::{Direction, Rules},
};

/// Largest datagram.
const DATAGRAM: usize = 65_535;
/// Clients served at once.
const CLIENTS: usize = 1_024;
/// How long a reordered datagram is held back beyond its delay.
const HELD_BACK: Duration = Duration::from_millis(20);

/// Passes datagrams until aborted.
pub(crate) async fn run(
    socket: UdpSocket,
    switch: Switch,
    rules: watch::Receiver<Rules>,
    seed: u64,
) {
    let socket = Arc::new(socket);
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buf = vec![0; DATAGRAM];
    loop {
        let Ok((n, peer)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        if clients.len() > CLIENTS {
            clients.clear();
            tasks.abort_all();
        }
        if !clients.contains_key(&peer) {
            let number = clients.len() as u64 + 1;
            let Some(client) = Client::open(&switch, number).await else {
                continue;
            };
            let back = Back {
                near: Arc::clone(&socket),
                far: Arc::clone(&client.far),
                peer,
                rules: rules.clone(),
                rng: SmallRng::seed_from_u64(seed ^ number << 32),
            };
            tasks.spawn(back.run(switch.clone(), number));
            clients.insert(peer, client);
        }
        let client = &clients[&peer];
        if is_silent(&switch, client.number) {
            continue;
        }
        let copies = fates(&rules.borrow(), Direction::ToUpstream, &mut rng);
        for wait in copies {
            let (far, bytes) = (Arc::clone(&client.far), Bytes::copy_from_slice(&buf[..n]));
            tasks.spawn(async move {
                sleep(wait).await;
                // A datagram that cannot be sent is lost.
                let _ = far.send(&bytes).await;
            });
        }
        while tasks.try_join_next().is_some() {}
    }
}

struct Client {
    number: u64,
    far: Arc<UdpSocket>,
}

impl Client {
    async fn open(switch: &Switch, number: u64) -> Option<Self> {
        let upstream = (*switch.upstream.borrow())?;
        let far = UdpSocket::bind(("127.0.0.1", 0)).await.ok()?;
        far.connect(upstream).await.ok()?;
        switch.newest.send_replace(number);
        Some(Self {
            number,
            far: Arc::new(far),
        })
    }
}

/// The way back to one client.
struct Back {
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    peer: SocketAddr,
    rules: watch::Receiver<Rules>,
    rng: SmallRng,
}

impl Back {
    async fn run(mut self, switch: Switch, number: u64) {
        let mut buf = vec![0; DATAGRAM];
        let mut tasks = JoinSet::new();
        loop {
            let Ok(n) = self.far.recv(&mut buf).await else {
                sleep(HELD_BACK).await;
                continue;
            };
            if is_silent(&switch, number) {
                continue;
            }
            let copies = fates(&self.rules.borrow(), Direction::FromUpstream, &mut self.rng);
            for wait in copies {
                let (near, peer) = (Arc::clone(&self.near), self.peer);
                let bytes = Bytes::copy_from_slice(&buf[..n]);
                tasks.spawn(async move {
                    sleep(wait).await;
                    // A datagram that cannot be sent is lost.
                    let _ = near.send_to(&bytes, peer).await;
                });
            }
            while tasks.try_join_next().is_some() {}
        }
    }
}

fn is_silent(switch: &Switch, number: u64) -> bool {
    number <= *switch.silent_to.borrow()
}

/// After which waits a datagram is sent: none where it is lost, two where it is doubled.
fn fates(rules: &Rules, direction: Direction, rng: &mut SmallRng) -> Vec<Duration> {
    let mut hits = |share: f64| share > 0.0 && rng.random_bool(share.min(1.0));
    if rules.cut.blocks(direction) || hits(rules.loss) {
        return Vec::new();
    }
    let copies = if hits(rules.duplicate) { 2 } else { 1 };
    let held = if hits(rules.reorder) {
        HELD_BACK
    } else {
        Duration::ZERO
    };
    let jitter = rng.random_range(0..=rules.jitter_us);
    let wait = Duration::from_micros(rules.delay_us + jitter) + held;
    vec![wait; copies]
}
