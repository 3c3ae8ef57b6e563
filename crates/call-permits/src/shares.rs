//! Shares of gates in the rates of a zone's endpoints, lent to the gate that grants permits.
//!
//! Each gate of a zone has an equal share in the rate of each endpoint there, and lends it to one
//! gate at a time. A gate grants permits only for the shares that it holds. So all gates together
//! stay within the rate even if several of them grant permits because they can't reach each other.
//! Times are those of the boot-time clock, which keeps running while a VM is suspended.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// How long a share is lent. The borrower counts from its request, the lender from its reply, which
/// is later.
pub const LOAN_DURATION: Duration = Duration::from_millis(1_500);
/// Time after its start in which a gate neither lends nor uses its share, since it may have lent it
/// before it was restarted, and other gates have to learn of it.
const START_DELAY: Duration = Duration::from_secs(2);
/// Smallest fraction of the shares with which a gate grants permits. It bounds the number of gates
/// that do at the same time, each of which may grant a burst.
const MIN_FRACTION: f64 = 0.25;

/// Lends the share of this gate, by availability zone.
#[derive(Debug)]
pub struct Lender {
    start: Duration,
    loans: HashMap<String, Loan>,
}

/// A share that is lent.
#[derive(Debug)]
struct Loan {
    borrower: String,
    until: Duration,
}

impl Lender {
    /// Creates the lender of a gate that started at `start`.
    pub fn new(start: Duration) -> Self {
        Self {
            start,
            loans: HashMap::new(),
        }
    }

    /// Lends the share in the rates of `az` to `borrower` for [`LOAN_DURATION`]. Returns false if it
    /// is lent to another gate.
    pub fn lend(&mut self, az: &str, borrower: &str, now: Duration) -> bool {
        let is_taken = |loan: &Loan| now < loan.until && loan.borrower != borrower;
        if now < self.start + START_DELAY || self.loans.get(az).is_some_and(is_taken) {
            return false;
        }
        let loan = Loan {
            borrower: borrower.to_owned(),
            until: now + LOAN_DURATION,
        };
        self.loans.insert(az.to_owned(), loan);
        true
    }
}

/// The shares that other gates lend to this gate, by availability zone and lender.
#[derive(Debug, Default)]
pub struct BorrowedShares {
    until: HashMap<String, BTreeMap<String, Duration>>,
}

impl BorrowedShares {
    /// Records that `lender` lent its share as requested at `requested_at`.
    pub fn record(&mut self, az: &str, lender: &str, requested_at: Duration) {
        let lenders = self.until.entry(az.to_owned()).or_default();
        lenders.insert(lender.to_owned(), requested_at + LOAN_DURATION);
    }

    /// Returns the fraction of the shares of `holders` that this gate may use at `now`, given whether
    /// it may use its own; zero if that is too little to grant permits.
    pub fn fraction(&self, az: &str, holders: &[String], has_own: bool, now: Duration) -> f64 {
        let lenders = self.until.get(az);
        let is_lent = |holder: &&String| {
            let until = lenders.and_then(|lenders| lenders.get(*holder));
            until.is_some_and(|until| now < *until)
        };
        let borrowed = holders.iter().filter(is_lent).count();
        let fraction = (borrowed + usize::from(has_own)) as f64 / holders.len().max(1) as f64;
        if fraction < MIN_FRACTION {
            0.0
        } else {
            fraction.min(1.0)
        }
    }
}

#[cfg(test)]
mod tests;
