//! INI parser with line numbers and faults that name file, line, section and key.
//!
//! `rust-ini` parses the text. This crate adds the line of each section and key, keeps duplicates
//! and comments, and collects faults so that callers can list all of them at once.

mod fault;
mod locate;
mod text;

pub use fault::{Fault, Faults};
pub use text::{Entry, Section, parse};
