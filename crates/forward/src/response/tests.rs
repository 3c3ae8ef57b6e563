use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    sync::mpsc,
};

use super::{BodyParts, ResponseBody, StreamPart};

/// Size of the buffer between caller and server, in bytes.
const CONNECTION_BUFFER: usize = 4_096;

// Guards against a stream that looks complete to its caller although its relay panicked or was dropped.
#[tokio::test]
async fn stream_without_its_relay_does_not_look_complete() {
    let (tx, parts) = mpsc::channel(1);
    let mut body = ResponseBody::Parts(BodyParts::new(parts));
    let part = StreamPart::Bytes(Bytes::from_static(b"id: 1\n\n"));
    tx.send(part).await.unwrap();
    drop(tx);

    assert!(matches!(body.frame().await, Some(Ok(_))));
    let end = body.frame().await;
    assert!(matches!(end, Some(Err(_))), "{end:?}");
}

// Guards against a complete stream that looks broken off to its caller.
#[tokio::test]
async fn stream_ends_with_its_end_part() {
    let (tx, parts) = mpsc::channel(1);
    let mut body = ResponseBody::Parts(BodyParts::new(parts));
    tx.send(StreamPart::End).await.unwrap();
    drop(tx);

    let end = body.frame().await;
    assert!(end.is_none(), "{end:?}");
}

// Guards against a broken stream of which neither the head nor the last events reach its caller.
#[tokio::test]
async fn events_before_the_end_of_a_broken_stream_reach_the_caller() {
    let (mut caller, server) = duplex(CONNECTION_BUFFER);
    let service = service_fn(async |_| {
        let (tx, parts) = mpsc::channel(2);
        for event in ["id: 1\n\n", "id: 2\n\n"] {
            tx.send(StreamPart::Bytes(Bytes::from(event)))
                .await
                .unwrap();
        }
        Ok::<_, Infallible>(Response::new(ResponseBody::Parts(BodyParts::new(parts))))
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(server), service);
    let calling = async {
        let request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        caller.write_all(request).await.unwrap();
        let mut received = String::new();
        caller.read_to_string(&mut received).await.unwrap();
        received
    };
    let (result, received) = tokio::join!(serving, calling);
    assert!(result.is_err());
    assert!(received.contains("id: 1\n\n"), "{received}");
    assert!(received.contains("id: 2\n\n"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
}
