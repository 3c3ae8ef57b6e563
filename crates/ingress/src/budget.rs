//! Budget of bytes that are held for clients.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// Limit on bytes held at one time. Clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<Budget>);

#[derive(Debug)]
struct Budget {
    limit: usize,
    held: AtomicUsize,
    refused: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Budget {
            limit,
            held: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        }))
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves `bytes`, or returns `None` if not enough are free.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reservation();
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Number of reservations that did not fit.
    pub fn refused(&self) -> usize {
        self.0.refused.load(Ordering::Relaxed)
    }
}

/// A share of a budget, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: ByteBudget,
    bytes: usize,
}

impl Reservation {
    /// Grows the share to `bytes` at least. Returns false, and keeps what it has, if not enough are
    /// free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(missing) = bytes.checked_sub(self.bytes).filter(|n| *n > 0) else {
            return true;
        };
        let budget = &self.budget.0;
        let grown = budget
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                held.checked_add(missing)
                    .filter(|held| *held <= budget.limit)
            });
        match grown {
            Ok(_) => self.bytes = bytes,
            Err(_) => {
                budget.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        grown.is_ok()
    }

    /// Grows the share to `bytes` at least, also beyond the limit.
    pub(crate) fn grow(&mut self, bytes: usize) {
        if let Some(missing) = bytes.checked_sub(self.bytes) {
            self.budget.0.held.fetch_add(missing, Ordering::Relaxed);
            self.bytes = bytes;
        }
    }

    /// Number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns `bytes` so that the share is released with them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(HeldBytes {
                bytes,
                _reservation: self,
            }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with the share of the budget that they take.
struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
