//! The endpoints' table and its spread between the gates of an availability zone.
//!
//! A [`Table`] takes announcements of endpoints and of neighbouring gates, and gives readers a
//! cheap snapshot by service. `docs/design/membership.md` says why it is built this way.

mod config;
mod delta;
mod endpoint;
mod entry_digest;
mod gossip;
mod live_state;
mod message;
pub mod mirror;
mod remote;
mod state;
mod table;
mod view;
mod vitals;

pub use config::TableConfig;
pub use delta::{CompactDelta, Delta};
pub use endpoint::{AnnounceResponse, Announcement, Load, LoadedModel, Readiness, StageRole};
pub use entry_digest::EntryDigest;
pub use gossip::neighbours;
pub use live_state::{LiveState, ReportedLoad};
pub use message::{Changes, LeavingNotice, MAX_UNAVAILABLE, Reply, Request, UnavailableEndpoint};
pub use mirror::Mirror;
pub use table::{AnnounceError, Table};
pub use view::{Endpoint, EndpointState, EndpointView, ServiceSnapshot};
pub use vitals::{Bucket, ExchangeReply};
