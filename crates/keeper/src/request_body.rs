//! Reads request bodies within bounds of size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use host::problem::Problem;
use http_body_util::BodyExt;
use salvo::Request;
use tokio::time::timeout;

/// Maximum size of a body; a document of thousands of workspaces is far smaller.
const MAX_BODY_BYTES: usize = 3 << 20;
/// Read limit of an oversized body, which is discarded so that a client that is still writing gets
/// the error response rather than a broken connection.
const MAX_DISCARDED_BYTES: usize = 32 << 20;
/// Timeout for the whole body.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads the whole body of `req`; fails with 400, 408 or 413.
pub async fn read(req: &mut Request) -> Result<Bytes, Problem> {
    match timeout(READ_TIMEOUT, collect(req)).await {
        Ok(result) => result,
        Err(_) => {
            let detail =
                format!("the body was not received within {READ_TIMEOUT:?}; send it again");
            Err(Problem::new(408, "too-slow", "Body too slow", detail))
        }
    }
}

async fn collect(req: &mut Request) -> Result<Bytes, Problem> {
    let mut body = req.take_body();
    let mut buf = BytesMut::new();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| unreadable(&e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received += data.len();
        match () {
            () if received <= MAX_BODY_BYTES => buf.extend_from_slice(&data),
            () if received <= MAX_DISCARDED_BYTES => buf.clear(),
            () => break,
        }
    }
    match received <= MAX_BODY_BYTES {
        true => Ok(buf.freeze()),
        false => {
            let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            Err(Problem::new(413, "too-large", "Body too large", detail))
        }
    }
}

fn unreadable(detail: &str) -> Problem {
    let detail = format!("read the body: {detail}");
    Problem::new(400, "bad-request", "Bad request", detail)
}
