//! HTTP API of the keepers for operators: its bodies and a client.

mod api;
mod client;

pub use api::{
    Accepted, CurrentDeclaration, KeeperLag, KeeperStatus, MemberAction, MemberRequest, Submission,
};
pub use client::{ApiError, KeeperApi};
