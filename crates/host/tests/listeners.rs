//! Connections at the limit of an HTTP listener, over real sockets.

use std::{sync::Arc, time::Duration};

use host::{
    http::{self, ListenerLimits},
    resources::Resources,
};
use salvo::{Depot, Response, Router, affix_state, handler};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    time::timeout,
};

const TIMEOUT: Duration = Duration::from_secs(10);

#[handler]
async fn answer(res: &mut Response) {
    res.render("quick");
}

/// Answers once the test adds a permit.
#[handler]
async fn wait(depot: &mut Depot, res: &mut Response) {
    let gate = Arc::clone(depot.get_typed::<Arc<Semaphore>>().unwrap());
    gate.acquire().await.unwrap().forget();
    res.render("late");
}

/// Starts a listener with room for two connections.
async fn start(name: &'static str, gate: &Arc<Semaphore>) -> std::net::SocketAddr {
    let bound = http::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = bound.local_addr;
    let router = Router::new()
        .hoop(affix_state::inject(Arc::clone(gate)))
        .push(Router::with_path("quick").get(answer))
        .push(Router::with_path("late").get(wait));
    let mut limits = ListenerLimits::internal(name, &Resources::of_machine());
    limits.max_connections = 2;
    drop(http::serve(bound, router, &limits));
    address
}

async fn connect(address: std::net::SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET /{path} HTTP/1.1\r\nhost: test\r\n\r\n");
    // A refused connection may be closed before the request is written.
    let _ = stream.write_all(request.as_bytes()).await;
    stream
}

/// Reads until `text` arrives; returns false if the connection closes first.
async fn receives(stream: &mut TcpStream, text: &str) -> bool {
    let read = async {
        let mut received = Vec::new();
        let mut buf = [0; 1_024];
        loop {
            match stream.read(&mut buf).await {
                Ok(n @ 1..) => received.extend_from_slice(&buf[..n]),
                _ => return false,
            }
            if received.ends_with(text.as_bytes()) {
                return true;
            }
        }
    };
    timeout(TIMEOUT, read).await.expect("an answer or an end")
}

/// Guards against new connections that wait in the kernel behind idle ones.
#[tokio::test]
async fn longest_idle_connection_closes_for_a_new_one() {
    let address = start("idle", &Arc::new(Semaphore::new(0))).await;
    let mut first = connect(address, "quick").await;
    assert!(receives(&mut first, "quick").await);
    let mut second = connect(address, "quick").await;
    assert!(receives(&mut second, "quick").await);
    let mut third = connect(address, "quick").await;
    assert!(receives(&mut third, "quick").await);
    assert!(!receives(&mut first, "quick").await);
    second
        .write_all(b"GET /quick HTTP/1.1\r\nhost: test\r\n\r\n")
        .await
        .unwrap();
    assert!(receives(&mut second, "quick").await);
}

/// Guards against a crowd that ends requests which are being served.
#[tokio::test]
async fn served_requests_are_not_closed_for_new_connections() {
    let gate = Arc::new(Semaphore::new(0));
    let address = start("served", &gate).await;
    let mut served = connect(address, "late").await;
    let mut other = connect(address, "quick").await;
    assert!(receives(&mut other, "quick").await);
    // Each takes the place of the one before, not of the served one.
    for _ in 0..8 {
        let mut next = connect(address, "quick").await;
        assert!(receives(&mut next, "quick").await);
    }
    gate.add_permits(1);
    assert!(receives(&mut served, "late").await);
}

/// Guards against heads within the limit on their size that are refused for their number of fields,
/// and against fields that together take more memory than they may.
#[tokio::test]
async fn heads_of_many_short_fields_are_served_within_their_memory() {
    let gate = Arc::new(Semaphore::new(0));
    let bound = http::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = bound.local_addr;
    let router = Router::new()
        .hoop(affix_state::inject(Arc::clone(&gate)))
        .push(Router::with_path("late").get(wait));
    let mut limits = ListenerLimits::internal("fields", &Resources::of_machine());
    limits.max_field_bytes = 400_000;
    drop(http::serve(bound, router, &limits));
    let request = format!(
        "GET /late HTTP/1.1\r\nhost: test\r\n{}\r\n",
        "a:b\r\n".repeat(900)
    );
    let send = async || {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    };
    let mut served = send().await;
    // A further one does not fit beside the one that is served.
    let refused = async {
        loop {
            let mut second = send().await;
            let mut head = [0; 12];
            second.read_exact(&mut head).await.unwrap();
            if &head == b"HTTP/1.1 431" {
                return;
            }
        }
    };
    timeout(TIMEOUT, refused).await.expect("a refusal");
    gate.add_permits(1);
    assert!(receives(&mut served, "late").await);
}
