//! Responses that never end: reading stops after a bounded number of bytes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use outbound::{Connection, SendState};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinHandle,
};

/// Bytes that the endpoint offers; many times what the buffers of both sockets hold.
const OFFERED_BYTES: usize = 64 << 20;
const WRITE_BYTES: usize = 16 << 10;

/// Answers one request with `head` and then copies of `repeated`. Returns the number of bytes that
/// were accepted before the peer closed the connection.
async fn start_endpoint(
    head: &'static str,
    repeated: &'static [u8],
) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        assert_ne!(stream.read(&mut buf).await.unwrap(), 0);
        stream.write_all(head.as_bytes()).await.unwrap();
        let repeated = repeated.repeat(WRITE_BYTES / repeated.len());
        let mut accepted = 0;
        while accepted < OFFERED_BYTES && stream.write_all(&repeated).await.is_ok() {
            accepted += repeated.len();
        }
        accepted
    });
    (address, accepted)
}

/// Guards against a connection that parses a chunk size of any length, and so keeps a processor busy
/// until the deadline of its call.
#[tokio::test]
async fn endless_chunk_size_is_not_read_to_its_end() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (address, accepted) = start_endpoint(head, b"0").await;
    let connecting = Connection::open(address, Duration::from_secs(20));
    let mut connection = connecting.await.unwrap();
    let request = Request::new(Full::new(Bytes::new()));
    let response = connection.send(request, &SendState::new()).await.unwrap();
    let mut body = response.into_body();
    let part = connection.drive(body.frame()).await;
    assert!(matches!(part, Some(Err(_))), "{part:?}");
    drop((connection, body));
    let accepted = accepted.await.unwrap();
    assert!(accepted < OFFERED_BYTES, "read {accepted} bytes");
}

/// The limit applies to what yields no part, not to the whole response.
#[tokio::test]
async fn long_body_is_read_to_its_end() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let (address, accepted) = start_endpoint(head, b"x").await;
    let connecting = Connection::open(address, Duration::from_secs(20));
    let mut connection = connecting.await.unwrap();
    let request = Request::new(Full::new(Bytes::new()));
    let response = connection.send(request, &SendState::new()).await.unwrap();
    let mut body = response.into_body();
    let mut received = 0;
    while let Some(part) = connection.drive(body.frame()).await {
        received += part.unwrap().into_data().unwrap().len();
    }
    assert_eq!(received, accepted.await.unwrap());
}
