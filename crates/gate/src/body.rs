//! Reads request bodies within the gate's memory limit.

use bytes::Bytes;
use host::{body::Blocks, problem::Problem};
use http_body_util::BodyExt;
use outbound::{BodyMemory, MemoryReservation};
use salvo::{Request, http::header::CONTENT_LENGTH};

use crate::refusal::refusal;

/// Reads the whole body. Refuses it if it has more than `max` bytes or memory is exhausted.
pub(crate) async fn read(
    max: usize,
    memory: &BodyMemory,
    req: &mut Request,
) -> Result<(Bytes, MemoryReservation), Box<Problem>> {
    let content_length = req.headers().get(CONTENT_LENGTH);
    let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|n| n > max) {
        return Err(too_large(max));
    }
    // Only bytes that have arrived are reserved, so a caller that declares a large body and sends
    // little does not block others.
    let mut reservation = memory.reservation();
    let mut whole = Blocks::default();
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let detail = format!("the body could not be read: {e}");
            refusal(400, "bad-body", "Bad body", detail)
        })?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let size = whole.length() + part.len();
        match size {
            _ if size > max => return Err(too_large(max)),
            _ if !reservation.try_grow(size) => return Err(memory_exhausted()),
            _ => {}
        }
        whole.append(&part);
    }
    Ok((Bytes::from(whole.into_vec()), reservation))
}

fn too_large(max: usize) -> Box<Problem> {
    let detail = format!("the body is larger than {max} bytes; send a smaller one");
    refusal(413, "body-too-large", "Body too large", detail)
}

fn memory_exhausted() -> Box<Problem> {
    let detail = "the memory for request bodies is exhausted; retry later";
    let mut problem = refusal(503, "bodies-full", "No memory for the body", detail);
    problem.retry_after_ms = Some(1_000);
    problem
}
