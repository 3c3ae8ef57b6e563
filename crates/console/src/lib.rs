//! The console: web forms with which operators view and edit the declaration.
//!
//! Every page is rendered on the server and works without scripts. A form edits one section of the
//! document. The document with the change is validated as a whole, and the difference shown, before
//! the change is sent to the keepers; sending it again applies it only once.

mod app;
mod blocked;
mod change;
mod cluster_state;
mod config;
mod fields;
mod guard;
mod handlers;
mod pages;
mod session;
mod start;
mod zones;

pub use config::Config;
pub use start::start;
