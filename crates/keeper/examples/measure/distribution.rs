//! Latency and cost of distributing an accepted change to many followers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use link::{
    Identity, Incoming, LinkConfig, Role,
    follower::{Follower, FollowerConfig},
    keepers::Keepers,
    serve,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::group::{Group, cpu_seconds, document, peer};

/// Number of gates that follow the keepers directly when the others follow gates.
const RELAYS: usize = 12;

/// Measures `changes` changes of one workspace each, in a document of `workspaces` workspaces.
pub async fn changes(n: usize, workspaces: usize, changes: usize, by_relays: bool) {
    let group = Group::start(true).await;
    let keepers = Keepers::new(group.peers(0));
    let mut base = group.change(&keepers, 0, &document(workspaces)).await;
    let bytes = Arc::new(AtomicU64::new(0));
    let mut followers = Vec::new();
    let direct = if by_relays { RELAYS.min(n) } else { n };
    for i in 0..direct {
        followers.push(Follower::start(group.peers(i), FollowerConfig::default()));
    }
    let mut relays = Vec::new();
    for follower in followers.iter().take(if by_relays { direct } else { 0 }) {
        relays.push(relay(follower.clone()).await);
    }
    for i in direct..n {
        let own = peer(relays[i % RELAYS], Role::Gate);
        let other = peer(relays[(i + 1) % RELAYS], Role::Gate);
        let mut sources = vec![own, other];
        sources.extend(group.peers(i).into_iter().take(1));
        followers.push(Follower::start(sources, FollowerConfig::default()));
    }
    let proxy = counting_proxy(group.addresses()[0], Arc::clone(&bytes)).await;
    let counted_follower =
        Follower::start(vec![peer(proxy, Role::Gate)], FollowerConfig::default());
    followers.push(counted_follower);
    wait_for_revision(&followers, base).await;
    let start_bytes = bytes.load(Ordering::Relaxed);
    let (mut times, cpu, start) = (Vec::new(), cpu_seconds(), Instant::now());
    for i in 0..changes {
        let mut change = document(1);
        let (id, _) = change.sections.get_max().unwrap();
        let id = id.clone();
        let text = change.sections.get_mut(&id).unwrap();
        text.entries
            .insert("max_in_flight".to_owned(), (1_000 + i).to_string());
        let start = Instant::now();
        base = group.change(&keepers, base, &change).await;
        wait_for_revision(&followers, base).await;
        times.push(start.elapsed());
    }
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("followers {n} workspaces {workspaces} by_relays {by_relays} changes {changes}");
    println!(
        "in force everywhere: p50 {:?} p99 {:?} max {:?}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    let used = bytes.load(Ordering::Relaxed) - start_bytes;
    println!("bytes at one follower a change: {}", used / changes as u64);
    println!(
        "processor time of keepers and followers a change: {:.1} ms over {:?}",
        (cpu_seconds() - cpu) * 1_000.0 / changes as f64,
        start.elapsed()
    );
}

/// Measures the traffic and CPU time of `n` followers while nothing changes.
pub async fn idle(n: usize, time: Duration) {
    let group = Group::start(true).await;
    let keepers = Keepers::new(group.peers(0));
    let base = group.change(&keepers, 0, &document(10)).await;
    sleep(Duration::from_secs(2)).await;
    let cpu = cpu_seconds();
    sleep(time).await;
    let alone = cpu_seconds() - cpu;
    let bytes = Arc::new(AtomicU64::new(0));
    let mut followers = Vec::new();
    for i in 0..n {
        followers.push(Follower::start(group.peers(i), FollowerConfig::default()));
    }
    let mut proxies = Vec::new();
    for address in group.addresses() {
        proxies.push(peer(
            counting_proxy(address, Arc::clone(&bytes)).await,
            Role::Gate,
        ));
    }
    followers.push(Follower::start(proxies, FollowerConfig::default()));
    wait_for_revision(&followers, base).await;
    sleep(Duration::from_secs(2)).await;
    let (cpu, before) = (cpu_seconds(), bytes.load(Ordering::Relaxed));
    sleep(time).await;
    let with = cpu_seconds() - cpu;
    let hours = time.as_secs_f64() / 3_600.0;
    let used = bytes.load(Ordering::Relaxed) - before;
    println!("followers {n}, three links each, over {time:?}");
    println!("bytes a follower an hour: {:.0}", used as f64 / hours);
    println!(
        "processor seconds a follower an hour, both ends: {:.2} (keepers alone {:.2} an hour)",
        (with - alone) / hours / n as f64,
        alone / hours
    );
}

async fn wait_for_revision(followers: &[Follower], revision: u64) {
    for follower in followers {
        let mut rx = follower.in_force();
        let reached = rx.wait_for(|f| f.as_ref().is_some_and(|f| f.revision >= revision));
        reached.await.unwrap();
    }
}

/// Serves the revision that `follower` has in force, as a gate does.
async fn relay(follower: Follower) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cfg = LinkConfig::new(Identity {
        vm: "relay".to_owned(),
        az: "az-0".to_owned(),
        role: Role::Gate,
        incarnation: Uuid::new_v4(),
    });
    tokio::spawn(serve(listener, cfg, move |call: Incoming| {
        follower.answer(&call.body)
    }));
    address
}

/// Starts a proxy to `to` that counts the bytes of both directions.
async fn counting_proxy(to: SocketAddr, bytes: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(to).await.unwrap();
            let ((client_read, client_write), (server_read, server_write)) =
                (client.into_split(), server.into_split());
            tokio::spawn(copy_and_count(
                client_read,
                server_write,
                Arc::clone(&bytes),
            ));
            tokio::spawn(copy_and_count(
                server_read,
                client_write,
                Arc::clone(&bytes),
            ));
        }
    });
    address
}

async fn copy_and_count(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        bytes.fetch_add(n as u64, Ordering::Relaxed);
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
