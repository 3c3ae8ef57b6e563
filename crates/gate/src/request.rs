//! Reads and validates callers' requests.

use std::{sync::Arc, time::Duration};

use host::problem::Problem;
use link::follower::ActiveDeclaration;
use outbound::MemoryReservation;
use salvo::{
    Request,
    http::{HeaderMap, header::ACCEPT},
};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, timeout};
use uuid::Uuid;

use crate::{
    body,
    gate::Gate,
    ledger,
    refusal::{IDEMPOTENCY_KEY, refusal},
};

/// Longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Longest request id that a caller may choose, in bytes.
const MAX_REQUEST_ID: usize = 128;

/// A validated request of a caller.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: String,
    pub(crate) workspace: String,
    pub(crate) pipeline: String,
    /// The declaration that was in force when the request arrived; used until it ends.
    pub(crate) in_force: Arc<ActiveDeclaration>,
    pub(crate) deadline: Instant,
    pub(crate) arrived: Instant,
    /// Idempotency key; present if the pipeline has a stage that may not be repeated.
    pub(crate) key: Option<Uuid>,
    /// True if the caller accepts an event stream.
    pub(crate) is_streamed: bool,
    pub(crate) input: Box<RawValue>,
    /// Digest of workspace, pipeline and input; the ledger compares it when a key is used again.
    pub(crate) digest: Vec<u8>,
    /// Holds the body's share of the memory limit until the request ends.
    _memory: MemoryReservation,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    input: Box<RawValue>,
}

/// Reads and validates a request. The problem on failure says what the caller must change.
pub(crate) async fn read(gate: &Gate, req: &mut Request) -> Result<CallerRequest, Box<Problem>> {
    let arrived = Instant::now();
    let id = request_id(req.headers())?;
    let with_request_id = |mut problem: Box<Problem>| {
        problem.request = Some(id.clone());
        problem
    };
    let checked = check_head(gate, req, arrived).map_err(with_request_id)?;
    let reading = body::read(gate.cfg.limits.body_bytes, &gate.body_memory, req);
    let limit = gate.cfg.timing.body;
    let (bytes, memory) = match timeout(limit, reading).await {
        Err(_) => {
            let detail = format!("the body did not arrive within {limit:?}; send it faster");
            return Err(with_request_id(refusal(
                408,
                "body-too-slow",
                "Body too slow",
                detail,
            )));
        }
        Ok(result) => result.map_err(with_request_id)?,
    };
    let body: Body = serde_json::from_slice(&bytes).map_err(|e| {
        let detail = format!("the body is not `{{\"input\": …}}`: {e}");
        with_request_id(refusal(400, "bad-body", "Bad body", detail))
    })?;
    let digest = ledger::digest(&checked.workspace, &checked.pipeline, body.input.get());
    Ok(CallerRequest {
        id,
        workspace: checked.workspace,
        pipeline: checked.pipeline,
        in_force: checked.in_force,
        deadline: checked.deadline,
        arrived,
        key: checked.key,
        is_streamed: accepts_events(req.headers()),
        input: body.input,
        digest,
        _memory: memory,
    })
}

/// Validated contents of a request's headers and path.
struct Head {
    workspace: String,
    pipeline: String,
    in_force: Arc<ActiveDeclaration>,
    deadline: Instant,
    key: Option<Uuid>,
}

fn check_head(gate: &Gate, req: &Request, arrived: Instant) -> Result<Head, Box<Problem>> {
    let Some(in_force) = gate.in_force() else {
        let detail = "no declaration is known yet; retry later or use another gate";
        let mut problem = refusal(503, "no-declaration", "No declaration", detail);
        problem.retry_after_ms = Some(1_000);
        return Err(problem);
    };
    let declared = &in_force.declaration;
    let name = req.params().get("pipeline").cloned().unwrap_or_default();
    let Some(pipeline) = declared.pipelines.get(&name) else {
        let detail = format!("pipeline `{}` is not declared", truncate(&name));
        return Err(refusal(404, "no-pipeline", "No such pipeline", detail));
    };
    let headers = req.headers();
    let Some(workspace_name) = header_text(headers, "jujube-workspace")? else {
        let detail = "header Jujube-Workspace is missing; name the workspace";
        return Err(refusal(400, "no-workspace", "No workspace", detail));
    };
    let workspace = declared.workspaces.get(workspace_name);
    if !workspace.is_some_and(|w| w.pipelines.contains(&name)) {
        let workspace_name = truncate(workspace_name);
        let detail =
            format!("workspace `{workspace_name}` is not declared or may not call `{name}`");
        return Err(refusal(403, "not-allowed", "Not allowed", detail));
    }
    let needs_key = declared.has_unrepeatable_stage(pipeline);
    Ok(Head {
        workspace: workspace_name.to_owned(),
        deadline: arrived + deadline(headers, pipeline.deadline)?,
        key: match needs_key {
            true => Some(idempotency_key(headers)?),
            false => None,
        },
        pipeline: name,
        in_force: Arc::clone(&in_force),
    })
}

fn deadline(headers: &HeaderMap, default: Duration) -> Result<Duration, Box<Problem>> {
    let Some(text) = header_text(headers, "jujube-deadline-ms")? else {
        return Ok(default);
    };
    let parsed = text.parse().map(Duration::from_millis);
    match parsed {
        Ok(d) if !d.is_zero() && d <= MAX_DEADLINE => Ok(d),
        _ => {
            let max = MAX_DEADLINE.as_millis();
            let detail = format!("Jujube-Deadline-Ms must be a number from 1 to {max}");
            Err(refusal(400, "bad-deadline", "Bad deadline", detail))
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Uuid, Box<Problem>> {
    let refused = |detail: &str| Err(refusal(400, "bad-key", "Bad idempotency key", detail));
    match header_text(headers, IDEMPOTENCY_KEY)? {
        None => refused(
            "this pipeline has a stage that may not be repeated; send Idempotency-Key with a UUIDv7",
        ),
        Some(text) => match parse_key(text) {
            Some(key) => Ok(key),
            None => refused("Idempotency-Key must be a UUIDv7"),
        },
    }
}

/// Parses a UUIDv7. Other versions are rejected because the ledger needs the creation time in the
/// key.
pub(crate) fn parse_key(text: &str) -> Option<Uuid> {
    let key = Uuid::try_parse(text).ok()?;
    (key.get_version_num() == 7).then_some(key)
}

fn request_id(headers: &HeaderMap) -> Result<String, Box<Problem>> {
    match header_text(headers, "jujube-request")? {
        None => Ok(Uuid::now_v7().to_string()),
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID => Ok(id.to_owned()),
        Some(_) => {
            let detail = format!("Jujube-Request must have 1 to {MAX_REQUEST_ID} bytes");
            Err(refusal(400, "bad-request-id", "Bad request id", detail))
        }
    }
}

/// Returns the text of a header that may occur at most once.
fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Box<Problem>> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    let problem =
        |detail: &str| refusal(400, "bad-header", "Bad header", format!("{name} {detail}"));
    match (first, second) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(problem("is repeated; send it once")),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text.trim())),
            Err(_) => Err(problem("is not visible ASCII text")),
        },
    }
}

fn accepts_events(headers: &HeaderMap) -> bool {
    let accepted = headers.get_all(ACCEPT).iter();
    accepted
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().starts_with("text/event-stream"))
}

fn truncate(text: &str) -> String {
    text.chars().take(64).collect()
}
