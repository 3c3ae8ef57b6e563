use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::{ResponseBody, StreamPart};

// Guards against a stream that looks complete to its caller although its relay panicked or was dropped.
#[tokio::test]
async fn stream_without_its_relay_does_not_look_complete() {
    let (tx, parts) = mpsc::channel(1);
    let mut body = ResponseBody::Parts(parts);
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
    let mut body = ResponseBody::Parts(parts);
    tx.send(StreamPart::End).await.unwrap();
    drop(tx);

    let end = body.frame().await;
    assert!(end.is_none(), "{end:?}");
}
