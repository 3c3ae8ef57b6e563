//! Connections to endpoints: each carries one call at a time and records whether any byte of it was
//! handed to a socket.

mod connection;
mod handover;
mod pool;

pub use connection::Connection;
pub use handover::{Handover, Recorded, Slot};
pub use pool::{Pool, PoolConfig};
