use tokio::net::TcpListener;

use super::is_refused;

/// Guards against connections that break for another reason being taken for crashes.
#[tokio::test]
async fn only_an_endpoint_that_no_longer_listens_has_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert!(!is_refused(address).await);
    drop(listener);
    assert!(is_refused(address).await);
}
