//! Links between our processes: WebSocket and CBOR, one task a peer, heartbeats, typed messages.
//!
//! A [`Peer`] keeps one connection to another process up and makes calls over it; [`serve`] answers
//! the calls of others. Both ends send heartbeats and drop a connection that falls silent.

mod codec;
mod config;
mod connection;
mod error;
mod feed;
mod frame;
mod handshake;
mod peer;
mod server;

pub mod calls;
pub mod follow;
pub mod follower;
pub mod keeper;
pub mod keepers;

pub use codec::{decode, encode};
pub use config::{Identity, LinkConfig, Role};
pub use error::LinkError;
pub use frame::Channel;
pub use peer::Peer;
pub use server::{Incoming, serve};
