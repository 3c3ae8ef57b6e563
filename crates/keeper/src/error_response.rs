//! Error bodies of the operators' API.

use declaration::{Conflict, Fault};
use derives::record;
use host::problem::{MEDIA_TYPE, Problem};
use salvo::{
    http::{StatusCode, header::HeaderValue},
    prelude::Response,
};

/// Retry delay sent with a reply that found no quorum.
const RETRY_AFTER_MS: u64 = 1_000;

/// A problem with the conflicts or faults that caused it.
#[record]
pub struct ErrorResponse {
    /// The problem, flattened into the body.
    #[serde(flatten)]
    pub problem: Box<Problem>,
    /// Both sides of each section in conflict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
    /// All faults of the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

impl From<Problem> for ErrorResponse {
    fn from(problem: Problem) -> Self {
        Self {
            problem: Box::new(problem),
            conflicts: Vec::new(),
            faults: Vec::new(),
        }
    }
}

impl ErrorResponse {
    /// 409 with both sides of each conflict.
    pub fn conflict(conflicts: Vec<Conflict>) -> Self {
        let detail = format!(
            "{} section(s) changed since base_revision; read the declaration and merge",
            conflicts.len()
        );
        Self {
            problem: Box::new(Problem::new(409, "conflict", "Conflict", detail)),
            conflicts,
            faults: Vec::new(),
        }
    }

    /// 422 with all faults of the document.
    pub fn faults(faults: Vec<Fault>) -> Self {
        let detail = format!(
            "{} fault(s) in the document; nothing was changed",
            faults.len()
        );
        Self {
            problem: Box::new(Problem::new(
                422,
                "invalid-document",
                "Invalid document",
                detail,
            )),
            conflicts: Vec::new(),
            faults,
        }
    }

    /// Writes status, headers and body to `res`.
    pub fn render(&self, res: &mut Response) {
        let status = StatusCode::from_u16(self.problem.status);
        res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        let headers = res.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(MEDIA_TYPE));
        if let Some(ms) = self.problem.retry_after_ms {
            headers.insert("retry-after", HeaderValue::from(ms.div_ceil(1_000)));
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        // Writing bytes into a response without a body cannot fail.
        let _ = res.write_body(body);
    }
}

/// 503: no quorum answered at `step`; `peer` is the last known leader.
pub fn no_quorum(step: &str, peer: Option<&str>) -> Problem {
    let detail =
        format!("{step}: no quorum of keepers answered; a retry with the same change id is safe");
    Problem {
        step: Some(step.to_owned()),
        peer: Some(peer.unwrap_or("no leader known").to_owned()),
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..Problem::new(503, "no-quorum", "No quorum of keepers", detail)
    }
}
