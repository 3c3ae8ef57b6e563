//! Attempts of a request at endpoints: who is tried next, and what follows a failure.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use outbound::InstanceCheck;
use tokio::time::Instant;

use crate::{
    blocked_parts::CallEnd,
    call::{self, CallError, Exchange, Handover},
    dialect::{Attempt, ResponseClass},
    error::{ForwardError, Refusal},
    fleet::Target,
    in_flight::InFlightCall,
    placement::PlacementError,
    request::{Context, MAX_ANSWER_BYTES, RECHECK_INTERVAL, RETRY_AFTER, Request},
    requirements::Requirements,
    stages::Results,
};

/// Maximum number of endpoints that one request is offered to.
pub(crate) const MAX_ENDPOINTS: usize = 4;
/// Number of tried endpoints after which a failed connection ends the request.
pub(crate) const MAX_CONNECT_FAILURES: usize = 12;

/// Path of the health check of services that declare none.
const DEFAULT_HEALTH_PATH: &str = "/healthz";

/// Record of the attempts to serve a request.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    /// Endpoints that were tried and are not tried again.
    pub(crate) endpoints: Vec<String>,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Time to the first part of the response.
    pub(crate) first_part: Option<Duration>,
    /// Longest pause between two parts of a stream.
    pub(crate) max_pause: Duration,
    /// True if a retry was taken from the budget and no endpoint has received it.
    pub(crate) has_unused_retry: bool,
    /// The last endpoint that was chosen, and whether it was sent the request.
    last_call: Option<(String, Handover)>,
}

impl AttemptLog {
    /// Takes an unused retry, or one from the budget. Returns false if none is left.
    pub(crate) fn take_retry(&mut self, cx: &Context, service: &str) -> bool {
        std::mem::take(&mut self.has_unused_retry) || cx.try_spend_retry(service)
    }

    /// Takes back what was recorded for the last call, with its retry, if the call was dropped before
    /// it was sent.
    pub(crate) fn settle_dropped(&mut self, cx: &Context, service: &str) {
        match self.last_call.take() {
            Some((endpoint, handover)) if !handover.has_started() => {
                self.runs -= 1;
                self.endpoints.retain(|name| *name != endpoint);
                cx.budget.refund(service);
            }
            _ => {}
        }
    }

    /// Takes back what was recorded for an attempt at `endpoint` that did not run.
    pub(crate) fn settle(&mut self, endpoint: &str, failure: &AttemptFailure) {
        self.last_call = self.last_call.take().filter(|(name, _)| name != endpoint);
        match failure {
            AttemptFailure::Lost(_) => {}
            AttemptFailure::NotRun | AttemptFailure::Unreached => self.runs -= 1,
            AttemptFailure::InputsGone => {
                self.runs -= 1;
                // The endpoint may take the request with other results.
                self.endpoints.retain(|name| name != endpoint);
            }
        }
    }
}

/// An endpoint's response that is about to be forwarded.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    pub(crate) exchange: Exchange,
    pub(crate) flight: InFlightCall,
    pub(crate) is_good: bool,
}

/// Why an attempt has no response.
#[derive(Debug)]
pub(crate) enum AttemptFailure {
    NotRun,
    Unreached,
    InputsGone,
    Lost(CallError),
}

/// A call that is ready to be sent and is recorded as an attempt.
#[derive(Debug)]
pub(crate) struct PreparedCall {
    pub(crate) flight: InFlightCall,
    message: hyper::Request<Full<Bytes>>,
    handover: Handover,
}

fn lost(e: &CallError) -> ForwardError {
    match e {
        CallError::TimedOut => ForwardError::DeadlineExceeded,
        e => ForwardError::Lost(e.to_string()),
    }
}

/// Returns true if a request that may have run may be tried again, and takes a retry from the
/// budget.
pub(crate) fn may_repeat(cx: &Context, req: &Request, attempts: &mut AttemptLog) -> bool {
    let why = match attempts.runs {
        _ if cx.is_suspect(req) => "endpoints crashed under a part of its prompt",
        _ if !req.is_repeatable() => "its route allows no repeat",
        runs if runs >= req.route().attempts => "its route allows no more tries",
        _ if req.remaining().is_zero() => "no time is left",
        _ if !attempts.take_retry(cx, &req.service) => "the retry budget of the service is spent",
        _ => return true,
    };
    req.record_not_repeated(why);
    false
}

/// Sends the request until an endpoint starts to respond.
pub(crate) async fn start_response(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    last_event_id: Option<u64>,
) -> Result<StartedResponse, ForwardError> {
    loop {
        let call = next_call(cx, req, inputs, attempts, last_event_id).await?;
        let target = Arc::clone(&call.flight.target);
        match send(cx, req, call, req.deadline).await {
            Ok(started) => return Ok(started),
            Err(failure) => {
                attempts.settle(&target.name, &failure);
                next_step(cx, req, attempts, &failure)?;
            }
        }
    }
}

