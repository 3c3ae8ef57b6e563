//! The controller: loads the declared models on the engines of one availability zone.
//!
//! One controller of an availability zone holds a lease ([`authority`]). It compares the endpoint
//! announcements with the declaration ([`plan`]) and tracks its open orders ([`tracker`]).
//! `docs/design/controller.md` explains the design.

pub mod attainment;
pub mod comparison;
mod config;
mod endpoints;
mod http_post;
mod lease;
mod pages;
mod reconcile;
pub mod roles;
mod start;
mod status;
mod swap;
pub mod weight_store;

pub mod authority;
pub mod order;
pub mod plan;
pub mod tracker;

pub use config::{Config, Limits};
pub use start::start;
