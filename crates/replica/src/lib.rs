//! The replicated log: storage and agreement.
//!
//! [`Replica`] keeps a log in step with other voters and hands committed entries to a
//! [`StateMachine`] in order, the same on every replica.

mod answer;
mod append;
mod apply;
mod config;
mod core;
mod disk;
mod election;
mod entry;
mod error;
mod founding;
mod log;
mod machine;
mod member;
mod message;
mod peer;
mod quorum;
mod read;
mod replica;
mod replicate;
mod segment;
mod snapshot;
mod status;
mod store;
mod vote;

#[cfg(any(test, feature = "broken-variants"))]
pub use config::BrokenVariant;
pub use config::{ReplicaConfig, Timing};
pub use disk::Disk;
pub use entry::{Member, Members};
pub use error::{MemberError, ProposeError, ReplicaError};
pub use machine::{SnapshotEncoder, StateMachine};
pub use member::MemberChange;
pub use peer::{CallFuture, Connect, PeerLink};
pub use replica::{Applied, Replica};
pub use status::{PeerStatus, Role, Status};
