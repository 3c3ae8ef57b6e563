//! Runs a stage that may not be repeated: connect, claim the key in the ledger, send once, settle.
//!
//! The connection is opened before the claim, so that a refused connection needs no ledger entry.
//! It is always a new connection, because an idle one may be dead without notice. After the grant,
//! the call runs in its own task until it is settled, even if the caller disconnects or the
//! deadline passes.

use std::{sync::Arc, time::Duration};

use link::keeper::{IntentReply, LedgerEntry, Output, Settlement};
use outbound::{Connection, SendState};
use serde_json::value::RawValue;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};
use uuid::Uuid;

use crate::{
    call_guard::CallGuard,
    call_record::{CallRecord, KeyState, OnceState},
    call_routing::{CallVerdict, PickedEndpoint},
    context::{RequestContext, deadline_too_close},
    error::{CallError, Cause, StageError},
    exchange::{self, Call, NoticeSlot, ResponseLimits},
    gate::Gate,
    ledger::{Claim, ClaimReply, Grant},
    picking::{pick_when_free, record_failure},
    plain,
    stage::{RetryState, Stage, StageReport, StageResult, is_engine},
    stage_work::StageWork,
};

/// Most endpoints that are tried. A further one is only tried if the previous one certainly did not
/// run the call.
const MAX_ENDPOINTS: u32 = 4;

/// Longest time that a response waits for its settlement.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(300);

/// Runs `stage` at most once under `key`, or returns the stored result.
pub(crate) async fn run(
    cx: &RequestContext,
    stage: Stage<'_>,
    key: Uuid,
    previous: Option<&RawValue>,
) -> Result<StageResult, StageError> {
    let started = Instant::now();
    let work = StageWork::new(stage, &cx.request.input, previous, &cx.gate.metrics);
    let mut tries = RetryState::default();
    loop {
        let picked = pick_when_free(cx, stage, &work, &tries.avoid).await?;
        tries.calls += 1;
        let error = match try_endpoint(cx, stage, key, &work, &picked).await {
            Ok(OnceResult::Stored(output)) => return Ok(stored_stage(cx, stage, output)),
            Ok(OnceResult::Ran(output, tokens)) => {
                cx.gate.metrics.record_stage(stage.name, started.elapsed());
                let report = StageReport {
                    stage: stage.number,
                    service: stage.name.to_owned(),
                    endpoint: picked.name().to_owned(),
                    attempts: tries.calls,
                    elapsed_ms: started.elapsed().as_millis() as u64,
                    tokens,
                };
                return Ok(StageResult { output, report });
            }
            Ok(OnceResult::Released) if Instant::now() < cx.request.deadline => continue,
            Ok(OnceResult::Released) => return Err(StageError::new(stage.name, timed_out())),
            Err(error) => error,
        };
        tries.avoid.push(picked.name().to_owned());
        let never_ran = matches!(&error.cause, Cause::Call(e) if e.never_ran());
        if !never_ran || tries.calls >= MAX_ENDPOINTS || Instant::now() >= cx.request.deadline {
            return Err(error);
        }
        cx.gate.metrics.record_retry(stage.name);
    }
}

/// Returns the result that an earlier request stored under `key`, after waiting for one in
/// progress. Returns `None` if the key is free.
pub(crate) async fn stored_result(
    cx: &RequestContext,
    stage: Stage<'_>,
    key: Uuid,
) -> Result<Option<StageResult>, StageError> {
    let ledger = &cx.gate.ledger;
    let sent_at = Instant::now();
    let remaining = cx.ledger_deadline().saturating_duration_since(sent_at);
    let lookup = ledger.lookup(key, remaining).await;
    let reply_label = match &lookup {
        Ok(entry) => entry.as_str(),
        Err(why) => why,
    };
    cx.log_ledger_reply(stage, key, reply_label.to_owned(), sent_at);
    match lookup.map_err(|e| StageError::new("ledger", Cause::Ledger(e)))? {
        LedgerEntry::Absent => return Ok(None),
        LedgerEntry::TooOld => return Err(StageError::new("ledger", Cause::TooOld)),
        LedgerEntry::InProgress | LedgerEntry::Settled(_) => {}
    }
    // A lookup does not compare the digest; a claim does.
    match claim(cx, stage, key, "").await? {
        ClaimReply::Granted(grant) => {
            // Released in the background; this request claims the key again when it reaches the
            // stage.
            drop(ledger.settle(&grant, Settlement::Released));
            cx.record.set_key_state(KeyState::Unverified);
            Ok(None)
        }
        ClaimReply::Refused(reply) => match handle_refusal(cx, stage, key, reply).await? {
            OnceResult::Stored(output) => Ok(Some(stored_stage(cx, stage, output))),
            _ => Ok(None),
        },
    }
}

