//! What a proxy does to what passes.

use std::time::Duration;

use derives::{record, token};

/// A way through a proxy.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the one who connected to the one who listens.
    ToUpstream,
    /// Back.
    FromUpstream,
}

/// Which directions pass nothing.
#[token]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Both pass.
    #[default]
    None,
    /// Nothing passes towards the listener.
    ToUpstream,
    /// Nothing passes back.
    FromUpstream,
    /// Nothing passes.
    Both,
}

impl Cut {
    /// Whether `direction` passes nothing.
    pub fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::Both => true,
            Self::ToUpstream => direction == Direction::ToUpstream,
            Self::FromUpstream => direction == Direction::FromUpstream,
        }
    }
}

/// Faults in force; the default passes everything at once.
#[record]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Delay in each direction, in microseconds.
    pub delay_us: u64,
    /// Random addition to the delay, up to this many microseconds.
    pub jitter_us: u64,
    /// Share lost: a datagram is dropped, a piece of a TCP stream comes one retransmission later.
    pub loss: f64,
    /// Bytes a second in each direction; 0 for no limit.
    pub rate: u64,
    /// Directions that pass nothing; what TCP sent comes once the cut is healed.
    pub cut: Cut,
    /// New connections are reset.
    pub refuse: bool,
    /// Share of datagrams sent twice.
    pub duplicate: f64,
    /// Share of datagrams held back so that later ones overtake them.
    pub reorder: f64,
}

impl Rules {
    /// Rules that only delay.
    pub fn delayed(delay: Duration) -> Self {
        Self {
            delay_us: delay.as_micros() as u64,
            ..Self::default()
        }
    }

    /// Rules that only cut.
    pub fn cut(cut: Cut) -> Self {
        Self {
            cut,
            ..Self::default()
        }
    }
}
