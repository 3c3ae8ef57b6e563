//! The keeper: declaration, audit trail, at-most-once ledger, leases, blocked parts, departures of
//! endpoints and evacuations of availability zones over the replicated log.
//!
//! [`State`] is the deterministic state machine; [`SharedState`] connects it to the log and to
//! followers; [`start`] runs a keeper that serves clients over links and operators over HTTP.

mod announce;
mod api_state;
mod blocked_http;
mod blocked_parts;
mod budgets;
mod chunked_map;
mod clock;
mod codec;
mod config;
mod declaration_store;
mod departures;
mod entry;
mod error_response;
mod evacuations;
mod group;
mod held_settlements;
mod history;
mod http_api;
mod leases;
mod ledger;
mod metrics;
mod request_body;
mod requests;
mod service;
mod shared_state;
mod start;
mod state;
mod state_changes;
mod submission;
mod supervisor;
mod table_sync;
mod zones_http;

pub use blocked_parts::{BLOCK_DURATION, Block, BlockedParts, MAX_UNBLOCKED_PARTS, Unblock};
pub use budgets::Budgets;
pub use chunked_map::ChunkedMap;
pub use config::{Config, GroupConfig, Limits};
pub use departures::{DEPARTURE_RETENTION, Departures, DeparturesSnapshot, MAX_DEPARTURES};
pub use entry::{Command, DIGEST_BYTES, Entry, GrantIntent, LeaseView, Stamp};
pub use evacuations::{Evacuations, MAX_RETURNED_ZONES};
pub use leases::{LeaseClock, Leases};
pub use service::{Origin, Service, ServiceReceiver};
pub use shared_state::SharedState;
pub use start::{start, start_embedded};
pub use state::{Applied, State, StoredReplacement};
pub use supervisor::start_supervised;
pub use table_sync::sync_table;
