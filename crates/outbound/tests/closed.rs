//! Connections that the pool does not keep.

use std::{collections::BTreeSet, time::Duration};

use outbound::{Pool, PoolConfig};
use tokio::{net::TcpListener, time::sleep};

const TIMEOUT: Duration = Duration::from_secs(20);

fn pool() -> Pool {
    Pool::new(PoolConfig {
        max_idle_per_endpoint: 4,
        idle_timeout: TIMEOUT,
        connect_timeout: TIMEOUT,
    })
}

/// Guards against a second call on a connection whose responses name no call.
#[tokio::test]
async fn connection_for_a_single_call_is_not_kept() {
    let pool = pool();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection = pool.connect(address).await.unwrap();
    connection.is_single_use = true;
    pool.checkin(address, connection);
    assert!(pool.checkout(address).is_none());
}

/// Guards against a response to a call of one kind that is taken for that to a call of another.
#[tokio::test]
async fn connections_of_separate_kinds_are_kept_apart() {
    let pool = pool();
    let separate = pool.separate();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    separate.checkin(address, pool.connect(address).await.unwrap());
    assert!(pool.checkout(address).is_none());
    assert!(separate.checkout(address).is_some());
    separate.checkin(address, pool.connect(address).await.unwrap());
    pool.close_idle(address);
    assert!(separate.checkout(address).is_none());
}

/// Guards against closed connections that are not reported, and open ones that are removed.
#[tokio::test]
async fn only_closed_idle_connections_are_removed() {
    let pool = pool();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut accepted = Vec::new();
    for _ in 0..2 {
        let connection = pool.connect(address).await.unwrap();
        pool.checkin(address, connection);
        accepted.push(listener.accept().await.unwrap().0);
    }
    assert_eq!(pool.remove_closed(), BTreeSet::new());
    drop(accepted.pop());
    while pool.remove_closed().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(pool.remove_closed(), BTreeSet::new());
    assert!(pool.checkout(address).is_some());
    assert!(pool.checkout(address).is_none());
}
