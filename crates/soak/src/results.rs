//! Counts of responses and the violated invariants.

use std::{
    fmt::{self, Display, Formatter},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant, as a sentence.
    pub rule: &'static str,
    /// The observation that contradicts it, with the request id or revision where there is one.
    pub details: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.details)
    }
}

/// Response counts and violations of one soak.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) served: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) failed: AtomicU64,
    violations: Mutex<Vec<Violation>>,
}

impl Results {
    /// Records a violation of `rule`.
    pub(crate) fn record(&self, rule: &'static str, details: impl Into<String>) {
        let details = details.into();
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.push(Violation { rule, details });
    }

    /// Records a violation of `rule` unless it was recorded with the same details.
    pub(crate) fn record_once(&self, rule: &'static str, details: String) {
        let violation = Violation { rule, details };
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !violations.contains(&violation) {
            violations.push(violation);
        }
    }

    /// Counts a response by its status; `None` is a failed request.
    pub(crate) fn count_response(&self, status: Option<u16>) {
        let counter = match status {
            Some(200) => &self.served,
            Some(503) => &self.refused,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the violations recorded so far, oldest first.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.clone()
    }
}
