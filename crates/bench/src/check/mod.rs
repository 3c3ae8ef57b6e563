//! Compares the journals of endpoints with the replies to callers and lists the violated invariants.

mod evidence;
mod invariants;
mod violation;

pub use self::{
    evidence::{Attempt, Evidence, LedgerEntry, ObservedRevision, Outcome, Reply, Request},
    invariants::check,
    violation::Violation,
};
