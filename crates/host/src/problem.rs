//! Problem documents (RFC 9457) with extension members.

use derives::{record, token};
use salvo::{
    http::{StatusCode, header::HeaderValue},
    prelude::Response,
};

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Final state of a request.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every stage answered; the output is complete.
    Completed,
    /// No stage was sent to any endpoint.
    NotRun,
    /// Some stages ran, but none that must not be repeated; the caller may retry.
    Failed,
    /// A call that must not be repeated was sent and its result is not known.
    Unknown,
}

impl Outcome {
    /// Returns the name used on the wire and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response to callers, endpoints and operators.
#[record]
#[derive(Default)]
pub struct Problem {
    /// Stable identifier of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary of the problem.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What happened in this case and what to do about it.
    pub detail: String,
    /// Final state of the request, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Operation that failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<String>,
    /// Peer whose call failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
}

impl Problem {
    /// Creates a problem without the optional members.
    pub fn new(status: u16, kind: &str, title: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            title: title.to_owned(),
            status,
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Writes the status, the headers (`Retry-After` rounded up to seconds) and the JSON body to
    /// `res`.
    pub fn render(&self, res: &mut Response) {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        res.status_code(status);
        let headers = res.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(MEDIA_TYPE));
        if let Some(ms) = self.retry_after_ms {
            headers.insert("retry-after", HeaderValue::from(ms.div_ceil(1_000)));
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        // Writing bytes into a response without a body cannot fail.
        let _ = res.write_body(body);
    }
}
