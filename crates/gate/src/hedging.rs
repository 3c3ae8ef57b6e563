//! The first answer to a stage: one call, and where it lags, a hedge elsewhere and a new socket.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use outbound::Handover;
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;

use crate::{
    call_guard::CallGuard,
    call_routing::{CallVerdict, PickedEndpoint, StageInput},
    context::RequestContext,
    error::{CallError, StageError},
    exchange::{self, Call, Exchange, NoticeSlot, ResponseLimits},
    picking::{failed, pick},
    stage::{RetryState, Stage, is_engine},
    stage_work::StageWork,
};

/// A call that has begun to answer.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    /// The answer.
    pub(crate) exchange: Exchange,
    /// The endpoint.
    pub(crate) picked: Arc<PickedEndpoint>,
    /// Cancels the call when it is dropped.
    pub(crate) guard: CallGuard,
    /// The call's id.
    pub(crate) call: Uuid,
    /// The connection that it answers on.
    via: ConnectionSource,
}

/// Shortest pause between two tries of a hedge.
const SHORTEST_HEDGE_PAUSE: Duration = Duration::from_millis(20);
/// Shortest time without any answer of an endpoint after which a new connection is tried.
const SHORTEST_SILENCE: Duration = Duration::from_millis(150);
/// Shortest pause within an answer after which its connection is suspect.
const SHORTEST_GAP: Duration = Duration::from_millis(250);

/// On which connection a call goes out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionSource {
    /// An idle one, or a new one.
    PooledOrNew,
    /// A new one: the first one is suspect.
    New,
}

/// When further calls join the race.
#[derive(Debug)]
struct Schedule {
    /// A hedge at another endpoint.
    hedge: Option<Instant>,
    /// Pause before a hedge that found no room elsewhere is tried again.
    hedge_pause: Duration,
    /// A new connection to the same endpoint, if it answers nobody.
    new_socket: Option<Instant>,
    /// The same, even if it answers others.
    stall: Instant,
}

impl Schedule {
    fn new(cx: &RequestContext, stage: Stage<'_>, work: &StageWork<'_>) -> Self {
        let now = Instant::now();
        let left = cx.ask.deadline.saturating_duration_since(now);
        let name = stage.name;
        let lag = cx.gate.route.hedge_after(StageInput {
            name,
            bytes: work.bytes(),
        });
        let stall = first_byte_wait(cx, lag, left);
        Self {
            // A cut stream goes on elsewhere only after its own endpoint was asked.
            hedge: lag
                .filter(|lag| *lag < left && !work.is_resumption())
                .map(|lag| now + lag),
            hedge_pause: lag.unwrap_or_default().max(SHORTEST_HEDGE_PAUSE),
            new_socket: Some(now + silence(lag).min(stall)),
            stall: now + stall,
        }
    }
}

/// How long an endpoint may answer nobody before its connections are suspect.
fn silence(lag: Option<Duration>) -> Duration {
    lag.map_or(Duration::MAX, |lag| (lag * 2).max(SHORTEST_SILENCE))
}

/// How long a connection may be silent before a new one is tried beside it.
fn first_byte_wait(cx: &RequestContext, lag: Option<Duration>, left: Duration) -> Duration {
    let usual = lag.map_or(Duration::ZERO, |lag| lag * 2);
    cx.gate.cfg.timing.first_byte.max(usual).min(left / 2)
}

/// Calls `picked`, and others where it lags, until one begins to answer.
pub(crate) async fn first_answer(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &mut RetryState,
    picked: Arc<PickedEndpoint>,
    via: ConnectionSource,
) -> Result<StartedAnswer, StageError> {
    let mut schedule = Schedule::new(cx, stage, work);
    let mut legs = FuturesUnordered::new();
    legs.push(leg(cx, stage, work, Arc::clone(&picked), via));
    tries.calls += 1;
    let mut is_renewed = false;
    loop {
        let hedge = schedule.hedge;
        let new_socket = schedule.new_socket;
        tokio::select! {
            answer = legs.next() => match answer {
                Some(Ok(answering)) => {
                    blame(cx, &picked, &answering, is_renewed);
                    return Ok(answering);
                }
                Some(Err(error)) => {
                    tries.avoid.extend(error.peer.clone());
                    if legs.is_empty() {
                        return Err(error);
                    }
                }
                None => unreachable!("a race ends with its last leg"),
            },
            () = at(hedge) => {
                let other = another(cx, stage, work, tries, &picked);
                schedule.hedge = match &other {
                    Some(_) => None,
                    None => Some(Instant::now() + schedule.hedge_pause),
                };
                if let Some(other) = other {
                    cx.gate.metrics.hedge(stage.name);
                    legs.push(leg(cx, stage, work, other, ConnectionSource::PooledOrNew));
                    tries.calls += 1;
                }
            }
            () = at(new_socket) => {
                if Instant::now() < schedule.stall && picked.has_answered_others() {
                    // The endpoint is busy; its connections are not silent.
                    schedule.new_socket = Some(schedule.stall);
                    continue;
                }
                schedule.new_socket = None;
                cx.gate.pool.suspect(picked.address());
                if may_call_again(cx, stage, work, &picked) {
                    cx.gate.metrics.retry(stage.name);
                    legs.push(leg(cx, stage, work, Arc::clone(&picked), ConnectionSource::New));
                    tries.calls += 1;
                    is_renewed = true;
                }
            }
        }
    }
}

