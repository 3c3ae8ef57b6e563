//! UDP proxy: one upstream socket per client address; the rules apply to each datagram on its own.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{net::UdpSocket, sync::watch, task::JoinSet, time::sleep};

use super::{
    ConnectionControl,
    rules::{Direction, Rules},
};

/// Size of the receive buffers: the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Number of client addresses beyond which all are dropped.
const MAX_CLIENTS: usize = 1_024;
/// Extra delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(20);

/// Forwards datagrams until aborted.
pub(crate) async fn run(
    socket: UdpSocket,
    control: ConnectionControl,
    rules: watch::Receiver<Rules>,
    seed: u64,
) {
    let socket = Arc::new(socket);
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((n, peer)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        if clients.len() > MAX_CLIENTS {
            clients.clear();
            tasks.abort_all();
        }
        if !clients.contains_key(&peer) {
            let number = clients.len() as u64 + 1;
            let Some(client) = Client::open(&control, number).await else {
                continue;
            };
            let return_path = ReturnPath {
                listener: Arc::clone(&socket),
                upstream: Arc::clone(&client.upstream),
                peer,
                rules: rules.clone(),
                rng: SmallRng::seed_from_u64(seed ^ number << 32),
            };
            tasks.spawn(return_path.run(control.clone(), number));
            clients.insert(peer, client);
        }
        let client = &clients[&peer];
        if is_silenced(&control, client.number) {
            continue;
        }
        let delays = send_delays(&rules.borrow(), Direction::ToUpstream, &mut rng);
        for delay in delays {
            let (upstream, bytes) = (
                Arc::clone(&client.upstream),
                Bytes::copy_from_slice(&buf[..n]),
            );
            tasks.spawn(async move {
                sleep(delay).await;
                // A datagram that cannot be sent is lost.
                let _ = upstream.send(&bytes).await;
            });
        }
        while tasks.try_join_next().is_some() {}
    }
}

struct Client {
    number: u64,
    upstream: Arc<UdpSocket>,
}

impl Client {
    async fn open(control: &ConnectionControl, number: u64) -> Option<Self> {
        let address = (*control.upstream.borrow())?;
        let upstream = UdpSocket::bind(("127.0.0.1", 0)).await.ok()?;
        upstream.connect(address).await.ok()?;
        control.last_number.send_replace(number);
        Some(Self {
            number,
            upstream: Arc::new(upstream),
        })
    }
}

/// Forwards datagrams from the upstream to one client.
struct ReturnPath {
    listener: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    peer: SocketAddr,
    rules: watch::Receiver<Rules>,
    rng: SmallRng,
}

impl ReturnPath {
    async fn run(mut self, control: ConnectionControl, number: u64) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut tasks = JoinSet::new();
        loop {
            let Ok(n) = self.upstream.recv(&mut buf).await else {
                sleep(REORDER_DELAY).await;
                continue;
            };
            if is_silenced(&control, number) {
                continue;
            }
            let delays = send_delays(&self.rules.borrow(), Direction::FromUpstream, &mut self.rng);
            for delay in delays {
                let (listener, peer) = (Arc::clone(&self.listener), self.peer);
                let bytes = Bytes::copy_from_slice(&buf[..n]);
                tasks.spawn(async move {
                    sleep(delay).await;
                    // A datagram that cannot be sent is lost.
                    let _ = listener.send_to(&bytes, peer).await;
                });
            }
            while tasks.try_join_next().is_some() {}
        }
    }
}

fn is_silenced(control: &ConnectionControl, number: u64) -> bool {
    number <= *control.silenced_up_to.borrow()
}

/// Returns a delay for each copy of a datagram to send: none if it is lost, two if duplicated.
fn send_delays(rules: &Rules, direction: Direction, rng: &mut SmallRng) -> Vec<Duration> {
    let mut happens = |probability: f64| probability > 0.0 && rng.random_bool(probability.min(1.0));
    if rules.cut.blocks(direction) || happens(rules.loss) {
        return Vec::new();
    }
    let copies = if happens(rules.duplicate) { 2 } else { 1 };
    let reorder_delay = if happens(rules.reorder) {
        REORDER_DELAY
    } else {
        Duration::ZERO
    };
    let jitter = rng.random_range(0..=rules.jitter_us);
    let delay = Duration::from_micros(rules.delay_us + jitter) + reorder_delay;
    vec![delay; copies]
}
