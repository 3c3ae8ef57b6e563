//! The operators' HTTP calls to keepers: types and client.

mod api;
mod client;

pub use api::{
    Accepted, CurrentDeclaration, KeeperLag, KeeperStatus, MemberAction, MemberRequest, Submission,
};
pub use client::{ApiError, KeeperApi};
