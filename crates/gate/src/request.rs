//! A caller's request, read and checked before any work.

use std::{sync::Arc, time::Duration};

use host::problem::Problem;
use link::follower::ActiveDeclaration;
use salvo::{
    Request,
    http::{HeaderMap, header::ACCEPT},
};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, timeout};
use uuid::Uuid;

use crate::{body, gate::Gate, ledger, refusal::bad};

/// Longest deadline that a caller may name.
const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Longest request id that a caller may choose, in bytes.
const MAX_REQUEST_ID: usize = 128;

/// What a caller asks for.
#[derive(Debug)]
pub(crate) struct Ask {
    /// The request's id.
    pub(crate) id: String,
    /// The workspace.
    pub(crate) workspace: String,
    /// The pipeline.
    pub(crate) pipeline: String,
    /// The declaration that the request runs under.
    pub(crate) in_force: Arc<ActiveDeclaration>,
    /// When the answer must be there.
    pub(crate) deadline: Instant,
    /// When the request came.
    pub(crate) arrived: Instant,
    /// The idempotency key, where the pipeline has a stage that may not be repeated.
    pub(crate) key: Option<Uuid>,
    /// Whether the caller wants a stream of events.
    pub(crate) is_streamed: bool,
    /// The input.
    pub(crate) input: Box<RawValue>,
    /// Digest of workspace, pipeline and input.
    pub(crate) digest: Vec<u8>,
    /// Share of the bodies that the gate may hold.
    _held: body::Held,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    input: Box<RawValue>,
}

/// Reads and checks a request; the problem says what the caller has to change.
pub(crate) async fn read(gate: &Gate, req: &mut Request) -> Result<Ask, Box<Problem>> {
    let arrived = Instant::now();
    let id = request_id(req.headers())?;
    let named = |mut problem: Box<Problem>| {
        problem.request = Some(id.clone());
        problem
    };
    let checked = check(gate, req, arrived).map_err(named)?;
    let reading = body::read(&gate.cfg.limits, &gate.budget, req);
    let limit = gate.cfg.timing.body;
    let (bytes, held) = match timeout(limit, reading).await {
        Err(_) => {
            let what = format!("the body did not arrive within {limit:?}; send it faster");
            return Err(named(bad(408, "body-too-slow", "Body too slow", what)));
        }
        Ok(result) => result.map_err(named)?,
    };
    let body: Body = serde_json::from_slice(&bytes).map_err(|e| {
        let what = format!("the body is not `{{\"input\": …}}`: {e}");
        named(bad(400, "bad-body", "Bad body", what))
    })?;
    let digest = ledger::digest(&checked.workspace, &checked.pipeline, body.input.get());
    Ok(Ask {
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
        _held: held,
    })
}

/// What the head of a request says.
struct Head {
    workspace: String,
    pipeline: String,
    in_force: Arc<ActiveDeclaration>,
    deadline: Instant,
    key: Option<Uuid>,
}

fn check(gate: &Gate, req: &Request, arrived: Instant) -> Result<Head, Box<Problem>> {
    let Some(in_force) = gate.in_force() else {
        let what = "no declaration is known here yet; ask another gate or come back";
        let mut problem = bad(503, "no-declaration", "No declaration", what);
        problem.retry_after_ms = Some(1_000);
        return Err(problem);
    };
    let declared = &in_force.declaration;
    let name = req.params().get("pipeline").cloned().unwrap_or_default();
    let Some(pipeline) = declared.pipelines.get(&name) else {
        let what = format!("pipeline `{}` is not declared", shorten(&name));
        return Err(bad(404, "no-pipeline", "No such pipeline", what));
    };
    let headers = req.headers();
    let Some(wanted) = text(headers, "jujube-workspace")? else {
        let what = "header Jujube-Workspace is missing; name the workspace";
        return Err(bad(400, "no-workspace", "No workspace", what));
    };
    let workspace = declared.workspaces.get(wanted);
    if !workspace.is_some_and(|w| w.pipelines.contains(&name)) {
        let wanted = shorten(wanted);
        let what = format!("workspace `{wanted}` is not declared or may not call `{name}`");
        return Err(bad(403, "not-allowed", "Not allowed", what));
    }
    let needs_key = declared.has_unrepeatable_stage(pipeline);
    Ok(Head {
        workspace: wanted.to_owned(),
        deadline: arrived + deadline(headers, pipeline.deadline)?,
        key: match needs_key {
            true => Some(key(headers)?),
            false => None,
        },
        pipeline: name,
        in_force: Arc::clone(&in_force),
    })
}

fn deadline(headers: &HeaderMap, default: Duration) -> Result<Duration, Box<Problem>> {
    let Some(text) = text(headers, "jujube-deadline-ms")? else {
        return Ok(default);
    };
    let parsed = text.parse().map(Duration::from_millis);
    match parsed {
        Ok(d) if !d.is_zero() && d <= MAX_DEADLINE => Ok(d),
        _ => {
            let max = MAX_DEADLINE.as_millis();
            let what = format!("Jujube-Deadline-Ms must be a number from 1 to {max}");
            Err(bad(400, "bad-deadline", "Bad deadline", what))
        }
    }
}

fn key(headers: &HeaderMap) -> Result<Uuid, Box<Problem>> {
    let refused = |what: &str| Err(bad(400, "bad-key", "Bad idempotency key", what));
    match text(headers, "idempotency-key")? {
        None => refused(
            "this pipeline has a stage that may not be repeated; send Idempotency-Key with a UUIDv7",
        ),
        Some(text) => match parse_key(text) {
            Some(key) => Ok(key),
            None => refused("Idempotency-Key must be a UUIDv7"),
        },
    }
}

/// A UUIDv7, which carries the time at which it was made.
pub(crate) fn parse_key(text: &str) -> Option<Uuid> {
    let key = Uuid::try_parse(text).ok()?;
    (key.get_version_num() == 7).then_some(key)
}

fn request_id(headers: &HeaderMap) -> Result<String, Box<Problem>> {
    match text(headers, "jujube-request")? {
        None => Ok(Uuid::now_v7().to_string()),
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID => Ok(id.to_owned()),
        Some(_) => {
            let what = format!("Jujube-Request must have 1 to {MAX_REQUEST_ID} bytes");
            Err(bad(400, "bad-request-id", "Bad request id", what))
        }
    }
}

/// The text of a header that may stand once.
fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Box<Problem>> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    let problem = |what: &str| bad(400, "bad-header", "Bad header", format!("{name} {what}"));
    match (first, second) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(problem("stands twice; send it once")),
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

fn shorten(text: &str) -> String {
    text.chars().take(64).collect()
}
