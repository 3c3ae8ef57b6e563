//! Replaces a call that falls silent in the middle of its response, once the response to another
//! call has begun. Until then the silent call may go on.

use std::{mem, sync::Arc};

use tokio::{pin, select};

use crate::{
    call_routing::PickedEndpoint,
    context::RequestContext,
    error::{CallError, Cause, StageError},
    hedging::{self, ConnectionKind, StartedAnswer, try_spend_second_call},
    picking::{pick, record_failure},
    stage::{RetryState, Stage},
    stage_work::StageWork,
};

/// Makes another call for `silent`, if there may be one, and waits until one of them responds. Returns
/// true if `silent` was replaced by the other call. Fails if the connection of `silent` is lost and the
/// other call fails too.
///
/// `is_progressing` says whether `silent` has responded with new text; `silence` is its error.
pub(crate) async fn outlast_silence(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &mut RetryState,
    silent: &mut StartedAnswer,
    is_progressing: bool,
    silence: CallError,
) -> Result<bool, StageError> {
    let successor = pick_successor(cx, stage, work, tries, silent, is_progressing);
    let Some((picked, connection)) = successor else {
        return Ok(false);
    };
    cx.gate.pool.close_idle(silent.picked.address());
    cx.gate.metrics.record_retry(stage.name);
    tries.rounds += 1;
    let (started, lost) = {
        let successor = hedging::first_response(cx, stage, work, tries, picked, connection);
        pin!(successor);
        select! {
            biased;
            next = silent.exchange.wait_next_part() => match next {
                Ok(()) => return Ok(false),
                Err(e) => (successor.await, Some(e)),
            },
            started = &mut successor => (started, None),
        }
    };
    match (started, lost) {
        (Ok(started), lost) => {
            let replaced = mem::replace(silent, started);
            report_replaced(
                cx,
                stage,
                work,
                tries,
                replaced,
                silent,
                lost.unwrap_or(silence),
            );
            Ok(true)
        }
        (Err(error), Some(lost)) => {
            record_failure(cx, stage, &silent.picked, lost);
            Err(error)
        }
        (Err(error), None) => {
            if matches!(&error.cause, Cause::Call(e) if !e.is_retryable()) {
                tries.exhaust();
            }
            Ok(false)
        }
    }
}

/// Picks the endpoint and connection of a call that may replace `silent`, at the cost of a retry. The
/// connection is suspected before the endpoint.
fn pick_successor(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &RetryState,
    silent: &StartedAnswer,
    is_progressing: bool,
) -> Option<(Arc<PickedEndpoint>, ConnectionKind)> {
    if tries.is_exhausted() {
        return None;
    }
    let own = &silent.picked;
    let is_suspect = is_progressing || silent.connection == ConnectionKind::PooledOrNew;
    let has_failed = tries.avoid.iter().any(|name| name == own.name());
    // Resuming a generation at its own endpoint repeats no work.
    let may_reconnect = || work.is_resumption() || try_spend_second_call(cx, stage, work, own);
    if is_suspect && !has_failed && may_reconnect() {
        return Some((Arc::clone(own), ConnectionKind::New));
    }
    let mut avoid = tries.avoid.clone();
    avoid.push(own.name().to_owned());
    let other = pick(cx, stage, work, &avoid).ok()?;
    let is_own = other.name() == own.name();
    let is_paid = is_own && work.is_resumption() || cx.gate.routing.try_spend_retry(stage.name);
    let connection = match is_own {
        true => ConnectionKind::New,
        false => ConnectionKind::PooledOrNew,
    };
    is_paid.then_some((other, connection))
}

/// Reports the call that was replaced. A generation that is resumed at its own endpoint goes on there.
fn report_replaced(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &mut RetryState,
    mut replaced: StartedAnswer,
    successor: &StartedAnswer,
    error: CallError,
) {
    let is_same_endpoint = replaced.picked.name() == successor.picked.name();
    if is_same_endpoint && work.is_resumption() {
        replaced.guard.skip_cancellation();
    }
    match is_same_endpoint {
        true => drop(cx.log_call_failed(stage, &replaced.picked, error)),
        false => {
            tries.avoid.push(replaced.picked.name().to_owned());
            record_failure(cx, stage, &replaced.picked, error);
        }
    }
}
