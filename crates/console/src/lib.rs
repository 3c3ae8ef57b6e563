//! The console: the operators' forms over one validated document.
//!
//! Every page is made on the server and works without scripts. A form edits one section of the
//! document; the change is shown as a difference and validated as a whole before it is sent to the
//! keepers, and sending it again applies it once.

mod app;
mod change;
mod config;
mod fields;
mod guard;
mod handlers;
mod pages;
mod session;
mod start;
mod survey;

pub use config::Config;
pub use start::start;
