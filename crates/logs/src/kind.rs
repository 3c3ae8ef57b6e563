//! Names, levels and rate limits of the kinds of lines.

use derives::token;
use spdlog::Level;

/// Kind of a line. Rate limits apply per kind.
#[token]
#[expect(
    missing_docs,
    reason = "each is the event of the same name; Text is a line without an event"
)]
pub enum Kind {
    Admitted,
    StageSent,
    StageMade,
    StageFailed,
    Chosen,
    CallFailed,
    NotRepeated,
    Resumed,
    StreamBroken,
    Silent,
    Ledger,
    Served,
    ServedLate,
    Failed,
    ItemsFailed,
    BatchFailed,
    EndpointState,
    EndpointEjected,
    EndpointBack,
    EndpointMisplaced,
    EndpointLeaving,
    EndpointPaused,
    EndpointLimited,
    EndpointCold,
    EndpointWarm,
    EndpointUnreached,
    EndpointCrashed,
    PartSuspected,
    PartBlocked,
    PartUnblocked,
    PartRefused,
    ZonesOut,
    ZoneOrdered,
    ZonesEvacuated,
    Collects,
    Confirmation,
    Keepers,
    Follows,
    InForce,
    Consensus,
    Lease,
    PartBlockChanged,
    Order,
    RolloutHalted,
    LeftOut,
    Text,
}

/// Limit of kinds that report failures and the decisions before them.
const FAILURES_PER_SECOND: u32 = 40;
/// Limit of kinds that report successes.
const SUCCESSES_PER_SECOND: u32 = 4;
/// Limit of kinds that report a change of the process's state.
const STATE_CHANGES_PER_SECOND: u32 = 60;

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 46] = [
        Self::Admitted,
        Self::StageSent,
        Self::StageMade,
        Self::StageFailed,
        Self::Chosen,
        Self::CallFailed,
        Self::NotRepeated,
        Self::Resumed,
        Self::StreamBroken,
        Self::Silent,
        Self::Ledger,
        Self::Served,
        Self::ServedLate,
        Self::Failed,
        Self::ItemsFailed,
        Self::BatchFailed,
        Self::EndpointState,
        Self::EndpointEjected,
        Self::EndpointBack,
        Self::EndpointMisplaced,
        Self::EndpointLeaving,
        Self::EndpointPaused,
        Self::EndpointLimited,
        Self::EndpointCold,
        Self::EndpointWarm,
        Self::EndpointUnreached,
        Self::EndpointCrashed,
        Self::PartSuspected,
        Self::PartBlocked,
        Self::PartUnblocked,
        Self::PartRefused,
        Self::ZonesOut,
        Self::ZoneOrdered,
        Self::ZonesEvacuated,
        Self::Collects,
        Self::Confirmation,
        Self::Keepers,
        Self::Follows,
        Self::InForce,
        Self::Consensus,
        Self::Lease,
        Self::PartBlockChanged,
        Self::Order,
        Self::RolloutHalted,
        Self::LeftOut,
        Self::Text,
    ];

    /// Returns the name used in lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::StageSent => "stage_sent",
            Self::StageMade => "stage_made",
            Self::StageFailed => "stage_failed",
            Self::Chosen => "chosen",
            Self::CallFailed => "call_failed",
            Self::NotRepeated => "not_repeated",
            Self::Resumed => "resumed",
            Self::StreamBroken => "stream_broken",
            Self::Silent => "silent",
            Self::Ledger => "ledger",
            Self::Served => "served",
            Self::ServedLate => "served_late",
            Self::Failed => "failed",
            Self::ItemsFailed => "items_failed",
            Self::BatchFailed => "batch_failed",
            Self::EndpointState => "endpoint_state",
            Self::EndpointEjected => "endpoint_ejected",
            Self::EndpointBack => "endpoint_back",
            Self::EndpointMisplaced => "endpoint_misplaced",
            Self::EndpointLeaving => "endpoint_leaving",
            Self::EndpointPaused => "endpoint_paused",
            Self::EndpointLimited => "endpoint_limited",
            Self::EndpointCold => "endpoint_cold",
            Self::EndpointWarm => "endpoint_warm",
            Self::EndpointUnreached => "endpoint_unreached",
            Self::EndpointCrashed => "endpoint_crashed",
            Self::PartSuspected => "part_suspected",
            Self::PartBlocked => "part_blocked",
            Self::PartUnblocked => "part_unblocked",
            Self::PartRefused => "part_refused",
            Self::ZonesOut => "zones_out",
            Self::ZoneOrdered => "zone_ordered",
            Self::ZonesEvacuated => "zones_evacuated",
            Self::Collects => "collects",
            Self::Confirmation => "confirmation",
            Self::Keepers => "keepers",
            Self::Follows => "follows",
            Self::InForce => "in_force",
            Self::Consensus => "consensus",
            Self::Lease => "lease",
            Self::PartBlockChanged => "part_block_changed",
            Self::Order => "order",
            Self::RolloutHalted => "rollout_halted",
            Self::LeftOut => "left_out",
            Self::Text => "text",
        }
    }

    /// Returns the most lines of this kind per second.
    pub fn max_per_second(self) -> u32 {
        match self {
            Self::Served => SUCCESSES_PER_SECOND,
            Self::Admitted
            | Self::StageSent
            | Self::StageMade
            | Self::StageFailed
            | Self::Chosen
            | Self::CallFailed
            | Self::NotRepeated
            | Self::PartRefused
            | Self::PartSuspected
            | Self::Resumed
            | Self::StreamBroken
            | Self::Silent
            | Self::Ledger
            | Self::ServedLate
            | Self::Failed
            | Self::ItemsFailed
            | Self::BatchFailed => FAILURES_PER_SECOND,
            Self::EndpointState
            | Self::EndpointEjected
            | Self::EndpointBack
            | Self::EndpointMisplaced
            | Self::EndpointLeaving
            | Self::EndpointPaused
            | Self::EndpointLimited
            | Self::EndpointCold
            | Self::EndpointWarm
            | Self::EndpointUnreached
            | Self::EndpointCrashed
            | Self::PartBlocked
            | Self::PartUnblocked
            | Self::ZonesOut
            | Self::ZoneOrdered
            | Self::ZonesEvacuated
            | Self::Collects
            | Self::Confirmation
            | Self::Keepers
            | Self::Follows
            | Self::InForce
            | Self::Consensus
            | Self::Lease
            | Self::PartBlockChanged
            | Self::Order
            | Self::RolloutHalted
            | Self::Text => STATE_CHANGES_PER_SECOND,
            Self::LeftOut => u32::MAX,
        }
    }

    pub(crate) fn level(self) -> Level {
        match self {
            Self::EndpointEjected
            | Self::EndpointCrashed
            | Self::PartBlocked
            | Self::ZonesOut
            | Self::ZoneOrdered
            | Self::ZonesEvacuated
            | Self::RolloutHalted
            | Self::LeftOut => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Returns true if lines of this kind report a change of the process's state.
    pub fn is_state_change(self) -> bool {
        self.max_per_second() == STATE_CHANGES_PER_SECOND && self != Self::Text
    }

    /// Returns true if lines of this kind are dropped first when the reader is slow.
    pub(crate) fn is_success(self) -> bool {
        self == Self::Served
    }
}
