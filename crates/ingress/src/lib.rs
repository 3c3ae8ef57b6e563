//! Limits on what a listener holds for clients that it does not control: connections, their time
//! and memory.
//!
//! [`Connections`] decides which connection is admitted or closed and does no I/O. [`Listener`]
//! shares it between the tasks of one listener, [`LimitedStream`] reports bytes to it.

mod bodies;
mod budget;
mod connections;
mod limits;
mod listener;
mod shared;
mod stream;

pub use bodies::{BodyBudgets, BufferShare, SMALL_BODY_BYTES};
pub use budget::{ByteBudget, Reservation};
pub use connections::{Admission, ConnectionId, Connections, Reason, Timeouts};
pub use limits::{Group, Limits, VmResources};
pub use listener::{Lease, Listener, RequestGuard};
pub use shared::SharedStream;
pub use stream::LimitedStream;
