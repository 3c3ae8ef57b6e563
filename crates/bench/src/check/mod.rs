//! Compares journals with callers' answers and names every invariant that a run broke.

mod evidence;
mod judge;
mod violation;

pub use self::{
    evidence::{Attempt, Evidence, LedgerEntry, Outcome, Reply, Request, ObservedRevision},
    judge::check,
    violation::Violation,
};
