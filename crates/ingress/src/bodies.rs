//! Memory for heads and bodies, in two budgets.

use bytes::Bytes;

use crate::budget::{ByteBudget, Reservation};

/// Size up to which a body counts as small.
pub const SMALL_BODY_BYTES: usize = 32 << 10;
/// Part of all bytes that heads and small bodies use.
const SMALL_FRACTION: usize = 4;
/// A large buffer that grows takes up to this multiple of its content.
const BUFFER_GROWTH: usize = 2;

/// One budget for heads and small bodies, one for larger bodies, so that small requests pass while
/// larger bodies fill theirs. Clones share both.
#[derive(Clone, Debug)]
pub struct BodyBudgets {
    small: ByteBudget,
    large: ByteBudget,
}

impl BodyBudgets {
    /// Divides `bytes` between the two budgets.
    pub fn new(bytes: usize) -> Self {
        let small = bytes / SMALL_FRACTION;
        Self {
            small: ByteBudget::new(small),
            large: ByteBudget::new(bytes - small),
        }
    }

    /// The budget for heads and small bodies.
    pub fn small(&self) -> &ByteBudget {
        &self.small
    }

    /// The budget for larger bodies.
    pub fn large(&self) -> &ByteBudget {
        &self.large
    }

    /// Returns the share of an empty buffer.
    pub fn buffer(&self) -> BufferShare {
        BufferShare {
            budgets: self.clone(),
            held: self.small.reservation(),
            is_large: false,
        }
    }
}

/// The share of the budgets that a growing buffer takes; released when dropped.
#[derive(Debug)]
pub struct BufferShare {
    budgets: BodyBudgets,
    held: Reservation,
    is_large: bool,
}

impl BufferShare {
    /// Grows the share for a buffer of `size` bytes that belongs to a request which has not run.
    /// Returns false if not enough is free.
    pub fn try_grow(&mut self, size: usize) -> bool {
        match size <= SMALL_BODY_BYTES {
            true => self.held.try_grow(small_capacity(size)),
            false => self.try_grow_large(size),
        }
    }

    /// Like [`BufferShare::try_grow`], for a response. A small one always fits, since its request may
    /// have run: the budget may then be exceeded, and refuses new requests until it no longer is.
    pub fn try_grow_response(&mut self, size: usize) -> bool {
        if size > SMALL_BODY_BYTES {
            return self.try_grow_large(size);
        }
        self.held.grow(small_capacity(size));
        true
    }

    /// Returns `bytes` so that the share is released with them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        self.held.attach(bytes)
    }

    fn try_grow_large(&mut self, size: usize) -> bool {
        let bytes = size * BUFFER_GROWTH;
        if self.is_large {
            return self.held.try_grow(bytes);
        }
        let Some(held) = self.budgets.large.try_reserve(bytes) else {
            return false;
        };
        self.held = held;
        self.is_large = true;
        true
    }
}

/// Capacity to which a small buffer of `size` bytes grows.
fn small_capacity(size: usize) -> usize {
    match size {
        0 => 0,
        _ => size.next_power_of_two(),
    }
}

#[cfg(test)]
mod tests;
