//! Reading request bodies within the gate's bound on memory.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use host::problem::Problem;
use http_body_util::BodyExt;
use salvo::{Request, http::header::CONTENT_LENGTH};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, TryAcquireError};

use crate::{config::Limits, refusal::bad};

/// Granularity in which bodies are accounted for, in bytes.
const UNIT: usize = 1_024;

/// Largest buffer that is set aside before anything has come, in bytes.
const FIRST_CAPACITY: usize = 64 << 10;

/// A share of the bodies held at one time; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    _permit: OwnedSemaphorePermit,
}

/// The bound on bodies held at one time.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// A bound of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        let units = bytes.div_ceil(UNIT).min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Takes `bytes`, or nothing where they are not free.
    fn take(&self, bytes: usize) -> Result<OwnedSemaphorePermit, TryAcquireError> {
        let units = u32::try_from(bytes.div_ceil(UNIT)).unwrap_or(u32::MAX);
        Arc::clone(&self.0).try_acquire_many_owned(units)
    }
}

/// Reads the whole body; refuses one that is too large, or for which no memory is free.
pub(crate) async fn read(
    limits: &Limits,
    budget: &BodyMemory,
    req: &mut Request,
) -> Result<(Bytes, MemoryReservation), Box<Problem>> {
    let max = limits.body_bytes;
    let declared = req.headers().get(CONTENT_LENGTH);
    let declared = declared.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|n| n > max) {
        return Err(too_large(max));
    }
    // Only what has come is accounted for: a caller that announces much and sends little holds none.
    let mut permit = budget.take(0).map_err(|_| full())?;
    let mut whole = BytesMut::with_capacity(declared.unwrap_or(0).min(FIRST_CAPACITY));
    let mut accounted = 0;
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let what = format!("the body could not be read: {e}");
            bad(400, "bad-body", "Bad body", what)
        })?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let size = whole.len() + part.len();
        match size {
            _ if size > max => return Err(too_large(max)),
            _ if size > accounted => {
                permit.merge(budget.take(size - accounted).map_err(|_| full())?);
                accounted += (size - accounted).next_multiple_of(UNIT);
            }
            _ => {}
        }
        whole.extend_from_slice(&part);
    }
    Ok((whole.freeze(), MemoryReservation { _permit: permit }))
}

fn too_large(max: usize) -> Box<Problem> {
    let what = format!("the body is larger than {max} bytes; send a smaller one");
    bad(413, "body-too-large", "Body too large", what)
}

fn full() -> Box<Problem> {
    let what = "the gate holds as many bodies as it may; come back";
    let mut problem = bad(503, "bodies-full", "No memory for the body", what);
    problem.retry_after_ms = Some(1_000);
    problem
}
