//! Reads request bodies within the gate's memory limit.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use host::problem::Problem;
use http_body_util::BodyExt;
use salvo::{Request, http::header::CONTENT_LENGTH};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, TryAcquireError};

use crate::{config::Limits, refusal::refusal};

/// Granularity of the memory accounting in bytes.
const ACCOUNTING_UNIT: usize = 1_024;

/// Largest buffer that is allocated before any of the body arrives, in bytes.
const INITIAL_CAPACITY: usize = 64 << 10;

/// A share of the memory for bodies; released when dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    memory: BodyMemory,
    permit: Option<OwnedSemaphorePermit>,
    reserved: usize,
}

impl MemoryReservation {
    /// Grows the share to `bytes` at least. Returns false if not enough memory is free.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.reserved {
            return true;
        }
        let missing = (bytes - self.reserved).next_multiple_of(ACCOUNTING_UNIT);
        let Ok(permit) = self.memory.try_reserve(missing) else {
            return false;
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            held => *held = Some(permit),
        }
        self.reserved += missing;
        true
    }
}

/// Limit on the memory for all bodies held at one time.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// Creates a limit of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        let units = bytes.div_ceil(ACCOUNTING_UNIT).min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Returns an empty share.
    pub(crate) fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            memory: self.clone(),
            permit: None,
            reserved: 0,
        }
    }

    /// Reserves `bytes`, or fails if not enough are free.
    fn try_reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, TryAcquireError> {
        let units = u32::try_from(bytes.div_ceil(ACCOUNTING_UNIT)).unwrap_or(u32::MAX);
        Arc::clone(&self.0).try_acquire_many_owned(units)
    }
}

/// Reads the whole body. Refuses it if it is too large or memory is exhausted.
pub(crate) async fn read(
    limits: &Limits,
    memory: &BodyMemory,
    req: &mut Request,
) -> Result<(Bytes, MemoryReservation), Box<Problem>> {
    let max = limits.body_bytes;
    let content_length = req.headers().get(CONTENT_LENGTH);
    let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|n| n > max) {
        return Err(too_large(max));
    }
    // Only bytes that have arrived are reserved, so a caller that declares a large body and sends
    // little does not block others.
    let mut reservation = memory.reservation();
    let mut whole = BytesMut::with_capacity(content_length.unwrap_or(0).min(INITIAL_CAPACITY));
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let detail = format!("the body could not be read: {e}");
            refusal(400, "bad-body", "Bad body", detail)
        })?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let size = whole.len() + part.len();
        match size {
            _ if size > max => return Err(too_large(max)),
            _ if !reservation.try_grow(size) => return Err(memory_exhausted()),
            _ => {}
        }
        whole.extend_from_slice(&part);
    }
    Ok((whole.freeze(), reservation))
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
