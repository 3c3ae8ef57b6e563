//! Tests of the faults that the proxy injects, as seen by the client.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bench::proxy::{Cut, Proxy, Rules};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

/// Time without data after which a connection counts as blocked.
const QUIET_PERIOD: Duration = Duration::from_millis(150);

/// Starts a TCP echo server.
async fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = socket.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    address
}

async fn start_udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buf = [0; 1_500];
        while let Ok((n, peer)) = socket.recv_from(&mut buf).await {
            socket.send_to(&buf[..n], peer).await.unwrap();
        }
    });
    address
}

async fn start_proxy() -> Proxy {
    let proxy = Proxy::start(7).await.unwrap();
    proxy.set_upstream(start_echo().await);
    proxy
}

async fn round_trip(socket: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    socket.write_all(b"ping").await?;
    let mut buf = [0; 4];
    socket.read_exact(&mut buf).await?;
    Ok(buf)
}

#[tokio::test]
async fn bytes_and_the_end_of_the_stream_pass_both_ways() {
    let proxy = start_proxy().await;
    let mut socket = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(&round_trip(&mut socket).await.unwrap(), b"ping");
    socket.shutdown().await.unwrap();
    let mut rest = Vec::new();
    assert_eq!(socket.read_to_end(&mut rest).await.unwrap(), 0);
}

#[tokio::test]
async fn a_delay_applies_in_each_direction() {
    let proxy = start_proxy().await;
    proxy.set_rules(Rules::delayed(Duration::from_millis(40)));
    let mut socket = TcpStream::connect(proxy.address()).await.unwrap();
    let started_at = Instant::now();
    round_trip(&mut socket).await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn the_rate_limit_slows_a_stream() {
    let proxy = start_proxy().await;
    proxy.set_rules(Rules {
        rate: 100_000,
        ..Rules::default()
    });
    let mut socket = TcpStream::connect(proxy.address()).await.unwrap();
    let started_at = Instant::now();
    socket.write_all(&vec![1; 20_000]).await.unwrap();
    let mut buf = vec![0; 20_000];
    socket.read_exact(&mut buf).await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let proxy = start_proxy().await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    round_trip(&mut old).await.unwrap();
    proxy.silence_connections();
    assert!(timeout(QUIET_PERIOD, round_trip(&mut old)).await.is_err());
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(round_trip(&mut new).await.is_ok());
}

#[tokio::test]
async fn a_one_way_cut_holds_data_back_until_removed() {
    let proxy = start_proxy().await;
    let mut socket = TcpStream::connect(proxy.address()).await.unwrap();
    proxy.set_rules(Rules::cut(Cut::FromUpstream));
    assert!(
        timeout(QUIET_PERIOD, round_trip(&mut socket))
            .await
            .is_err()
    );
    proxy.set_rules(Rules::default());
    let mut buf = [0; 4];
    socket.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"ping");
}

#[tokio::test]
async fn reset_connections_fail_and_new_ones_work() {
    let proxy = start_proxy().await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    round_trip(&mut old).await.unwrap();
    proxy.reset_connections();
    let kind = old.read_u8().await.unwrap_err().kind();
    assert_eq!(kind, std::io::ErrorKind::ConnectionReset);
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(round_trip(&mut new).await.is_ok());
}

#[tokio::test]
async fn rules_can_depend_on_the_peer() {
    let cut = tokio::sync::watch::Sender::new(Rules::cut(Cut::Both));
    let open = tokio::sync::watch::Sender::new(Rules::default());
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let blocked_port = socket.local_addr().unwrap().port();
    let rules = (cut.subscribe(), open.subscribe());
    let rules_for = move |peer: SocketAddr| match peer.port() == blocked_port {
        true => rules.0.clone(),
        false => rules.1.clone(),
    };
    let proxy = Proxy::start_with_peer_rules(1, rules_for).await.unwrap();
    proxy.set_upstream(start_echo().await);
    let mut blocked = socket.connect(proxy.address()).await.unwrap();
    assert!(
        timeout(QUIET_PERIOD, round_trip(&mut blocked))
            .await
            .is_err()
    );
    let mut other = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(round_trip(&mut other).await.is_ok());
}

/// Sends 50 numbered datagrams through a proxy and returns the echoes in the order received.
async fn echoed_datagrams(rules: Rules) -> Vec<u8> {
    let proxy = Proxy::start_udp(3).await.unwrap();
    proxy.set_upstream(start_udp_echo().await);
    proxy.set_rules(rules);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.connect(proxy.address()).await.unwrap();
    let mut received = Vec::new();
    for n in 0..50 {
        socket.send(&[n]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut buf = [0; 8];
    while let Ok(Ok(_)) = timeout(QUIET_PERIOD, socket.recv(&mut buf)).await {
        received.push(buf[0]);
    }
    received
}

#[tokio::test]
async fn datagrams_are_lost_duplicated_and_reordered() {
    let lost = echoed_datagrams(Rules {
        loss: 0.3,
        ..Rules::default()
    })
    .await;
    assert!(lost.len() < 50 && !lost.is_empty(), "{lost:?}");
    let duplicated = echoed_datagrams(Rules {
        duplicate: 0.3,
        ..Rules::default()
    })
    .await;
    assert!(duplicated.len() > 50, "{duplicated:?}");
    let reordered = echoed_datagrams(Rules {
        reorder: 0.3,
        ..Rules::default()
    })
    .await;
    assert_eq!(reordered.len(), 50);
    assert!(!reordered.is_sorted(), "{reordered:?}");
}
