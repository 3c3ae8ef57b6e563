//! A replicated log based on Raft, with its storage.
//!
//! [`Replica`] replicates a log among voters and applies committed entries to a [`StateMachine`]
//! in the same order on every replica.

mod append;
mod apply;
mod bootstrap;
mod config;
mod core;
mod disk;
mod election;
mod entry;
mod error;
mod handler;
mod log;
mod member;
mod message;
mod peer;
mod quorum;
mod read_index;
mod replica;
mod replicate;
mod segment;
mod snapshot;
mod state_file;
mod state_machine;
mod status;
mod store;
mod votes;

#[cfg(any(test, feature = "broken-variants"))]
pub use config::BrokenVariant;
pub use config::{ReplicaConfig, Timing};
pub use disk::Disk;
pub use entry::{Member, Members};
pub use error::{MemberError, ProposeError, ReplicaError};
pub use member::MemberChange;
pub use peer::{CallFuture, Connect, PeerLink};
pub use replica::{Applied, Replica};
pub use state_machine::{SnapshotEncoder, StateMachine};
pub use status::{PeerStatus, Role, Status};
