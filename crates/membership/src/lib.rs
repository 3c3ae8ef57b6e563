//! The endpoints' table and its spread between the gates of an availability zone.

mod endpoint;

pub use endpoint::{Announced, Announcement, Load, LoadedModel, Readiness, StageRole};
