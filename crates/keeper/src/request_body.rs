//! Reading bodies within bounds, so that a refusal reaches its sender.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use host::problem::Problem;
use http_body_util::BodyExt;
use salvo::Request;
use tokio::time::timeout;

/// Largest body in bytes; a document of thousands of workspaces is far smaller.
const MAX_BODY_BYTES: usize = 3 << 20;
/// Bytes that are read and thrown away, so that a sender that is still writing sees the refusal
/// rather than a broken connection.
const MAX_DISCARDED_BYTES: usize = 32 << 20;
/// Longest time for the whole body.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// The whole body of `req`.
pub async fn read(req: &mut Request) -> Result<Bytes, Problem> {
    match timeout(READ_LIMIT, collect(req)).await {
        Ok(result) => result,
        Err(_) => {
            let detail = format!("the body did not come within {READ_LIMIT:?}; send it again");
            Err(Problem::new(408, "too-slow", "Body too slow", detail))
        }
    }
}

async fn collect(req: &mut Request) -> Result<Bytes, Problem> {
    let mut body = req.take_body();
    let mut kept = BytesMut::new();
    let mut seen = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| unreadable(&e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        seen += data.len();
        match () {
            () if seen <= MAX_BODY_BYTES => kept.extend_from_slice(&data),
            () if seen <= MAX_DISCARDED_BYTES => kept.clear(),
            () => break,
        }
    }
    match seen <= MAX_BODY_BYTES {
        true => Ok(kept.freeze()),
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
