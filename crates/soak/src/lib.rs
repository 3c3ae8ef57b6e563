//! A fault soak of keepers, forwarding gates and endpoints.
//!
//! Real programs run as processes on loopback behind fault-injecting proxies. A seed decides which
//! faults come when; they overlap. Callers keep asking, an operator keeps changing the declaration,
//! and what callers and endpoints see is checked while it goes on. `docs/design/soak.md` lists the
//! invariants and the faults.

mod callers;
mod faults;
mod fleet;
mod operator;
mod results;
mod run;

pub use results::Violation;
pub use run::{SoakConfig, run};