/// Result of a claim, and of the call if it was sent.
#[derive(Debug)]
enum OnceResult {
    /// The call ran; its output and tokens.
    Ran(Box<RawValue>, u64),
    /// The output stored by an earlier request with the same key.
    Stored(Box<RawValue>),
    /// The attempt that held the key released it.
    Released,
}

async fn try_endpoint(
    cx: &RequestContext,
    stage: Stage<'_>,
    key: Uuid,
    work: &StageWork<'_>,
    picked: &Arc<PickedEndpoint>,
) -> Result<OnceResult, StageError> {
    let connection = cx.gate.pool.connect(picked.address()).await;
    let connection =
        connection.map_err(|e| record_failure(cx, stage, picked, CallError::Connect(e)))?;
    let grant = match claim(cx, stage, key, picked.name()).await? {
        ClaimReply::Granted(grant) => grant,
        ClaimReply::Refused(reply) => return handle_refusal(cx, stage, key, reply).await,
    };
    if !cx.fits_deadline(&[stage]) {
        drop(cx.gate.ledger.settle(&grant, Settlement::Released));
        return Err(StageError::new(stage.name, deadline_too_close()));
    }
    let call = new_call(cx, picked, key, &grant);
    let call_index = cx.record.add(&call.send_state);
    cx.record.set_once_state(OnceState::InDoubt(call_index));
    let (tx, rx) = oneshot::channel();
    let granted_call = GrantedCall {
        gate: Arc::clone(&cx.gate),
        record: Arc::clone(&cx.record),
        service: stage.name.to_owned(),
        is_engine: is_engine(stage.service),
        picked: Arc::clone(picked),
        req: work.request(&call),
        call_index,
        grant,
        call,
    };
    let in_flight = cx.gate.inflight.track();
    tokio::spawn(async move {
        let _in_flight = in_flight;
        let result = granted_call.run(connection).await;
        // The request may have ended before the result arrived.
        let _ = tx.send(result);
    });
    let result = timeout_at(cx.request.deadline, rx).await;
    let result = match result {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(CallError::ConnectionLost(
            "the sending task ended unexpectedly".to_owned(),
        )),
        Err(_) => Err(CallError::Deadline),
    };
    match result {
        Ok((output, tokens)) => Ok(OnceResult::Ran(output, tokens)),
        Err(e) => Err(cx.log_call_failed(stage, picked, e)),
    }
}

fn timed_out() -> Cause {
    Cause::Call(CallError::Deadline)
}

/// Claims `key`, and records whether this request has it.
async fn claim(
    cx: &RequestContext,
    stage: Stage<'_>,
    key: Uuid,
    endpoint: &str,
) -> Result<ClaimReply, StageError> {
    // An earlier claim of this request was released; another request may have the key since.
    cx.record.set_key_state(KeyState::Unverified);
    let claim = Claim {
        key,
        digest: cx.request.digest.clone(),
        service: stage.name.to_owned(),
        endpoint: endpoint.to_owned(),
    };
    let sent_at = Instant::now();
    let claimed = cx.gate.ledger.claim(&claim, cx.ledger_deadline()).await;
    let reply_label = match &claimed {
        Ok(ClaimReply::Granted(_)) => "granted",
        Ok(ClaimReply::Refused(reply)) => reply.as_str(),
        Err(why) => why,
    };
    cx.log_ledger_reply(stage, key, reply_label.to_owned(), sent_at);
    if claimed.as_ref().is_ok_and(ClaimReply::is_free) {
        cx.record.set_key_state(KeyState::Free);
    }
    claimed.map_err(|e| StageError::new("ledger", Cause::Ledger(e)))
}

async fn handle_refusal(
    cx: &RequestContext,
    stage: Stage<'_>,
    key: Uuid,
    reply: IntentReply,
) -> Result<OnceResult, StageError> {
    let cause = match reply {
        IntentReply::Settled(settlement) => return from_settlement(stage, settlement),
        IntentReply::InProgress => match cx.gate.ledger.wait(key, cx.ledger_deadline()).await {
            LedgerEntry::Settled(settlement) => return from_settlement(stage, settlement),
            LedgerEntry::Absent => return Ok(OnceResult::Released),
            LedgerEntry::TooOld => Cause::TooOld,
            LedgerEntry::InProgress => Cause::InProgress,
        },
        IntentReply::Conflict => Cause::Conflict,
        IntentReply::TooOld => Cause::TooOld,
        IntentReply::InFuture => Cause::InFuture,
        IntentReply::Full => Cause::LedgerFull,
        IntentReply::Granted => Cause::Ledger("unexpected grant".to_owned()),
    };
    Err(StageError::new("ledger", cause))
}

