//! A caller's request to a gate and its response.

use std::{net::SocketAddr, time::Duration};

use host::client::{Client, ClientError, build_request};
use hyper::Request;
use serde_json::{Value, json};
use uuid::Uuid;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request to a pipeline.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Pipeline to call.
    pub pipeline: &'static str,
    /// Workspace on whose behalf it is sent.
    pub workspace: &'static str,
    /// Input of the pipeline.
    pub input: Value,
    /// Idempotency key of a booking.
    pub key: Option<Uuid>,
    /// True to request an event stream.
    pub is_streamed: bool,
    /// Deadline in milliseconds; `None` for the pipeline's own.
    pub deadline_ms: Option<u64>,
}

/// The response to a [`CallerRequest`].
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status code.
    pub status: u16,
    /// Outcome in the body; empty if there is none.
    pub outcome: String,
    /// JSON body; for a stream, the data of its last event.
    pub body: Value,
    /// Concatenated texts of a stream's token events.
    pub streamed_text: String,
}

/// Creates a unique idempotency key.
pub fn new_key() -> Uuid {
    Uuid::now_v7()
}

/// Creates a booking request of the watch traders with idempotency key `key`.
pub fn booking(key: Uuid) -> CallerRequest {
    CallerRequest {
        pipeline: "piece-reservation",
        workspace: "sousse-dealers",
        input: json!({ "piece": key }),
        key: Some(key),
        is_streamed: false,
        deadline_ms: None,
    }
}

impl CallerRequest {
    /// Creates a repeatable request of the watch traders.
    pub fn question(text: &str) -> Self {
        Self {
            pipeline: "question",
            workspace: "sousse-dealers",
            input: json!(text),
            key: None,
            is_streamed: false,
            deadline_ms: None,
        }
    }

    /// Returns the same request with a streamed response.
    #[must_use]
    pub fn streamed(self) -> Self {
        Self {
            is_streamed: true,
            ..self
        }
    }

    /// Sends the request to `gate` and reads the complete response.
    pub async fn send(&self, gate: SocketAddr) -> Result<CallerResponse, ClientError> {
        let url = format!("http://{gate}/v1/pipelines/{}", self.pipeline);
        let mut builder = Request::post(&url)
            .header("content-type", "application/json")
            .header("jujube-workspace", self.workspace);
        if let Some(key) = self.key {
            builder = builder.header("idempotency-key", key.to_string());
        }
        if let Some(ms) = self.deadline_ms {
            builder = builder.header("jujube-deadline-ms", ms.to_string());
        }
        if self.is_streamed {
            builder = builder.header("accept", "text/event-stream");
        }
        let body = json!({ "input": self.input }).to_string();
        let answer = Client::new(REQUEST_TIMEOUT)
            .send(build_request(builder, body.into(), &url)?)
            .await?;
        let status = answer.status.as_u16();
        Ok(match self.is_streamed && answer.status.is_success() {
            true => from_stream(status, &answer.body),
            false => CallerResponse {
                status,
                ..from_body(
                    status,
                    serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
                )
            },
        })
    }
}

fn from_body(status: u16, body: Value) -> CallerResponse {
    CallerResponse {
        status,
        outcome: body["outcome"].as_str().unwrap_or_default().to_owned(),
        body,
        streamed_text: String::new(),
    }
}

fn from_stream(status: u16, bytes: &[u8]) -> CallerResponse {
    let text = String::from_utf8_lossy(bytes);
    let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let events: Vec<Value> = data
        .filter_map(|data| serde_json::from_str(data.trim()).ok())
        .collect();
    let last = events.last().cloned().unwrap_or(Value::Null);
    let pieces = events.iter().filter_map(|event| event["text"].as_str());
    CallerResponse {
        streamed_text: pieces.collect(),
        ..from_body(status, last)
    }
}
