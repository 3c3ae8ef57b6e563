//! Problem documents (RFC 9457) with our own members.

use derives::{record, token};
use salvo::{
    http::{StatusCode, header::HeaderValue},
    prelude::Response,
};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What became of a request.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every stage answered; the output is whole.
    Completed,
    /// No stage was handed to any endpoint.
    NotRun,
    /// Something ran, nothing that may not be repeated did; the caller may try again.
    Failed,
    /// A call that may not be repeated was sent and its result was never seen.
    Unknown,
}

impl Outcome {
    /// The outcome's name on the wire and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// An error as callers, endpoints and operators see it.
#[record]
#[derive(Default)]
pub struct Problem {
    /// A short stable name of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The problem in a few words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened here and what to do.
    pub detail: String,
    /// What became of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// The step at which it arose.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<String>,
    /// The peer at which it arose.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request's id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
}

impl Problem {
    /// A problem named `kind` with its status and detail.
    pub fn new(status: u16, kind: &str, title: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            title: title.to_owned(),
            status,
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Writes the problem, its status and `Retry-After` into `res`.
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
