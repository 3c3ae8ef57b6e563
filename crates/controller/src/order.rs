//! Orders to engines: what they say and how they are sent.

use derives::value;
use membership::StageRole;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use uuid::{Builder, Uuid};
use xxhash_rust::xxh3::xxh3_128;

use crate::http_post::post;

const MAX_REASON_CHARS: usize = 200;

/// What an order asks for.
#[value]
#[derive(Copy)]
pub enum Action {
    /// Load a model's version with adapters.
    Load,
    /// Unload a model's version.
    Unload,
    /// Take a part of generations.
    Role(StageRole),
}

impl Action {
    /// The word for it in orders, logs and status.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
            Self::Role(_) => "role",
        }
    }
}

/// What an endpoint is to do.
#[value]
pub struct Task {
    /// The endpoint.
    pub endpoint: String,
    /// Its incarnation: a restarted endpoint is another one.
    pub incarnation: Uuid,
    /// What to do.
    pub action: Action,
    /// Model name; empty for a role.
    pub model: String,
    /// Model version; 0 for a role.
    pub version: u32,
    /// Adapters to load with it.
    pub adapters: Vec<String>,
}

impl Task {
    /// The id of this task's order. Any controller gives it the same id, so that an endpoint sees
    /// a repeat as such; `attempt` tells a new try after a failed one, `revision` a new intent.
    pub fn order_id(&self, revision: u64, attempt: u32) -> Uuid {
        let text = format!(
            "{}/{}/{:?}/{}/{}/{}/{revision}/{attempt}",
            self.endpoint,
            self.incarnation,
            self.action,
            self.model,
            self.version,
            self.adapters.join(","),
        );
        let hash = xxh3_128(text.as_bytes()).to_be_bytes();
        Builder::from_custom_bytes(hash).into_uuid()
    }
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Serialize)]
struct OrderBody<'a> {
    order: Uuid,
    fencing: u64,
    action: &'static str,
    #[serde(flatten)]
    subject: Subject<'a>,
}

/// What an order is about.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
enum Subject<'a> {
    Model {
        model: &'a str,
        version: u32,
        adapters: &'a [String],
    },
    Role {
        role: StageRole,
    },
}

impl<'a> Subject<'a> {
    fn of_task(task: &'a Task) -> Self {
        match task.action {
            Action::Role(role) => Self::Role { role },
            Action::Load | Action::Unload => Self::Model {
                model: &task.model,
                version: task.version,
                adapters: &task.adapters,
            },
        }
    }
}

/// The answer to an order.
#[value]
pub enum OrderReply {
    /// The endpoint has taken it, or had before.
    Accepted,
    /// It has seen a greater fencing number: another controller is active.
    StaleFencing(String),
    /// It refuses, and a repeat would be refused as well.
    Refused(String),
    /// It took the order, and the weight store refused what it asked for.
    StoreRefused(String),
    /// It has no memory for the model beside what it has.
    OutOfMemory(String),
    /// No answer, or one that asks to come back; the order may or may not have been taken.
    Unconfirmed(String),
}

/// Sends `task` to the endpoint at `address`; nothing of it goes out after `until`.
pub(crate) async fn send(
    address: &str,
    task: &Task,
    order: Uuid,
    fencing: u64,
    deadline: Instant,
) -> OrderReply {
    let body = OrderBody {
        order,
        fencing,
        action: task.action.name(),
        subject: Subject::of_task(task),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    match post(address, "/v1/orders", body, deadline).await {
        Err(e) => OrderReply::Unconfirmed(e),
        Ok((status, body)) => {
            let text = String::from_utf8_lossy(&body);
            let text: String = text.chars().take(MAX_REASON_CHARS).collect();
            match status.as_u16() {
                200..300 => parse_progress(&body),
                409 => OrderReply::StaleFencing(text),
                507 => OrderReply::OutOfMemory(text),
                408 | 425 | 429 | 500.. => OrderReply::Unconfirmed(format!("{status}: {text}")),
                _ => OrderReply::Refused(format!("{status}: {text}")),
            }
        }
    }
}

/// How far an order has come that the endpoint took; one that says nothing of it is under way.
#[derive(Debug, Deserialize)]
struct OrderProgress {
    state: String,
    #[serde(default)]
    cause: String,
    #[serde(default)]
    detail: String,
}

fn parse_progress(body: &[u8]) -> OrderReply {
    match serde_json::from_slice::<OrderProgress>(body) {
        Ok(progress) if progress.state == "failed" && progress.cause == "weight_store" => {
            OrderReply::StoreRefused(progress.detail.chars().take(MAX_REASON_CHARS).collect())
        }
        Ok(progress) if progress.state == "failed" => {
            OrderReply::Refused(progress.detail.chars().take(MAX_REASON_CHARS).collect())
        }
        _ => OrderReply::Accepted,
    }
}