/// An endpoint that neither answered late nor new: it is blamed. One that answered on its new
/// socket is not; only the old connection goes.
fn blame(cx: &RequestContext, picked: &PickedEndpoint, winner: &StartedAnswer, is_renewed: bool) {
    if is_renewed && winner.via == ConnectionSource::New {
        cx.gate.pool.suspect_all();
    }
    let is_overtaken = winner.picked.name() != picked.name();
    match is_overtaken {
        true if is_renewed => {
            cx.gate.pool.suspect(picked.address());
            picked.finish(CallVerdict::Stalled, None, None);
        }
        true => picked.finish(CallVerdict::Late, None, None),
        false => {}
    }
}

/// Another endpoint for a hedge, out of the retry budget.
fn another(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    tries: &RetryState,
    first: &PickedEndpoint,
) -> Option<Arc<PickedEndpoint>> {
    let mut avoid = tries.avoid.clone();
    avoid.push(first.name().to_owned());
    let other = pick(cx, stage, work, &avoid).ok()?;
    // Where calls wait as long elsewhere, a hedge only adds to the load.
    let is_waiting = other.oldest_wait() * 2 > first.since().elapsed();
    let is_other = other.name() != first.name() && !is_waiting;
    (is_other && cx.gate.route.spend_retry(stage.name)).then_some(other)
}

/// Whether the endpoint of a call may get another one, out of the retry budget. One that is leaving
/// goes on with what it has, a cut stream among it, and gets nothing new.
fn may_call_again(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    picked: &PickedEndpoint,
) -> bool {
    let route = &cx.gate.route;
    let is_taken = work.is_resumption() || route.takes_new_work(stage.name, picked);
    is_taken && route.spend_retry(stage.name)
}

async fn at(instant: Option<Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// One call, and where its connection is lost before the answer, one more on a new connection: the
/// endpoint may have closed an idle one just then.
async fn leg(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    picked: Arc<PickedEndpoint>,
    via: ConnectionSource,
) -> Result<StartedAnswer, StageError> {
    let lost = match one_call(cx, stage, work, &picked, via).await {
        Err(e @ CallError::ConnectionLost(_)) if via == ConnectionSource::PooledOrNew => e,
        result => return result.map_err(|e| failed(cx, stage, &picked, e)),
    };
    cx.gate.pool.suspect(picked.address());
    if !may_call_again(cx, stage, work, &picked) {
        return Err(failed(cx, stage, &picked, lost));
    }
    cx.gate.metrics.retry(stage.name);
    let again = one_call(cx, stage, work, &picked, ConnectionSource::New).await;
    again.map_err(|e| failed(cx, stage, &picked, e))
}

async fn one_call(
    cx: &RequestContext,
    stage: Stage<'_>,
    work: &StageWork<'_>,
    picked: &Arc<PickedEndpoint>,
    via: ConnectionSource,
) -> Result<StartedAnswer, CallError> {
    let call = new_call(cx, picked);
    let number = cx.record.add(&call.handover);
    let mut guard = CallGuard::new(&cx.gate, stage.name, &call, is_engine(stage.service));
    if work.is_resumption() {
        cx.gate.metrics.resumption(stage.name);
        cx.note_resumed(picked, work.offset() as u64);
    }
    let req = work.request(&call);
    let pool = &cx.gate.pool;
    let begun = match via {
        ConnectionSource::PooledOrNew => exchange::begin(pool, &call, req).await,
        ConnectionSource::New => exchange::begin_fresh(pool, &call, req).await,
    };
    picked.note(call.notice.get());
    let begun = match begun {
        Ok(mut exchange) => exchange.first_part().await.map(|()| exchange),
        Err(e) => Err(e),
    };
    match begun {
        Ok(exchange) => {
            picked.answered();
            Ok(StartedAnswer {
                exchange,
                picked: Arc::clone(picked),
                guard,
                call: call.id,
                via,
            })
        }
        Err(e) => {
            if matches!(e, CallError::NotRun { .. }) {
                cx.record.refuse(number);
            }
            if matches!(e, CallError::NotRun { .. } | CallError::Status { .. }) {
                guard.ended();
            }
            Err(e)
        }
    }
}

fn new_call(cx: &RequestContext, picked: &PickedEndpoint) -> Call {
    let deadline = cx.ask.deadline;
    let left = deadline.saturating_duration_since(Instant::now());
    Call {
        id: Uuid::new_v4(),
        address: picked.address(),
        deadline,
        priority: cx.priority,
        key: None,
        handover: Handover::new(),
        waits: ResponseLimits {
            // The race decides when a silent call gets company; it ends with the deadline.
            first_byte: left,
            gap: cx.gate.cfg.timing.gap.min((left / 4).max(SHORTEST_GAP)),
            deadline,
            max_bytes: cx.gate.cfg.limits.output_bytes,
        },
        notice: NoticeSlot::default(),
    }
}
