//! Decides whether the end of a connection may be the end of a response, or whether a part of the
//! request was still on its way.
//!
//! A peer that ends the connection before its host has taken the whole request did not read it. Once
//! everything is acknowledged, a proxy in between may still hold some of the request. If the peer is
//! gone, the next byte that the proxy passes on makes the peer's host reset the connection.

use std::{ops::RangeInclusive, time::Duration};

use tokio::time::Instant;

/// Requests up to this size reach the peer within its first receive window, in one round trip.
const SMALL_REQUEST_BYTES: u64 = 16 << 10;
/// Most bytes of a request that proxies hold, acknowledged and not yet passed on.
const MAX_HELD_BYTES: u64 = 256 << 10;
/// Longest time for which proxies are assumed to hold a part of a request.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);
/// Most bytes that a proxy passes on at once.
const PROXY_BURST_BYTES: u64 = 64 << 10;
/// Bounds of the time in which a reset follows the end of the connection.
const RESET_DELAY: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_millis(100);
/// Shortest time between two looks at the unacknowledged bytes.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The time since the first byte divided by this is the time to the next look.
const POLL_DIVISOR: u32 = 16;

/// Delivery of the bytes written to a connection since it was last idle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Delivery {
    /// Nothing was written, or a small request was acknowledged.
    #[default]
    Idle,
    /// `bytes` were written since `since`, and the peer's host has not acknowledged all of them.
    Sending { since: Instant, bytes: u64 },
    /// All was acknowledged, and proxies may hold a part of it until `held_until`. Until then a reset
    /// follows the end of the connection within `reset_delay` if the peer is gone.
    Acknowledged {
        held_until: Instant,
        reset_delay: Duration,
    },
}

/// What the end of a connection means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionEnd {
    /// The peer ended the connection before its host had taken the request.
    Unread,
    /// Not known before the instant, until which a reset may follow.
    Undecided(Instant),
    /// The response ended, unless the connection was reset.
    Complete,
}

impl Delivery {
    /// Records that the socket accepted `bytes` at `now`.
    pub(crate) fn record_write(&mut self, now: Instant, bytes: u64) {
        *self = match *self {
            Self::Sending { since, bytes: sent } => Self::Sending {
                since,
                bytes: sent + bytes,
            },
            Self::Idle | Self::Acknowledged { .. } => Self::Sending { since: now, bytes },
        };
    }

    /// Records how many bytes were unacknowledged at `now`; call it only after a flush.
    pub(crate) fn record_unacknowledged(&mut self, now: Instant, unacknowledged: u64) {
        *self = match *self {
            Self::Sending { bytes, .. } if unacknowledged == 0 && bytes <= SMALL_REQUEST_BYTES => {
                Self::Idle
            }
            Self::Sending { since, bytes } if unacknowledged == 0 => {
                let time_of = |part: u64| {
                    let share = part.min(bytes) as f64 / bytes as f64;
                    (now - since).mul_f64(share)
                };
                let (least, most) = (*RESET_DELAY.start(), *RESET_DELAY.end());
                Self::Acknowledged {
                    held_until: now + time_of(MAX_HELD_BYTES).min(MAX_HOLD_TIME),
                    reset_delay: time_of(PROXY_BURST_BYTES).clamp(least, most),
                }
            }
            unchanged => unchanged,
        };
    }

    /// Returns when to look at the unacknowledged bytes again; `None` if there is no need to.
    pub(crate) fn next_poll(&self, now: Instant) -> Option<Instant> {
        match *self {
            Self::Sending { since, bytes } if bytes > SMALL_REQUEST_BYTES => {
                Some(now + ((now - since) / POLL_DIVISOR).max(MIN_POLL_INTERVAL))
            }
            Self::Idle | Self::Sending { .. } | Self::Acknowledged { .. } => None,
        }
    }

    /// Returns what it means that the connection has ended, which was first seen at the first call.
    pub(crate) fn on_end(&mut self, now: Instant) -> ConnectionEnd {
        match self {
            Self::Sending { .. } => ConnectionEnd::Unread,
            Self::Acknowledged {
                held_until,
                reset_delay,
            } => {
                *held_until = (*held_until).min(now + *reset_delay);
                match now < *held_until {
                    true => ConnectionEnd::Undecided(*held_until),
                    false => ConnectionEnd::Complete,
                }
            }
            Self::Idle => ConnectionEnd::Complete,
        }
    }
}

#[cfg(test)]
mod tests;
