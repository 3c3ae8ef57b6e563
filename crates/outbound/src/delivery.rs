//! Decides what the end of a connection says about a response that ends with it, and when the last byte
//! of a long request may be written.
//!
//! A peer that ends the connection before its host has taken the whole request did not read it. Once
//! everything is acknowledged, proxies in between may still hold some of the request, for a time that no
//! pace tells. Whether the peer crashed meanwhile is asked on another connection (`instance_check`). A peer
//! that ends only this connection is noticed while the last byte is held back, or by the reset that follows.

use std::{mem, time::Duration};

use tokio::time::Instant;

/// Requests up to this size reach the peer within its first receive window, in one round trip.
const SMALL_REQUEST_BYTES: usize = 16 << 10;
/// Time for proxies to pass on what they hold before the last byte of a request follows.
const PROXY_TIME: Duration = Duration::from_millis(50);
/// Time in which a reset follows the end of the connection.
const RESET_TIME: Duration = Duration::from_millis(100);
/// Shortest time between two looks at the send queue.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The time since the first byte divided by this is the longest time to the next look.
const POLL_DIVISOR: u32 = 16;

/// Delivery of one request and what its response has shown so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delivery {
    /// True if the request may be on its way after its bytes were written.
    is_long: bool,
    /// True if the last byte may not be written yet.
    is_held: bool,
    response: ResponseStart,
    /// When the first byte was written.
    written_at: Option<Instant>,
    /// When all bytes but one that is held back were seen to be acknowledged.
    acknowledged_at: Option<Instant>,
}

/// What was read of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ResponseStart {
    #[default]
    Nothing,
    /// A part, which may be that of a head.
    Part,
    /// A head that tells where the response ends.
    DelimitedHead,
}

/// Bytes in the kernel's send queue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendQueue {
    /// Sent or not, but not acknowledged by the peer's host.
    pub(crate) unacknowledged: u64,
    /// Not sent, since the peer's window is full.
    pub(crate) unsent: u64,
}

/// What is to be done with the last byte of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LastByte {
    /// Nothing: it is not held back, or the bytes before it are not written.
    NotHeld,
    /// It stays held back; to be decided again at the instant, or when a part of the response was read.
    Held(Instant),
    /// It may be written.
    Due,
}

/// What the end of a connection means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionEnd {
    /// The peer ended the connection before it can have read the request.
    Unread,
    /// Not known before the instant, until which a reset may follow.
    Undecided(Instant),
    /// The response ended, unless the connection was reset.
    Complete,
}

impl Delivery {
    /// Starts anew with a request whose body has `body_bytes`.
    pub(crate) fn start(&mut self, body_bytes: usize) {
        let is_long = body_bytes > SMALL_REQUEST_BYTES;
        *self = Self {
            is_long,
            is_held: is_long,
            ..Self::default()
        };
    }

    /// Returns true if the last byte of the request may not be written yet.
    pub(crate) fn is_held(&self) -> bool {
        self.is_held
    }

    /// Returns true if the end of the connection does not prove that the response is whole.
    pub(crate) fn is_end_ambiguous(&self) -> bool {
        self.is_long && self.response != ResponseStart::DelimitedHead
    }

    /// Records that the socket accepted bytes at `now`.
    pub(crate) fn record_write(&mut self, now: Instant) {
        self.written_at.get_or_insert(now);
    }

    /// Records that a part of the response was read.
    pub(crate) fn record_read(&mut self) {
        if self.response == ResponseStart::Nothing {
            self.response = ResponseStart::Part;
        }
    }

    /// Records that the head of the response tells where it ends. Returns true if the last byte was held
    /// back, and may now be written.
    pub(crate) fn record_delimited(&mut self) -> bool {
        self.response = ResponseStart::DelimitedHead;
        self.release()
    }

    /// Allows the last byte to be written. Returns true if it was held back.
    pub(crate) fn release(&mut self) -> bool {
        mem::take(&mut self.is_held)
    }

    /// Decides, with this send queue at `now`, whether a last byte that is held back may be written. The
    /// socket has accepted all bytes before it.
    pub(crate) fn poll_last_byte(&mut self, now: Instant, queue: SendQueue) -> LastByte {
        let Some(written_at) = self.written_at.filter(|_| self.is_held) else {
            return LastByte::NotHeld;
        };
        if queue.unacknowledged == 0 {
            self.acknowledged_at.get_or_insert(now);
        }
        let next_look = now + MIN_POLL_INTERVAL.max((now - written_at) / POLL_DIVISOR);
        let has_begun = self.response != ResponseStart::Nothing;
        match self.acknowledged_at.map(|at| at + PROXY_TIME) {
            // The peer's host may acknowledge the last segment only with a response.
            _ if !has_begun && queue.unsent == 0 => LastByte::Due,
            Some(due) if has_begun && due <= now => LastByte::Due,
            Some(due) if has_begun => LastByte::Held(due),
            Some(_) | None => LastByte::Held(next_look),
        }
    }

    /// Returns what it means that the connection ended at `ended`, with this send queue at `now`.
    pub(crate) fn on_end(&self, now: Instant, ended: Instant, queue: SendQueue) -> ConnectionEnd {
        let until = ended + RESET_TIME;
        match queue.unacknowledged {
            0 if !self.is_held && self.is_end_ambiguous() && now < until => {
                ConnectionEnd::Undecided(until)
            }
            0 if !self.is_held => ConnectionEnd::Complete,
            _ => ConnectionEnd::Unread,
        }
    }
}

#[cfg(test)]
mod tests;
