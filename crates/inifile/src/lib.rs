//! INI text with line numbers and faults that name file, line, section and key.
//!
//! Values are parsed by `rust-ini`; this crate adds the line on which each section and key stands,
//! keeps duplicates visible, and collects faults so that all of them can be listed at once.

mod fault;
mod locate;
mod text;

pub use fault::{Fault, Faults};
pub use text::{Entry, Section, parse};
