//! Decides whether the end of a connection may be the end of a response, or whether a part of the
//! request was still on its way, and when the last byte of a request may be written.
//!
//! A peer that ends the connection before its host has taken the whole request did not read it. Once
//! everything is acknowledged, proxies in between may still hold some of the request, and what they
//! know of the peer may never be reported. Therefore the last byte of a long request is held back until
//! proxies had time to pass on the rest: until then any end of the connection is too early.

use std::{mem, ops::RangeInclusive, time::Duration};

use tokio::time::Instant;

use self::proxies::{MAX_PROXY_BYTES, MAX_PROXY_TIME, Progress, Proxies, burst_time};

mod proxies;

/// Requests up to this size reach the peer within its first receive window, in one round trip.
const SMALL_REQUEST_BYTES: u64 = 16 << 10;
/// Bounds of the time in which a reset follows the end of the connection.
const RESET_DELAY: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_millis(100);
/// Shortest time between two looks at the send queue.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The time since the first byte divided by this is the longest time to the next look.
const POLL_DIVISOR: u32 = 16;

/// Returns true if the last byte of a request with a body of this size is held back.
pub(crate) fn is_last_byte_held(body_bytes: usize) -> bool {
    body_bytes as u64 > SMALL_REQUEST_BYTES
}

/// Delivery of one request and what its response has shown so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delivery {
    phase: Phase,
    /// True if the last byte of the request may not be written yet.
    is_held: bool,
    /// True if a part of the response was read.
    has_response: bool,
}

/// How far the bytes written so far have got.
#[derive(Clone, Debug, Default)]
enum Phase {
    /// Nothing was written, or a small request was acknowledged.
    #[default]
    Idle,
    /// `bytes` were written since `since`, and the kernel has not sent all of them.
    Sending {
        since: Instant,
        bytes: u64,
        sent: Progress,
    },
    /// All `bytes` written since `since`, but for a last byte that was held back, were sent at `at`. They
    /// are acknowledged once `reset` is known; proxies may still hold some of them.
    Sent {
        since: Instant,
        at: Instant,
        bytes: u64,
        proxies: Proxies,
        reset: Option<ResetWait>,
    },
}

/// Bytes in the kernel's send queue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendQueue {
    /// Sent or not, but not acknowledged by the peer's host.
    pub(crate) unacknowledged: u64,
    /// Not sent, since the peer's window is full.
    pub(crate) unsent: u64,
}

