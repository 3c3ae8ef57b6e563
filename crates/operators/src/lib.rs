//! The operators' HTTP calls to keepers: types and client.

mod api;
mod client;

pub use api::{
    Accepted, CurrentDeclaration, KeeperLag, MemberAction, MemberRequest, Status, Submission,
};
pub use client::{ApiError, KeeperApi};
