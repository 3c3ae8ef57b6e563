use tokio::net::TcpListener;

use super::{Probe, probe};

/// Guards against connections that break for another reason being taken for crashes.
#[tokio::test]
async fn only_an_endpoint_that_no_longer_listens_has_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert_eq!(probe(address).await, Probe::Accepted);
    drop(listener);
    assert_eq!(probe(address).await, Probe::Refused);
}
