//! Responses that begin before the request has been read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use outbound::{Connection, SendState};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// More than the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 32 << 20;
const PART: &str = "the first part";
/// Time in which the upload fills the buffers.
const UPLOAD_TIME: Duration = Duration::from_millis(100);

/// What the endpoint does after the first part of a response without a length.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// It reads the rest of the request and closes the connection.
    ReadAll,
    /// It ends its side of the connection and reads on.
    EndAndRead,
    /// It ends its side of the connection, and resets it later.
    EndAndReset,
    /// It resets the connection.
    Reset,
    /// It closes the connection, on which much of the request is unread.
    Close,
}

async fn respond(mut stream: TcpStream, then: Then) {
    let mut buf = vec![0; 64 << 10];
    assert_ne!(stream.read(&mut buf).await.unwrap(), 0);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{PART}");
    stream.write_all(response.as_bytes()).await.unwrap();
    sleep(UPLOAD_TIME).await;
    match then {
        Then::ReadAll => {
            // Until nothing comes.
            while timeout(UPLOAD_TIME, stream.read(&mut buf)).await.is_ok() {}
        }
        Then::EndAndRead => {
            stream.shutdown().await.unwrap();
            sleep(UPLOAD_TIME).await;
            // The peer may close the connection at any time.
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        }
        Then::EndAndReset => {
            stream.shutdown().await.unwrap();
            sleep(UPLOAD_TIME).await;
            stream.set_zero_linger().unwrap();
        }
        Then::Reset => stream.set_zero_linger().unwrap(),
        Then::Close => {}
    }
}

async fn start_endpoint(then: Then) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        respond(stream, then).await;
    });
    address
}

/// Sends a request with a long body; returns the body of the response, or `None` if it broke off.
async fn upload(then: Then) -> Option<Bytes> {
    let address = start_endpoint(then).await;
    let connecting = Connection::open(address, Duration::from_secs(20));
    let mut connection = connecting.await.unwrap();
    let request = Request::new(Full::new(Bytes::from(vec![b'u'; UPLOAD_BYTES])));
    let response = connection.send(request, &SendState::new()).await.ok()?;
    let body = connection.drive(response.into_body().collect()).await;
    body.ok().map(http_body_util::Collected::to_bytes)
}

/// Guards against a part of a response that passes for the whole one, since the connection ended while
/// the request was still being written.
#[tokio::test]
async fn response_that_ends_with_its_connection_during_the_upload_is_incomplete() {
    for then in [
        Then::EndAndRead,
        Then::EndAndReset,
        Then::Reset,
        Then::Close,
    ] {
        let body = upload(then).await;
        assert_eq!(body, None, "{then:?}");
    }
}

#[tokio::test]
async fn response_that_ends_with_its_connection_after_the_upload_is_complete() {
    let body = upload(Then::ReadAll).await;
    assert_eq!(body.as_deref(), Some(PART.as_bytes()));
}
