//! Selects the endpoint for a stage's next call, and reports failed calls to routing and metrics.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use routing::NoEndpoint;
use tokio::time::{Instant, sleep};

use crate::{
    call_routing::{CallVerdict, PickRequest, PickedEndpoint, retry_after},
    context::RequestContext,
    error::{CallError, Cause, StageError},
    stage::Stage,
    stage_work::StageWork,
};

/// Longest wait for an endpoint with a free slot, and the shortest interval between polls.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(500);
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest interval between polls while all endpoints are paused or limited.
const MAX_RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Picks an endpoint for the next call as soon as one has a free slot. Prefers endpoints that have
/// not failed yet.
pub(crate) async fn pick_when_free(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    avoid: &[String],
) -> Result<Arc<PickedEndpoint>, StageError> {
    let now = Instant::now();
    let remaining = cx.request.deadline.saturating_duration_since(now);
    let until = now + (remaining / 4).min(MAX_SLOT_WAIT);
    loop {
        let busy = match pick(cx, stage, work, avoid) {
            Err(NoEndpoint::Busy { retry_after }) => NoEndpoint::Busy { retry_after },
            result => return result.map_err(|none| no_endpoint(stage, none)),
        };
        let pause = poll_interval();
        if Instant::now() + pause >= until {
            return Err(no_endpoint(stage, busy));
        }
        sleep(pause).await;
    }
}

/// Picks an endpoint for a stage whose earlier call may have run. Since the request can't be refused
/// any more, this waits for endpoints that are busy, paused or limited, unless they are so until the
/// deadline.
pub(crate) async fn pick_for_retry(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    avoid: &[String],
) -> Result<Arc<PickedEndpoint>, StageError> {
    loop {
        let (none, wait) = match pick(cx, stage, work, avoid) {
            Err(busy @ NoEndpoint::Busy { .. }) => (busy, Duration::ZERO),
            Err(
                none @ (NoEndpoint::Paused { retry_after } | NoEndpoint::Limited { retry_after }),
            ) => (none, retry_after),
            result => return result.map_err(|none| no_endpoint(stage, none)),
        };
        let pause = poll_interval();
        let remaining = cx
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        if pause.max(wait) >= remaining {
            return Err(no_endpoint(stage, none));
        }
        // Another endpoint may take the call before this wait is over.
        sleep(wait.clamp(pause, MAX_RETRY_POLL_INTERVAL)).await;
    }
}

fn poll_interval() -> Duration {
    rand::rng().random_range(SLOT_POLL_INTERVAL..=SLOT_POLL_INTERVAL * 2)
}

/// Picks an endpoint for the next call. Prefers endpoints that have not failed yet.
pub(crate) fn pick(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    avoid: &[String],
) -> Result<Arc<PickedEndpoint>, NoEndpoint> {
    pick_for_prompt(cx, stage, work.prompt(), avoid)
}

/// Like [`pick`], with the prompt given separately.
pub(crate) fn pick_for_prompt(
    cx: &RequestContext,
    stage: Stage<'_>,
    prompt: Option<&str>,
    avoid: &[String],
) -> Result<Arc<PickedEndpoint>, NoEndpoint> {
    let req = PickRequest {
        name: stage.name,
        service: stage.service,
        azs: &cx.azs,
        prompt,
        avoid,
        remaining: Some(
            cx.request
                .deadline
                .saturating_duration_since(Instant::now()),
        ),
    };
    let picked = match cx.gate.routing.pick(&req) {
        Err(NoEndpoint::AllTried) if !avoid.is_empty() => {
            cx.gate.routing.pick(&PickRequest { avoid: &[], ..req })
        }
        result => result,
    };
    let picked = picked.map(Arc::new)?;
    cx.log_chosen(&picked);
    Ok(picked)
}

fn no_endpoint(stage: Stage<'_>, none: NoEndpoint) -> StageError {
    let cause = Cause::NoEndpoint {
        retry_after: retry_after(none),
        reason: none.to_string(),
    };
    StageError::new(stage.name, cause)
}

/// Reports a failed call to routing, metrics and the request log.
pub(crate) fn record_failure(
    cx: &RequestContext,
    stage: Stage<'_>,
    picked: &PickedEndpoint,
    error: CallError,
) -> StageError {
    let verdict = match &error {
        CallError::NotRun { .. }
        | CallError::Status { status: 429, .. }
        // It requested a pause.
        | CallError::Status {
            status: 503,
            retry_after: Some(_),
            ..
        } => CallVerdict::Refused,
        CallError::Status { status, .. } if *status < 500 => CallVerdict::Rejected,
        CallError::Deadline => CallVerdict::Late,
        CallError::CallerDisconnected | CallError::Unsent | CallError::NoMemory => {
            CallVerdict::Cancelled
        },
        _ => CallVerdict::Failed,
    };
    picked.finish(verdict, None, None);
    cx.gate
        .metrics
        .record_call(stage.name, result_label(&error));
    cx.log_call_failed(stage, picked, error)
}

/// Metric label for the result of a call, from a fixed set.
fn result_label(error: &CallError) -> &'static str {
    match error {
        CallError::Connect(_) => "connect",
        CallError::Unsent => "unsent",
        CallError::NotRun { .. } => "not_run",
        CallError::Stalled(_) => "stalled",
        CallError::ConnectionLost(_) => "broken",
        CallError::Status { .. } => "status",
        CallError::CallIdMismatch => "crossed",
        CallError::Malformed(_) => "malformed",
        CallError::TooLarge(_) => "too_large",
        CallError::NoMemory => "no_memory",
        CallError::Diverged => "diverged",
        CallError::Lagging => "lagging",
        CallError::Deadline => "deadline",
        CallError::CallerDisconnected => "caller_gone",
    }
}
