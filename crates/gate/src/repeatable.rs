//! Runs a repeatable stage with retries, hedges and resumed streams until it has a result.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::RngExt;
use serde_json::value::RawValue;
use tokio::time::{Instant, sleep};

use crate::{
    call_routing::{CallVerdict, PickedEndpoint, StageInput},
    context::RequestContext,
    error::{CallError, Cause, StageError},
    hedging::{self, ConnectionKind, StartedAnswer},
    lag::LagDetector,
    picking::{pick_for_prompt, pick_for_retry, pick_when_free, record_failure},
    plain,
    stage::{RetryState, Stage, StageReport, StageResult},
    stage_work::StageWork,
    stream::EventSink,
    succession,
};

/// Bounds of the exponential backoff before a retry; the delay is drawn between zero and the bound.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Runs `stage` until it has a result or no further retry is allowed. New text from an engine is
/// sent to `sink` at once.
pub(crate) async fn run(
    cx: &RequestContext,
    stage: Stage<'_>,
    previous: Option<&RawValue>,
    sink: Option<&EventSink>,
) -> Result<StageResult, StageError> {
    let started = Instant::now();
    let mut work = StageWork::new(stage, &cx.request.input, previous, &cx.gate.metrics);
    let mut tries = RetryState::default();
    cx.gate.routing.record_first_attempt(stage.name);
    loop {
        tries.rounds += 1;
        let error = match try_once(cx, stage, &mut work, &mut tries, sink).await {
            Ok((output, endpoint)) => {
                let elapsed = started.elapsed();
                work.completed();
                cx.gate.metrics.record_stage(stage.name, elapsed);
                let report = StageReport {
                    stage: stage.number,
                    service: stage.name.to_owned(),
                    endpoint,
                    attempts: tries.calls,
                    elapsed_ms: elapsed.as_millis() as u64,
                    tokens: work.tokens(),
                };
                return Ok(StageResult { output, report });
            }
            Err(error) => error,
        };
        // Resuming a generation at its own endpoint repeats no work.
        let is_exempt = tries.reconnect_to.is_some() && work.is_resumption();
        wait_for_retry(cx, stage, &tries, is_exempt, error).await?;
        cx.gate.metrics.record_retry(stage.name);
        work.prepare_retry(sink.is_some());
    }
}

async fn try_once(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &mut StageWork<'_>,
    tries: &mut RetryState,
    sink: Option<&EventSink>,
) -> Result<(Box<RawValue>, String), StageError> {
    let reconnect_to = tries.reconnect_to.take();
    let reconnect_to = reconnect_to.filter(|picked| !cx.gate.routing.is_evacuated(picked));
    let (picked, connection) = match reconnect_to {
        Some(picked) => (picked, ConnectionKind::New),
        None => {
            let picked = match tries.calls > 0 && cx.record.may_have_run() {
                true => pick_for_retry(cx, stage, work, &tries.avoid).await?,
                false => pick_when_free(cx, stage, work, &tries.avoid).await?,
            };
            (picked, ConnectionKind::PooledOrNew)
        }
    };
    let mut answer = hedging::first_response(cx, stage, work, tries, picked, connection).await?;
    let mut resumed_at = work.offset();
    let mut progress = resumed_at;
    let read = loop {
        work.answer_started(answer.call);
        let move_to = Mutex::new(None);
        let cause = match read(cx, stage, work, tries, &mut answer, sink, &move_to).await {
            Err(e @ (CallError::Stalled(_) | CallError::Lagging)) => e,
            result => break result,
        };
        if work.offset() > progress {
            progress = work.offset();
            tries.rounds = 0;
        }
        let is_progressing = work.offset() > resumed_at;
        let move_to = move_to.into_inner().unwrap_or_default();
        let successor = match move_to {
            Some(picked) => Some((picked, ConnectionKind::PooledOrNew)),
            None => succession::pick_successor(cx, stage, work, tries, &answer, is_progressing),
        };
        let Some(successor) = successor else {
            continue;
        };
        // Moves are limited by the retry budget instead.
        if cause != CallError::Lagging {
            tries.rounds += 1;
        }
        if succession::replace(cx, stage, work, tries, &mut answer, successor, cause).await? {
            resumed_at = work.offset();
        }
    };
    let StartedAnswer {
        exchange,
        picked,
        mut guard,
        connection,
        ..
    } = answer;
    let first_byte = exchange.first_part_at;
    match read {
        Ok(output) => {
            exchange.finish(&cx.gate.pool);
            guard.succeeded(work.tokens());
            let (picked_at, name) = (picked.picked_at(), stage.name);
            let input = StageInput {
                name,
                bytes: work.input_bytes(),
            };
            let first = first_byte.saturating_duration_since(picked_at);
            cx.gate.routing.observe(input, first, picked_at.elapsed());
            cx.gate.stream_stats.record_length(name, work.tokens());
            if let Some(cached) = work.cache_usage() {
                cx.gate.metrics.record_prompt(name, cached);
            }
            picked.finish(CallVerdict::Succeeded, Some(first_byte), work.cache_usage());
            Ok((output, picked.name().to_owned()))
        }
        // The connection is suspected before the endpoint: resume there over a new connection.
        Err(e @ CallError::ConnectionLost(_))
            if connection == ConnectionKind::PooledOrNew || work.offset() > resumed_at =>
        {
            if work.offset() > resumed_at {
                tries.rounds = 0;
            }
            guard.skip_cancellation();
            cx.gate.pool.close_idle(picked.address());
            let error = cx.log_call_failed(stage, &picked, e);
            tries.reconnect_to = Some(picked);
            Err(error)
        }
        Err(e) => {
            tries.avoid.push(picked.name().to_owned());
            Err(record_failure(cx, stage, &picked, e))
        }
    }
}

