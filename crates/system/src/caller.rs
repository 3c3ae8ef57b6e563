//! A caller's request and what came back.

use std::{net::SocketAddr, time::Duration};

use host::client::{Client, ClientError, build_request};
use hyper::Request;
use serde_json::{Value, json};
use uuid::Uuid;

const LIMIT: Duration = Duration::from_secs(20);

/// One request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The pipeline called.
    pub pipeline: &'static str,
    /// On whose behalf.
    pub workspace: &'static str,
    /// The input.
    pub input: Value,
    /// The idempotency key, for a booking.
    pub key: Option<Uuid>,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// The deadline, where not the pipeline's.
    pub deadline_ms: Option<u64>,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The outcome, empty where none was told.
    pub outcome: String,
    /// The body; of a stream, the data of its last event.
    pub body: Value,
    /// Texts of a stream's token events, put together.
    pub streamed_text: String,
}

/// A fresh idempotency key.
pub fn new_key() -> Uuid {
    Uuid::now_v7()
}

/// A booking of the watch traders under `key`.
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
    /// A repeatable question of the watch traders.
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

    /// The same request, streamed.
    #[must_use]
    pub fn streamed(self) -> Self {
        Self {
            is_streamed: true,
            ..self
        }
    }

    /// Sends it to `gate`.
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
        let answer = Client::new(LIMIT)
            .send(build_request(builder, body.into(), &url)?)
            .await?;
        let status = answer.status.as_u16();
        Ok(match self.is_streamed && answer.status.is_success() {
            true => streamed(status, &answer.body),
            false => CallerResponse {
                status,
                ..response(
                    status,
                    serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
                )
            },
        })
    }
}

fn response(status: u16, body: Value) -> CallerResponse {
    CallerResponse {
        status,
        outcome: body["outcome"].as_str().unwrap_or_default().to_owned(),
        body,
        streamed_text: String::new(),
    }
}

fn streamed(status: u16, bytes: &[u8]) -> CallerResponse {
    let text = String::from_utf8_lossy(bytes);
    let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let events: Vec<Value> = data
        .filter_map(|data| serde_json::from_str(data.trim()).ok())
        .collect();
    let last = events.last().cloned().unwrap_or(Value::Null);
    let pieces = events.iter().filter_map(|event| event["text"].as_str());
    CallerResponse {
        streamed_text: pieces.collect(),
        ..response(status, last)
    }
}