/// Prepares a call of an endpoint that was not tried, and waits for one while all are full, but not
/// until a gate that shuts down ends. A request that has run can't be refused, so it also waits for
/// endpoints that are paused or limited.
pub(crate) async fn next_call(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    last_event_id: Option<u64>,
) -> Result<PreparedCall, ForwardError> {
    loop {
        if attempts.runs == 0 && !cx.shutdown.may_start(req.deadline) {
            return Err(ForwardError::shutting_down(req.remaining()));
        }
        let error = match choose(cx, req, inputs, attempts).await {
            Ok(flight) => return Ok(prepare(cx, req, inputs, attempts, flight, last_event_id)),
            Err(error) => error,
        };
        let has_time = req.remaining() > RECHECK_INTERVAL * 4;
        match error.reason {
            Refusal::Full | Refusal::Limited | Refusal::Paused
                if attempts.runs > 0 && has_time && may_place_later(cx, req, inputs, attempts) =>
            {
                tokio::time::sleep(RECHECK_INTERVAL).await;
            }
            reason if attempts.runs > 0 => {
                return Err(ForwardError::Lost(format!("no other endpoint: {reason}")));
            }
            Refusal::Full if !cx.shutdown.may_wait(req.deadline) => {
                return Err(ForwardError::shutting_down(req.remaining()));
            }
            Refusal::Full if has_time && attempts.endpoints.is_empty() => {
                tokio::time::sleep(RECHECK_INTERVAL).await;
            }
            reason => {
                let retry_after = error.retry_after.unwrap_or(RETRY_AFTER);
                return Err(ForwardError::retry_later(reason, retry_after));
            }
        }
    }
}

/// Decides what follows an attempt without a response: another one, or an error.
pub(crate) fn next_step(
    cx: &Context,
    req: &Request,
    attempts: &mut AttemptLog,
    failure: &AttemptFailure,
) -> Result<(), ForwardError> {
    let tried = attempts.endpoints.len();
    match failure {
        // No byte reached an endpoint, so this does not count as a try.
        AttemptFailure::Unreached if tried < MAX_CONNECT_FAILURES && !req.remaining().is_zero() => {
            Ok(())
        }
        AttemptFailure::NotRun if tried < MAX_ENDPOINTS && cx.try_spend_retry(&req.service) => {
            Ok(())
        }
        AttemptFailure::NotRun | AttemptFailure::Unreached if attempts.runs > 0 => {
            Err(ForwardError::Lost("no endpoint took it again".to_owned()))
        }
        AttemptFailure::NotRun => Err(ForwardError::retry_later(Refusal::Full, RETRY_AFTER)),
        AttemptFailure::Unreached => {
            Err(ForwardError::retry_later(Refusal::NoEndpoint, RETRY_AFTER))
        }
        AttemptFailure::InputsGone if attempts.runs > 0 => {
            Err(ForwardError::Lost(Refusal::InputsGone.to_string()))
        }
        AttemptFailure::InputsGone => {
            Err(ForwardError::retry_later(Refusal::InputsGone, RETRY_AFTER))
        }
        AttemptFailure::Lost(e) if !may_repeat(cx, req, attempts) => Err(lost(e)),
        AttemptFailure::Lost(_) => Ok(()),
    }
}

/// Chooses an endpoint that was not tried.
pub(crate) async fn choose(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &AttemptLog,
) -> Result<InFlightCall, PlacementError> {
    let input_sizes = sizes_by_zone(inputs);
    let requirements = requirements(cx, req, &input_sizes, attempts);
    cx.check_placement(req)?;
    let flight = cx.place(&requirements).await?;
    // A part can be blocked while the call waits for a permit.
    cx.check_placement(req)?;
    Ok(flight)
}

/// Returns true if an endpoint that was not tried may take the request before its deadline.
fn may_place_later(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &AttemptLog,
) -> bool {
    let input_sizes = sizes_by_zone(inputs);
    let requirements = requirements(cx, req, &input_sizes, attempts);
    cx.fleet.may_place_by(&requirements, req.deadline)
}

/// Returns the bytes of the inputs by availability zone.
fn sizes_by_zone(inputs: &[Arc<Results>]) -> Vec<(String, u64)> {
    inputs.iter().flat_map(|r| r.sizes_by_zone()).collect()
}

fn requirements<'a>(
    cx: &'a Context,
    req: &'a Request,
    input_sizes: &'a [(String, u64)],
    attempts: &'a AttemptLog,
) -> Requirements<'a> {
    let prompt = req.incoming.prompt.as_ref();
    Requirements {
        service: &req.service,
        az: &cx.az,
        prompt: prompt.filter(|_| req.route().affinity),
        inputs: input_sizes,
        avoid: &attempts.endpoints,
    }
}

