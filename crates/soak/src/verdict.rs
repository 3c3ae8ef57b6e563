//! What went wrong, and what was seen.

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

/// Counts of what callers saw, and violations.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    pub(crate) served: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) failed: AtomicU64,
    violations: Mutex<Vec<Violation>>,
}

impl Verdict {
    /// Notes a broken rule.
    pub(crate) fn broken(&self, rule: &'static str, details: impl Into<String>) {
        let details = details.into();
        let mut all = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        all.push(Violation { rule, details });
    }

    /// Counts an answer by its status.
    pub(crate) fn count(&self, status: Option<u16>) {
        let counter = match status {
            Some(200) => &self.served,
            Some(503) => &self.refused,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Everything that was broken.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let all = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        all.clone()
    }
}
