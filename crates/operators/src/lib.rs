//! The operators' HTTP calls to keepers: types and client.

mod api;
mod client;

pub use api::{Accepted, Declared, KeeperMember, MemberAction, MemberRequest, Status, Submission};
pub use client::{ApiError, KeeperApi};