/// Writes the call for the endpoint of `flight` and records it as an attempt.
pub(crate) fn prepare(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    flight: InFlightCall,
    last_event_id: Option<u64>,
) -> PreparedCall {
    let target = &flight.target;
    req.log.note(flight.chosen_event());
    if let Some(prompt) = &req.incoming.prompt {
        let since_arrival = req.incoming.received_at.elapsed();
        cx.metrics
            .record_prompt_time(&req.service, prompt.tokens, "choice", since_arrival);
    }
    let sizes = inputs.iter().flat_map(|r| r.sizes_by_zone());
    let crossing = sizes.filter(|(az, _)| *az != target.az);
    let crossing = crossing.map(|(_, bytes)| bytes).sum();
    cx.metrics.record_cross_zone_bytes(&req.service, crossing);
    let handles: Vec<String> = inputs.iter().flat_map(|r| r.handles()).collect();
    let details = Attempt {
        remaining: req.remaining(),
        endpoint: &target.name,
        workspace: req.caller.as_ref().map(|c| c.workspace.as_str()),
        urgency: req.incoming.prompt.as_ref().map(|_| req.urgency),
        inputs: &handles,
        last_event_id: last_event_id.or(req.incoming.last_event_id),
    };
    let message = (cx.dialect.write_request)(&req.incoming, &details);
    if target.stats().permits.limit(Instant::now()).is_some() {
        cx.metrics.record_limited_call(&target.service, "request");
    }
    attempts.endpoints.push(target.name.clone());
    attempts.runs += 1;
    let handover = Handover::default();
    attempts.last_call = Some((target.name.clone(), handover.clone()));
    PreparedCall {
        flight,
        message,
        handover,
    }
}

/// Sends a call and waits until `deadline` for the head of its response.
pub(crate) async fn send(
    cx: &Context,
    req: &Request,
    call: PreparedCall,
    deadline: Instant,
) -> Result<StartedResponse, AttemptFailure> {
    let PreparedCall {
        mut flight,
        message,
        handover,
    } = call;
    let target = &Arc::clone(&flight.target);
    let sent_at = Instant::now();
    let mut exchange = match call::send_tracked(
        &cx.pool,
        target.address,
        &req.incoming.id,
        message,
        deadline,
        &handover,
    )
    .await
    {
        Ok(exchange) => exchange,
        Err(e) => {
            req.record_failed_call(&flight, &e);
            match &e {
                CallError::Unreached(why) => target.record_connect_failure(why),
                _ => cx.fleet.record_call_result(target, true),
            }
            cx.record_lost(&flight, req, &e, CallEnd::Unanswered);
            return Err(match e {
                CallError::Unreached(_) => AttemptFailure::Unreached,
                e if e.may_have_run() => AttemptFailure::Lost(e),
                _ => AttemptFailure::NotRun,
            });
        }
    };
    let class = exchange.classify(&cx.dialect, &req.incoming.id);
    if class.is_from_target() {
        let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
        let sent_at = (class == ResponseClass::Success).then_some(sent_at);
        cx.fleet.apply_notice(target, notice, &cx.vm, sent_at);
    }
    let load = (cx.dialect.load)(&exchange.headers);
    if let Some(load) = load.filter(|_| class.is_from_target()) {
        let mut stats = target.stats();
        let own = stats.in_flight;
        let calls = load.running.saturating_add(load.waiting);
        stats.record_load(calls, own, Instant::now());
        cx.zone_placement.record_load(&req.service, &load);
        if let Some(zone_call) = &mut flight.zone_call {
            zone_call.record_load(load);
        }
    }
    match class {
        ResponseClass::Success | ResponseClass::Failed => {
            exchange.check_end(|| instance_check(cx, req, target));
            return Ok(StartedResponse {
                exchange,
                flight,
                is_good: class == ResponseClass::Success,
            });
        }
        ResponseClass::Unrelated => {
            req.record_not_run(&flight, "another request's answer came", true);
            cx.fleet.record_call_result(target, true);
            return Err(AttemptFailure::Lost(CallError::Lost(
                "another request's answer came".to_owned(),
            )));
        }
        ResponseClass::Full => {
            req.record_not_run(&flight, "the endpoint says that it is full", false);
            target.mark_full();
        }
        ResponseClass::WrongEndpoint => {
            req.record_not_run(&flight, "another endpoint has its address", false);
            target.mark_misplaced();
        }
        ResponseClass::InputsGone => {
            req.record_not_run(&flight, "the results of its stages are gone", false);
            return Err(AttemptFailure::InputsGone);
        }
        ResponseClass::NotRun => req.record_not_run(&flight, "the endpoint did not run it", false),
    }
    exchange
        .end_refused(&cx.pool, &req.incoming.id, MAX_ANSWER_BYTES, req.deadline)
        .await;
    Err(AttemptFailure::NotRun)
}

/// Asks `target` whether it still runs. It doesn't if keepers know of a later start.
fn instance_check(cx: &Context, req: &Request, target: &Arc<Target>) -> InstanceCheck {
    let service = req.matched.rules.service(&target.service);
    let health_path = service.and_then(|service| service.capacity.health_path.as_deref());
    let health_path = health_path.unwrap_or(DEFAULT_HEALTH_PATH);
    let InstanceCheck {
        request,
        is_from_instance,
    } = (cx.dialect.write_check)(health_path, &target.name);
    let (fleet, target) = (cx.fleet.clone(), Arc::clone(target));
    InstanceCheck {
        request,
        is_from_instance: Box::new(move |status, headers| {
            is_from_instance(status, headers) && !fleet.has_restarted(&target)
        }),
    }
}
