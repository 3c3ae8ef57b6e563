//! Refusals before any work.

use host::problem::{Outcome, Problem};

/// A refusal before any work.
pub(crate) fn bad(status: u16, kind: &str, title: &str, what: impl Into<String>) -> Box<Problem> {
    let mut problem = Problem::new(status, kind, title, what);
    problem.outcome = Some(Outcome::NotRun);
    problem.step = Some("check request".to_owned());
    Box::new(problem)
}
