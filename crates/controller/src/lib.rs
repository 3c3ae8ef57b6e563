//! The controller: makes engines run what is declared.
//!
//! One controller of an availability zone holds a lease ([`authority`]); it compares what endpoints
//! announce with the declaration ([`plan`]), and keeps a book of its open orders ([`book`]).
//! `docs/design/controller.md` says why it is built this way.

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
