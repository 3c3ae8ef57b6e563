//! Limit on the memory for bodies that are held at one time.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, TryAcquireError};

/// Granularity of the memory accounting in bytes.
const ACCOUNTING_UNIT: usize = 1_024;

/// A share of the memory for bodies; released when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: BodyMemory,
    permit: Option<OwnedSemaphorePermit>,
    reserved: usize,
}

impl MemoryReservation {
    /// Grows the share to `bytes` at least. Returns false if not enough memory is free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
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

    /// Returns `bytes` so that the share is released with them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.permit {
            None => bytes,
            Some(_) => Bytes::from_owner(HeldBytes {
                bytes,
                _reservation: self,
            }),
        }
    }
}

/// Bytes with the share of memory that they take.
struct HeldBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Limit on the memory for all bodies held at one time.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// Creates a limit of `bytes`.
    pub fn new(bytes: usize) -> Self {
        let units = bytes.div_ceil(ACCOUNTING_UNIT).min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Returns an empty share.
    pub fn reservation(&self) -> MemoryReservation {
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
