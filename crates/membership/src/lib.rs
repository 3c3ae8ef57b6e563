//! The endpoint table, and its replication between the gates of an availability zone by gossip.
//!
//! A [`Table`] merges announcements from endpoints and from neighbouring gates, and gives readers a
//! cheap snapshot by service. `docs/design/membership.md` explains the design.

mod cold;
mod config;
mod delta;
mod departed;
mod endpoint;
mod entry_digest;
mod gossip;
mod live_state;
mod message;
pub mod mirror;
mod rate;
mod remote;
mod state;
mod table;
mod view;
mod vitals;

pub use cold::{ColdState, ReportedCold};
pub use config::TableConfig;
pub use delta::{CompactDelta, Delta};
pub use endpoint::{AnnounceResponse, Announcement, Load, LoadedModel, Readiness, StageRole};
pub use entry_digest::EntryDigest;
pub use gossip::neighbours;
pub use live_state::{LiveState, ReportedLoad};
pub use message::{Changes, LeavingNotice, MAX_UNAVAILABLE, Reply, Request, UnavailableEndpoint};
pub use mirror::Mirror;
pub use rate::{ObservedRate, RateReport, ReportedRate};
pub use table::{AnnounceError, Table};
pub use view::{Endpoint, EndpointState, EndpointView, ServiceSnapshot};
pub use vitals::{Bucket, ExchangeReply};
