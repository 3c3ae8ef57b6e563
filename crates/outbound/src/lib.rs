//! Connections to endpoints: each carries one call at a time and records whether any byte of it was
//! handed to a socket. What answers say of their endpoint beside the answer is read here as well.

mod connection;
mod notice;
mod pool;
mod send_state;

pub use connection::Connection;
pub use notice::{Notice, parse_retry_after};
pub use pool::{Pool, PoolConfig};
pub use send_state::{CurrentCall, SendState, TrackedStream};
