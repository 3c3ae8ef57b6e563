//! Links between processes: typed calls in CBOR over WebSocket, with heartbeats.
//!
//! A [`Peer`] maintains one connection to another process and makes calls over it; [`serve`] handles
//! incoming calls. Both ends send heartbeats and drop a connection on which nothing arrives.

mod codec;
mod config;
mod connection;
mod error;
mod exact_reads;
mod feed;
mod frame;
mod handshake;
mod peer;
mod server;
mod unverified;

pub mod calls;
pub mod follow;
pub mod follower;
pub mod keeper;
pub mod keepers;

pub use codec::{decode, encode, encode_into};
pub use config::{Identity, LinkConfig, Role};
pub use error::LinkError;
pub use frame::Channel;
pub use peer::Peer;
pub use server::{Incoming, serve};
