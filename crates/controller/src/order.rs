//! Orders to engines: their content, ids, transport and replies.

use derives::value;
use membership::StageRole;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use uuid::{Builder, Uuid};
use xxhash_rust::xxh3::xxh3_128;

use crate::http_post::post;

const MAX_REASON_CHARS: usize = 200;

/// The change that an order requests.
#[value]
#[derive(Copy)]
pub enum Action {
    /// Load a model version with adapters.
    Load,
    /// Unload a model version.
    Unload,
    /// Serve one part of generations, or both.
    Role(StageRole),
}

impl Action {
    /// Returns its name in orders, logs and the status page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
            Self::Role(_) => "role",
        }
    }
}

/// A change that one endpoint has to make.
#[value]
pub struct Task {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation of the endpoint; it changes when the endpoint restarts.
    pub incarnation: Uuid,
    /// The requested change.
    pub action: Action,
    /// Model name; empty for a role.
    pub model: String,
    /// Model version; 0 for a role.
    pub version: u32,
    /// Adapters to load with the model.
    pub adapters: Vec<String>,
}

impl Task {
    /// Returns the id of this task's order. Every controller derives the same id, so that an
    /// endpoint recognizes a repeat. `attempt` distinguishes a retry after a failure, `revision` a
    /// later declaration.
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

/// The model or the role that an order refers to.
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

/// An endpoint's reply to an order.
#[value]
pub enum OrderReply {
    /// The endpoint accepted the order, now or earlier.
    Accepted,
    /// The endpoint has seen a greater fencing token: another controller is active.
    StaleFencing(String),
    /// The endpoint refused the order and would refuse a repeat.
    Refused(String),
    /// The endpoint accepted the order, but the weight store refused the download.
    StoreRefused(String),
    /// The endpoint has no memory for the model in addition to those loaded.
    OutOfMemory(String),
    /// No reply, or one that requests a retry; the order may or may not have been accepted.
    Unconfirmed(String),
}

/// Sends `task` to the endpoint at `address`; sends nothing after `deadline`.
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

/// Progress of an accepted order; a reply without it means that the order is in progress.
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
