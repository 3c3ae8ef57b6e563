//! Refusals of invalid requests.

use host::problem::{Outcome, Problem};
use salvo::http::HeaderMap;

/// Header with the idempotency key.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

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

/// Withdraws the statement that a request did not run if it has an idempotency key: the ledger was
/// not asked, and an earlier request with the key may have run. Statuses that make the same
/// statement become 502.
pub(crate) fn without_promise(mut problem: Box<Problem>, headers: &HeaderMap) -> Box<Problem> {
    if headers.contains_key(IDEMPOTENCY_KEY) {
        problem.outcome = match problem.status {
            408 | 429 | 503 => {
                problem.status = 502;
                Some(Outcome::Unknown)
            }
            _ => None,
        };
    }
    problem
}