fn from_settlement(stage: Stage<'_>, settlement: Settlement) -> Result<OnceResult, StageError> {
    let cause = match settlement {
        Settlement::Completed(Output::Whole(bytes)) => {
            let text = String::from_utf8(bytes).unwrap_or_default();
            match RawValue::from_string(text) {
                Ok(output) => return Ok(OnceResult::Stored(output)),
                Err(e) => Cause::Ledger(format!("stored output is not JSON: {e}")),
            }
        }
        Settlement::Completed(Output::TooLarge(bytes)) => Cause::EarlierTooLarge(bytes),
        Settlement::Released => return Ok(OnceResult::Released),
        Settlement::Refused { status, detail } => Cause::EarlierRefused { status, detail },
        Settlement::Unknown => Cause::EarlierUnknown,
    };
    Err(StageError::new(stage.name, cause))
}

fn stored_stage(cx: &RequestContext, stage: Stage<'_>, output: Box<RawValue>) -> StageResult {
    cx.record.set_once_state(OnceState::Ran);
    let report = StageReport::from_ledger(stage);
    StageResult { output, report }
}

fn new_call(cx: &RequestContext, picked: &PickedEndpoint, key: Uuid, grant: &Grant) -> Call {
    let timing = &cx.gate.cfg.timing;
    let deadline = cx.request.deadline;
    let result_deadline = deadline + timing.late_result;
    let remaining = result_deadline.saturating_duration_since(Instant::now());
    Call {
        id: Uuid::new_v4(),
        address: picked.address(),
        deadline,
        priority: cx.priority,
        key: Some(key),
        send_state: SendState::with_deadline(grant.until.min(deadline)),
        limits: ResponseLimits {
            first_byte: remaining,
            gap: remaining,
            deadline: result_deadline,
            max_bytes: cx.gate.cfg.limits.output_bytes,
            memory: cx.gate.body_memory.clone(),
        },
        notice: NoticeSlot::default(),
    }
}

/// A call that the ledger granted, with all that its task needs.
struct GrantedCall {
    gate: Arc<Gate>,
    record: Arc<CallRecord>,
    service: String,
    is_engine: bool,
    picked: Arc<PickedEndpoint>,
    req: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    call_index: usize,
    grant: Grant,
    call: Call,
}

impl GrantedCall {
    async fn run(self, connection: Connection) -> Result<(Box<RawValue>, u64), CallError> {
        // Not cancelled at the engine: a call that was sent must finish and be settled.
        let mut guard = CallGuard::new(&self.gate, &self.service, &self.call, false);
        let result = self.exchange(connection).await;
        let settlement = match &result {
            Ok((output, tokens)) => {
                guard.succeeded(*tokens);
                self.record.set_once_state(OnceState::Ran);
                self.gate.ledger.completed(output)
            }
            Err(e) => self.settlement(e),
        };
        let settled = self.gate.ledger.settle(&self.grant, settlement);
        // If the caller then looks up the key, the ledger should agree with this response. A slower
        // settlement continues in the background.
        let until = self.call.deadline.min(Instant::now() + MAX_SETTLE_WAIT);
        let _ = timeout_at(until, settled).await;
        let verdict = match &result {
            Ok(_) => CallVerdict::Succeeded,
            Err(CallError::NotRun { .. }) => CallVerdict::Refused,
            Err(CallError::Unsent | CallError::NoMemory) => CallVerdict::Cancelled,
            Err(CallError::Status { status, .. }) if *status < 500 => CallVerdict::Rejected,
            Err(_) => CallVerdict::Failed,
        };
        self.picked.finish(verdict, None, None);
        result
    }

    async fn exchange(&self, connection: Connection) -> Result<(Box<RawValue>, u64), CallError> {
        let pool = &self.gate.pool;
        let sent = exchange::send_on(connection, pool, &self.call, self.req.clone()).await;
        self.picked.record_notice(self.call.notice.get());
        let mut exchange = match sent {
            Ok(exchange) => {
                self.picked.record_first_byte();
                exchange
            }
            Err(e @ (CallError::NotRun { .. } | CallError::Status { .. })) => return Err(e),
            Err(_) if self.call.send_state.seal() => return Err(CallError::Unsent),
            Err(e) => return Err(e),
        };
        let result = match self.is_engine {
            false => plain::read(&mut exchange).await.map(|output| (output, 0)),
            true => crate::stage_work::read_whole(&mut exchange).await,
        };
        exchange.finish(pool);
        result
    }

    /// The settlement for a call without a result.
    fn settlement(&self, error: &CallError) -> Settlement {
        match error {
            CallError::Unsent => {
                self.record.set_once_state(OnceState::Unsent);
                Settlement::Released
            }
            CallError::NotRun { .. } => {
                self.record.mark_refused(self.call_index);
                self.record.set_once_state(OnceState::Unsent);
                Settlement::Released
            }
            CallError::Status { status, detail, .. } if *status < 500 => {
                self.record.set_once_state(OnceState::Refused);
                Settlement::Refused {
                    status: *status,
                    detail: detail.clone(),
                }
            }
            _ => Settlement::Unknown,
        }
    }
}