/// Reads the response until it is complete, silent for too long, or fails. A stream that lags and can
/// move sets `move_to`.
async fn read(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &mut StageWork<'_>,
    tries: &RetryState,
    answer: &mut StartedAnswer,
    sink: Option<&EventSink>,
    move_to: &Mutex<Option<Arc<PickedEndpoint>>>,
) -> Result<Box<RawValue>, CallError> {
    let StageWork::Engine(generation) = work else {
        return plain::read(&mut answer.exchange).await;
    };
    let picked = &answer.picked;
    let move_stream = |prompt: &str| {
        let other = pick_other(cx, stage, prompt, tries, picked);
        let is_found = other.is_some();
        *move_to.lock().expect("no holder of this lock panics") = other;
        is_found
    };
    let lag_detector = LagDetector::new(
        &cx.gate.stream_stats,
        stage.name,
        cx.request.deadline,
        &move_stream,
    );
    generation
        .read(&mut answer.exchange, sink, lag_detector)
        .await
}

/// Picks another endpoint for a stream that lags at `slow`, at the cost of a retry.
fn pick_other(
    cx: &RequestContext,
    stage: Stage<'_>,
    prompt: &str,
    tries: &RetryState,
    slow: &PickedEndpoint,
) -> Option<Arc<PickedEndpoint>> {
    if tries.is_exhausted() {
        return None;
    }
    let mut avoid = tries.avoid.clone();
    avoid.push(slow.name().to_owned());
    let other = pick_for_prompt(cx, stage, Some(prompt), &avoid).ok()?;
    let is_other = !avoid.iter().any(|name| name == other.name());
    (is_other && cx.gate.routing.try_spend_retry(stage.name)).then_some(other)
}

/// Waits before a retry, or returns `error` if there must be none.
async fn wait_for_retry(
    cx: &RequestContext,
    stage: Stage<'_>,
    tries: &RetryState,
    is_exempt: bool,
    error: StageError,
) -> Result<(), StageError> {
    let Cause::Call(cause) = &error.cause else {
        return Err(error);
    };
    if !cause.is_retryable() || tries.is_exhausted() {
        cx.log_not_repeated(
            stage,
            "the error is not retryable, or there were too many tries",
        );
        return Err(error);
    }
    let is_exempt = is_exempt || matches!(cause, CallError::Connect(_));
    if !is_exempt && !cx.gate.routing.try_spend_retry(stage.name) {
        cx.log_not_repeated(stage, "the retry budget of the service is spent");
        return Err(error);
    }
    let bound = MIN_BACKOFF * 2_u32.pow(tries.rounds.clamp(1, 8) - 1);
    let jitter = rand::rng().random_range(Duration::ZERO..=bound.min(MAX_BACKOFF));
    let pause = match cause.retry_after() {
        // Another endpoint may have capacity even if this one does not.
        Some(after) if cx.gate.routing.endpoint_count(stage.name) <= 1 => after.max(jitter),
        _ => jitter,
    };
    let remaining = cx
        .request
        .deadline
        .saturating_duration_since(Instant::now());
    if pause >= remaining {
        cx.log_not_repeated(stage, "not enough time left for a pause and a retry");
        return Err(error);
    }
    sleep(pause).await;
    Ok(())
}
