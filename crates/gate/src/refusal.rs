//! Refusals of invalid requests.

use host::problem::{Outcome, Problem};

/// Builds the problem for a request that is refused before any work.
pub(crate) fn refusal(
    status: u16,
    kind: &str,
    title: &str,
    detail: impl Into<String>,
) -> Box<Problem> {
    let mut problem = Problem::new(status, kind, title, detail);
    problem.outcome = Some(Outcome::NotRun);
    problem.step = Some("check request".to_owned());
    Box::new(problem)
}
