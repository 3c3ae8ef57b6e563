//! HTTP API of the keepers for operators: its bodies and a client.

mod api;
mod blocked;
mod client;
mod zones;

pub use api::{
    Accepted, CurrentDeclaration, KeeperLag, KeeperStatus, MemberAction, MemberRequest, Submission,
};
pub use blocked::{
    BlockedEntry, BlockedList, UnblockRequest, Unblocked, UnblockedEntry, format_part, parse_part,
};
pub use client::{ApiError, KeeperApi};
pub use zones::{ZoneEntry, ZoneList, ZoneOrdered, ZoneRequest};