/// For how long a reset may follow the end of the connection after the request was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ResetWait {
    /// Until then proxies may hold a part of the request.
    until: Instant,
    /// Time from the end of the connection to the reset.
    delay: Duration,
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
    /// Starts anew with a request whose last byte is held back if `is_held`.
    pub(crate) fn start(&mut self, is_held: bool) {
        *self = Self {
            is_held,
            ..Self::default()
        };
    }

    /// Returns true if the last byte of the request may not be written yet.
    pub(crate) fn is_held(&self) -> bool {
        self.is_held
    }

    /// Records that the socket accepted `bytes` at `now`.
    pub(crate) fn record_write(&mut self, now: Instant, bytes: u64) {
        match &mut self.phase {
            Phase::Sending { bytes: written, .. } => *written += bytes,
            phase @ Phase::Idle => {
                *phase = Phase::Sending {
                    since: now,
                    bytes,
                    sent: Progress::default(),
                };
            }
            // The byte that was held back.
            Phase::Sent { .. } => {}
        }
    }

    /// Records what the kernel has not sent at `now`. All bytes that may be written so far were accepted
    /// by the socket if `is_flushed`.
    pub(crate) fn record_queue(&mut self, now: Instant, queue: SendQueue, is_flushed: bool) {
        match &mut self.phase {
            Phase::Sending { bytes, .. }
                if is_flushed && *bytes <= SMALL_REQUEST_BYTES && queue.unacknowledged == 0 =>
            {
                self.phase = Phase::Idle;
            }
            Phase::Sending { since, bytes, sent }
                if is_flushed && *bytes > SMALL_REQUEST_BYTES && queue.unsent == 0 =>
            {
                let (since, bytes) = (*since, *bytes);
                self.phase = Phase::Sent {
                    since,
                    at: now,
                    bytes,
                    proxies: Proxies::estimate(now - since, bytes, sent),
                    reset: ResetWait::new(since, now, bytes, queue),
                };
            }
            Phase::Sending { since, bytes, sent } => {
                sent.record(now - *since, bytes.saturating_sub(queue.unsent));
            }
            Phase::Sent {
                since,
                bytes,
                reset: reset @ None,
                ..
            } => *reset = ResetWait::new(*since, now, *bytes, queue),
            Phase::Idle | Phase::Sent { .. } => {}
        }
    }

    /// Records that a part of the response was read.
    pub(crate) fn record_read(&mut self) {
        self.has_response = true;
    }

    /// Returns when to look at the send queue again; `None` if there is no need to.
    pub(crate) fn next_poll(&self, now: Instant) -> Option<Instant> {
        let interval = match &self.phase {
            Phase::Sending { since, bytes, sent } if *bytes > SMALL_REQUEST_BYTES => {
                let elapsed = now - *since;
                let rarely = elapsed / POLL_DIVISOR;
                sent.time_left(elapsed, *bytes)
                    .map_or(rarely, |left| rarely.min(left / 2))
            }
            Phase::Sent {
                at, reset: None, ..
            } => (now - *at) / POLL_DIVISOR,
            Phase::Idle | Phase::Sending { .. } | Phase::Sent { .. } => return None,
        };
        Some(now + interval.max(MIN_POLL_INTERVAL))
    }

    /// Returns when a held last byte may be written, as far as is known now. The instant may have passed.
    pub(crate) fn release_at(&self) -> Option<Instant> {
        match &self.phase {
            _ if !self.is_held => None,
            Phase::Sent {
                at,
                proxies,
                reset: Some(_),
                ..
            } if self.has_response => Some(*at + proxies.drain + proxies.burst),
            // The peer's host may acknowledge the last segment only with a response.
            Phase::Sent { at, proxies, .. } if !self.has_response => {
                Some(*at + proxies.drain.min(proxies.most_delay))
            }
            Phase::Idle | Phase::Sending { .. } | Phase::Sent { .. } => None,
        }
    }

    /// Allows the last byte to be written. Returns true if it was held back.
    pub(crate) fn release(&mut self) -> bool {
        match &mut self.phase {
            // What follows is a single byte.
            Phase::Sent {
                reset: Some(reset), ..
            } if self.has_response => reset.delay = *RESET_DELAY.start(),
            Phase::Idle | Phase::Sending { .. } | Phase::Sent { .. } => {}
        }
        mem::take(&mut self.is_held)
    }

    /// Returns what it means that the connection ended at `ended`, with this send queue at `now`.
    pub(crate) fn on_end(
        &mut self,
        now: Instant,
        ended: Instant,
        queue: SendQueue,
    ) -> ConnectionEnd {
        self.record_queue(now, queue, true);
        match &self.phase {
            _ if self.is_held || queue.unacknowledged > 0 => ConnectionEnd::Unread,
            Phase::Sent {
                reset: Some(reset), ..
            } => {
                let until = reset.until.min(ended + reset.delay);
                match now < until {
                    true => ConnectionEnd::Undecided(until),
                    false => ConnectionEnd::Complete,
                }
            }
            Phase::Idle | Phase::Sending { .. } | Phase::Sent { .. } => ConnectionEnd::Complete,
        }
    }
}

impl ResetWait {
    /// Returns the wait after `bytes`, sent since `since`, if all are acknowledged at `now`.
    fn new(since: Instant, now: Instant, bytes: u64, queue: SendQueue) -> Option<Self> {
        let elapsed = now - since;
        let held = MAX_PROXY_BYTES.min(bytes) as f64 / bytes as f64;
        (queue.unacknowledged == 0).then(|| Self {
            until: now + elapsed.mul_f64(held).min(MAX_PROXY_TIME),
            delay: burst_time(bytes as f64 / elapsed.as_secs_f64(), &RESET_DELAY),
        })
    }
}

#[cfg(test)]
mod tests;
