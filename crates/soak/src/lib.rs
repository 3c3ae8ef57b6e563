//! A soak test of keepers, forwarding gates and endpoints under faults.
//!
//! The product's binaries run as processes on loopback behind fault-injecting proxies. A seed
//! determines the faults and their times; faults overlap. Callers send requests and an operator
//! changes the declaration throughout, and what callers and endpoints observe is checked meanwhile
//! and at the end. `docs/design/soak.md` lists the invariants and the faults.

mod callers;
mod faults;
mod fleet;
mod gate_faults;
mod injection;
mod odd_announcements;
mod operator;
mod restarts;
mod results;
mod run;
mod status;
mod topology;

pub use results::Violation;
pub use run::{Outcome, SoakConfig, run};
