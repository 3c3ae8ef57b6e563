//! Waits for the first response to a stage. A slow call is hedged at another endpoint, and repeated
//! over a new connection if its own appears to be dead.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use outbound::SendState;
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;

use crate::{
    call_guard::CallGuard,
    call_routing::{CallVerdict, PickedEndpoint, StageInput},
    context::RequestContext,
    error::{CallError, StageError},
    exchange::{self, Call, Exchange, NoticeSlot, ResponseLimits},
    picking::{pick, record_failure},
    stage::{RetryState, Stage, is_engine},
    stage_work::StageWork,
};

/// A call whose response has started.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) exchange: Exchange,
    pub(crate) picked: Arc<PickedEndpoint>,
    /// Cancels the call when dropped.
    pub(crate) guard: CallGuard,
    /// Id of the call.
    pub(crate) call: Uuid,
    /// The connection that the response arrives on.
    pub(crate) connection: ConnectionKind,
}

/// Shortest interval between two attempts to start a hedge.
const MIN_HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time without any response from an endpoint after which a new connection is tried.
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// Shortest pause within a response after which its connection is suspected.
const MIN_GAP: Duration = Duration::from_millis(250);

/// Which connection a call uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionKind {
    /// An idle connection from the pool, or else a new one.
    PooledOrNew,
    /// A new one, because the previous one is suspected to be dead.
    New,
}

/// When to start further calls beside the first.
#[derive(Debug)]
struct Schedule {
    /// Time of a hedge at another endpoint.
    hedge: Option<Instant>,
    /// Interval after which a hedge is tried again if no other endpoint had capacity.
    hedge_retry_interval: Duration,
    /// Time of a call over a new connection to the same endpoint, if it answers no calls at all.
    new_connection: Option<Instant>,
    /// The same, even if the endpoint answers other calls.
    stall: Instant,
}

impl Schedule {
    fn new(cx: &RequestContext, stage: Stage<'_>, work: &StageWork<'_>) -> Self {
        let now = Instant::now();
        let remaining = cx.request.deadline.saturating_duration_since(now);
        let name = stage.name;
        let lag = cx.gate.routing.hedge_after(StageInput {
            name,
            bytes: work.input_bytes(),
        });
        let stall = first_byte_wait(cx, lag, remaining);
        let hedge = match lag {
            // An interrupted stream is first resumed at its own endpoint.
            Some(lag) if lag < remaining && !work.is_resumption() => lag,
            _ => stall,
        };
        Self {
            hedge: Some(now + hedge),
            hedge_retry_interval: hedge.max(MIN_HEDGE_RETRY_INTERVAL),
            new_connection: Some(now + silence_threshold(lag).min(stall)),
            stall: now + stall,
        }
    }
}

/// How long an endpoint may answer no calls before its connections are suspected.
fn silence_threshold(lag: Option<Duration>) -> Duration {
    lag.map_or(Duration::MAX, |lag| (lag * 2).max(MIN_SILENCE))
}

/// How long a connection may stay silent before a new one is tried in parallel.
fn first_byte_wait(cx: &RequestContext, lag: Option<Duration>, remaining: Duration) -> Duration {
    let typical = lag.map_or(Duration::ZERO, |lag| lag * 2);
    cx.gate
        .cfg
        .timing
        .first_byte
        .max(typical)
        .min(remaining / 2)
}

/// Calls `picked`, and others if it is slow, until one of them starts to respond.
pub(crate) async fn first_response(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &mut RetryState,
    picked: Arc<PickedEndpoint>,
    connection: ConnectionKind,
) -> Result<StartedAnswer, StageError> {
    let mut schedule = Schedule::new(cx, stage, work);
    let mut calls = FuturesUnordered::new();
    calls.push(attempt(cx, stage, work, Arc::clone(&picked), connection));
    tries.calls += 1;
    let mut is_reconnected = false;
    loop {
        let hedge = schedule.hedge;
        let new_connection = schedule.new_connection;
        tokio::select! {
            answer = calls.next() => match answer {
                Some(Ok(started)) => {
                    report_overtaken(cx, &picked, &started, is_reconnected);
                    return Ok(started);
                }
                Some(Err(error)) => {
                    tries.avoid.extend(error.peer.clone());
                    if calls.is_empty() {
                        return Err(error);
                    }
                }
                None => unreachable!("returns when the last attempt fails"),
            },
            () = sleep_until_some(hedge) => {
                let other = pick_hedge(cx, stage, work, tries, &picked);
                schedule.hedge = match &other {
                    Some(_) => None,
                    None => Some(Instant::now() + schedule.hedge_retry_interval),
                };
                if let Some(other) = other {
                    cx.gate.metrics.record_hedge(stage.name);
                    calls.push(attempt(cx, stage, work, other, ConnectionKind::PooledOrNew));
                    tries.calls += 1;
                }
            }
            () = sleep_until_some(new_connection) => {
                if Instant::now() < schedule.stall && picked.has_answered_others() {
                    // The endpoint is busy, but its connections are alive.
                    schedule.new_connection = Some(schedule.stall);
                    continue;
                }
                schedule.new_connection = None;
                cx.gate.pool.close_idle(picked.address());
                if try_spend_second_call(cx, stage, work, &picked) {
                    cx.gate.metrics.record_retry(stage.name);
                    calls.push(attempt(cx, stage, work, Arc::clone(&picked), ConnectionKind::New));
                    tries.calls += 1;
                    is_reconnected = true;
                }
            }
        }
    }
}

