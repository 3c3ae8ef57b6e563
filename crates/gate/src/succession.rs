//! Replaces a call that is silent or slow in the middle of its response, once the response to another
//! call has begun. Until then the first call may go on.

use std::{mem, sync::Arc, time::Duration};

use tokio::{pin, select, time::timeout};

use crate::{
    call_routing::{PickedEndpoint, StageInput},
    context::RequestContext,
    error::{CallError, Cause, StageError},
    hedging::{self, ConnectionKind, StartedAnswer, try_spend_second_call},
    picking::{pick, record_failure},
    stage::{RetryState, Stage},
    stage_work::StageWork,
};

/// Endpoint and connection of a call that may replace another one.
pub(crate) type Successor = (Arc<PickedEndpoint>, ConnectionKind);

/// Shortest time that a stream which lags, but goes on, waits for the endpoint that it moves to.
const MIN_MOVE_WAIT: Duration = Duration::from_millis(150);

/// Calls the [`Successor`] and waits until it or `current` responds. Returns true if `current` was
/// replaced by the other call, whose response has begun. Fails if the connection of `current` is lost
/// and the other call fails too.
///
/// `cause` is [`CallError::Stalled`], or [`CallError::Lagging`] for a stream that has to move even if
/// it goes on.
pub(crate) async fn replace(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &mut RetryState,
    current: &mut StartedAnswer,
    (picked, connection): Successor,
    cause: CallError,
) -> Result<bool, StageError> {
    if cause != CallError::Lagging {
        cx.gate.pool.close_idle(current.picked.address());
    }
    cx.gate.metrics.record_retry(stage.name);
    let name = picked.name().to_owned();
    let finished = {
        let started = hedging::first_response(cx, stage, work, tries, picked, connection);
        pin!(started);
        select! {
            biased;
            next = current.exchange.wait_next_part() => match next {
                Ok(()) if cause == CallError::Lagging => {
                    let started = timeout(move_wait(cx, stage, work), started).await;
                    started.ok().map(|started| (started, None))
                }
                Ok(()) => None,
                Err(e) => Some((started.await, Some(e))),
            },
            started = &mut started => Some((started, None)),
        }
    };
    match finished {
        Some((Ok(started), lost)) => {
            let replaced = mem::replace(current, started);
            let cause = lost.unwrap_or(cause);
            report_replaced(cx, stage, work, tries, replaced, current, cause);
            Ok(true)
        }
        Some((Err(error), Some(lost))) => {
            record_failure(cx, stage, &current.picked, lost);
            Err(error)
        }
        Some((Err(error), None)) => {
            if matches!(&error.cause, Cause::Call(e) if !e.is_retryable()) {
                tries.exhaust();
            }
            Ok(false)
        }
        None => {
            if cause == CallError::Lagging {
                tries.avoid.push(name);
            }
            Ok(false)
        }
    }
}

fn move_wait(cx: &RequestContext, stage: Stage<'_>, work: &StageWork<'_>) -> Duration {
    let input = StageInput {
        name: stage.name,
        bytes: work.input_bytes(),
    };
    let usual = cx.gate.routing.hedge_after(input).unwrap_or_default();
    usual.max(MIN_MOVE_WAIT)
}

/// Picks a successor for `silent` at the cost of a retry, if it may have one. The connection is
/// suspected before the endpoint, also where the response went on with new text (`is_progressing`).
pub(crate) fn pick_successor(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &RetryState,
    silent: &StartedAnswer,
    is_progressing: bool,
) -> Option<Successor> {
    if tries.is_exhausted() {
        return None;
    }
    let own = &silent.picked;
    let is_suspect = is_progressing || silent.connection == ConnectionKind::PooledOrNew;
    let has_failed = tries.avoid.iter().any(|name| name == own.name());
    // Resuming a generation at its own endpoint repeats no work.
    let is_free = work.is_resumption() && !cx.gate.routing.is_evacuated(own);
    let may_reconnect = || is_free || try_spend_second_call(cx, stage, work, own);
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
