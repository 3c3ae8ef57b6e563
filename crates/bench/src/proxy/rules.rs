//! Fault rules of a proxy.

use std::time::Duration;

use derives::{record, token};

/// Direction of traffic through a proxy.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    FromUpstream,
}

/// Directions that are blocked.
#[token]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// No direction is blocked.
    #[default]
    None,
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    FromUpstream,
    /// Both directions.
    Both,
}

impl Cut {
    /// Returns true if `direction` is blocked.
    pub fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::Both => true,
            Self::ToUpstream => direction == Direction::ToUpstream,
            Self::FromUpstream => direction == Direction::FromUpstream,
        }
    }
}

/// Faults to inject; by default everything passes without delay.
#[record]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Delay in each direction, in microseconds.
    pub delay_us: u64,
    /// Maximum random addition to the delay, in microseconds.
    pub jitter_us: u64,
    /// Loss probability, 0 to 1: a datagram is dropped, a chunk of a TCP stream is delayed as by a
    /// retransmission.
    pub loss: f64,
    /// Rate limit of each direction of a TCP connection, in bytes per second; 0 for no limit.
    pub rate: u64,
    /// Blocked directions; TCP data is held back and delivered once unblocked.
    pub cut: Cut,
    /// Resets new TCP connections.
    pub refuse: bool,
    /// Probability that a datagram is sent twice, 0 to 1.
    pub duplicate: f64,
    /// Probability that a datagram is held back so that later ones overtake it, 0 to 1.
    pub reorder: f64,
}

impl Rules {
    /// Returns rules with a delay in each direction and no other fault.
    pub fn delayed(delay: Duration) -> Self {
        Self {
            delay_us: delay.as_micros() as u64,
            ..Self::default()
        }
    }

    /// Returns rules that block directions and have no other fault.
    pub fn cut(cut: Cut) -> Self {
        Self {
            cut,
            ..Self::default()
        }
    }
}