/// Reports an endpoint that another one overtook: as stalled if it was silent on the new connection
/// too, else as late. If it answered on the new connection, only the old connections are suspected.
fn report_overtaken(
    cx: &RequestContext,
    picked: &PickedEndpoint,
    winner: &StartedAnswer,
    is_reconnected: bool,
) {
    if is_reconnected && winner.connection == ConnectionKind::New {
        cx.gate.pool.close_all_idle();
    }
    let is_overtaken = winner.picked.name() != picked.name();
    match is_overtaken {
        true if is_reconnected => {
            cx.gate.pool.close_idle(picked.address());
            picked.finish(CallVerdict::Stalled, None, None);
        }
        true => picked.finish(CallVerdict::Late, None, None),
        false => {}
    }
}

/// Picks another endpoint for a hedge, at the cost of a retry.
fn pick_hedge(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &RetryState,
    first: &PickedEndpoint,
) -> Option<Arc<PickedEndpoint>> {
    let mut avoid = tries.avoid.clone();
    avoid.push(first.name().to_owned());
    let other = pick(cx, stage, work, &avoid).ok()?;
    // If calls wait as long there, a hedge would only add load.
    let is_congested = other.oldest_wait() * 2 > first.picked_at().elapsed();
    let is_other = other.name() != first.name() && !is_congested;
    (is_other && cx.gate.routing.try_spend_retry(stage.name)).then_some(other)
}

/// Takes a retry from the budget for a second call to the same endpoint; returns false if it may
/// not have one. A leaving endpoint gets no new calls, but may resume a stream that it started. One in an
/// evacuated zone gets none.
pub(crate) fn try_spend_second_call(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    picked: &PickedEndpoint,
) -> bool {
    let routing = &cx.gate.routing;
    let may_call = work.is_resumption() || routing.accepts_new_calls(stage.name, picked);
    may_call && !routing.is_evacuated(picked) && routing.try_spend_retry(stage.name)
}

async fn sleep_until_some(instant: Option<Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// Makes one call. If its connection is lost before the response, makes one more over a new
/// connection, because the endpoint may just have closed an idle one.
async fn attempt(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    picked: Arc<PickedEndpoint>,
    connection: ConnectionKind,
) -> Result<StartedAnswer, StageError> {
    let lost = match call_endpoint(cx, stage, work, &picked, connection).await {
        Err(e @ CallError::ConnectionLost(_)) if connection == ConnectionKind::PooledOrNew => e,
        result => return result.map_err(|e| record_failure(cx, stage, &picked, e)),
    };
    cx.gate.pool.close_idle(picked.address());
    if !try_spend_second_call(cx, stage, work, &picked) {
        return Err(record_failure(cx, stage, &picked, lost));
    }
    cx.gate.metrics.record_retry(stage.name);
    let retried = call_endpoint(cx, stage, work, &picked, ConnectionKind::New).await;
    retried.map_err(|e| record_failure(cx, stage, &picked, e))
}

async fn call_endpoint(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    picked: &Arc<PickedEndpoint>,
    connection: ConnectionKind,
) -> Result<StartedAnswer, CallError> {
    let call = new_call(cx, picked);
    let call_index = cx.record.add(&call.send_state);
    let mut guard = CallGuard::new(&cx.gate, stage.name, &call, is_engine(stage.service));
    if work.is_resumption() {
        cx.gate.metrics.record_resumption(stage.name);
        cx.log_resumed(picked, work.offset() as u64);
    }
    let req = work.request(&call);
    let pool = &cx.gate.pool;
    let sent = match connection {
        ConnectionKind::PooledOrNew => exchange::send(pool, &call, req).await,
        ConnectionKind::New => exchange::send_on_new(pool, &call, req).await,
    };
    picked.record_notice(call.notice.get());
    let sent = match sent {
        Ok(mut exchange) => exchange.wait_first_part().await.map(|()| exchange),
        Err(e) => Err(e),
    };
    match sent {
        Ok(exchange) => {
            picked.record_first_byte();
            Ok(StartedAnswer {
                exchange,
                picked: Arc::clone(picked),
                guard,
                call: call.id,
                connection,
            })
        }
        Err(e) => {
            if matches!(e, CallError::NotRun { .. }) {
                cx.record.mark_refused(call_index);
            }
            if matches!(e, CallError::NotRun { .. } | CallError::Status { .. }) {
                guard.skip_cancellation();
            }
            Err(e)
        }
    }
}

fn new_call(cx: &RequestContext, picked: &PickedEndpoint) -> Call {
    let deadline = cx.request.deadline;
    let remaining = deadline.saturating_duration_since(Instant::now());
    Call {
        id: Uuid::new_v4(),
        address: picked.address(),
        deadline,
        priority: cx.priority,
        key: None,
        send_state: SendState::new(),
        limits: ResponseLimits {
            // `first_response` decides when a silent call is hedged or repeated; this only ends it
            // at the deadline.
            first_byte: remaining,
            gap: cx.gate.cfg.timing.gap.min((remaining / 4).max(MIN_GAP)),
            deadline,
            max_bytes: cx.gate.cfg.limits.output_bytes,
            memory: cx.gate.body_memory.clone(),
        },
        notice: NoticeSlot::default(),
    }
}
