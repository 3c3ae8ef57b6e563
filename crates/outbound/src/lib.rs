//! Connections to endpoints. Each carries one call at a time and records whether any byte of the
//! call was written to a socket. Also parses what response heads say about the endpoint's state.

mod connection;
mod delivered_stream;
mod delivery;
mod held_body;
mod instance_check;
mod memory;
mod notice;
mod pool;
mod read_limit;
mod send_state;
mod socket_queue;

pub use connection::Connection;
pub use instance_check::InstanceCheck;
pub use memory::{BodyMemory, MemoryReservation};
pub use notice::{NamedRate, Notice, is_final_status, parse_retry_after};
pub use pool::{Pool, PoolConfig};
pub use send_state::{CurrentCall, SendState, TrackedStream};
