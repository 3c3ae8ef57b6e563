//! Serves one request from its route to its response.

mod part_checks;

use std::{sync::Arc, time::Duration};

use declaration::{RepeatPolicy, ResponseKind, Route};
use logs::{Ending, Event, RequestLog};
use routing::RetryBudget;
use tokio::time::{Instant, timeout_at};

use crate::{
    blocked_parts::{BlockedParts, CallEnd, CrashDetector},
    call::{self, CallError, Exchange},
    dialect::{Attempt, Dialect, ResponseClass},
    error::{ForwardError, Refusal},
    fleet::Fleet,
    in_flight::InFlightCall,
    incoming::IncomingRequest,
    messages::StageFailure,
    metrics::Metrics,
    placement::{PlacedCall, PlacementError, Requirements},
    rate_limit::{PermitRequest, RateLimits},
    response::{Response, WholeResponse},
    rules::{Caller, MatchedRoute, pick_service, urgency},
    stages::{Results, StageContext, Stages},
    stream,
};

/// Size limit of a complete response.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Time before the deadline at which a request is given up, so that the error arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Delay before a request checks again for a free endpoint.
const RECHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Retry time suggested to callers if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Dependencies for serving requests. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) dialect: Dialect,
    pub(crate) fleet: Fleet,
    pub(crate) pool: outbound::Pool,
    pub(crate) stages: Stages,
    pub(crate) budget: Arc<RetryBudget>,
    pub(crate) rate_limits: RateLimits,
    pub(crate) crashes: CrashDetector,
    pub(crate) blocked_parts: BlockedParts,
    /// The VM name of this gate.
    pub(crate) vm: String,
    pub(crate) az: String,
    pub(crate) metrics: Metrics,
}

impl Context {
    /// Chooses an endpoint, with a permit for the call if the endpoint names a request rate.
    async fn place(&self, requirements: &Requirements<'_>) -> Result<InFlightCall, PlacementError> {
        for _ in 0..MAX_PERMIT_REQUESTS {
            match self.fleet.place(requirements)? {
                PlacedCall::Ready(flight) => return Ok(flight),
                PlacedCall::NeedsPermit(target) => {
                    let request = PermitRequest::new(&target);
                    self.rate_limits.request_permits(request).await;
                }
            }
        }
        Err(PlacementError {
            reason: Refusal::Limited,
            retry_after: None,
        })
    }

    /// Takes one retry of `service` from the budget. Returns false if none is left.
    fn try_spend_retry(&self, service: &str) -> bool {
        let is_allowed = self.budget.try_spend(service);
        self.metrics.record_retry(service, is_allowed);
        is_allowed
    }
}

/// A request matched to a route.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) incoming: Arc<IncomingRequest>,
    pub(crate) matched: MatchedRoute,
    pub(crate) caller: Option<Caller>,
    pub(crate) service: String,
    pub(crate) urgency: u8,
    pub(crate) deadline: Instant,
    /// Deadline for the start of the response.
    first_part_deadline: Instant,
    pub(crate) log: Arc<RequestLog>,
}

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
}

/// An endpoint's response that is about to be forwarded.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    pub(crate) exchange: Exchange,
    pub(crate) flight: InFlightCall,
    pub(crate) is_good: bool,
}

impl Request {
    pub(crate) fn new(
        incoming: IncomingRequest,
        matched: MatchedRoute,
        caller: Option<Caller>,
        log: Arc<RequestLog>,
    ) -> Option<Self> {
        let route = matched.route();
        Some(Self {
            service: pick_service(route)?.to_owned(),
            urgency: urgency(caller.as_ref(), route),
            deadline: incoming.deadline(route.timeout),
            first_part_deadline: incoming
                .deadline(route.first_event_timeout.unwrap_or(route.timeout)),
            incoming: Arc::new(incoming),
            matched,
            caller,
            log,
        })
    }

    pub(crate) fn route(&self) -> &Route {
        self.matched.route()
    }

    /// Returns true if the request may run more than once.
    fn is_repeatable(&self) -> bool {
        self.route().repeat != RepeatPolicy::Never
    }

    /// Returns until when to wait for the response head of this attempt. If the request is
    /// repeatable, time is reserved for another attempt.
    fn response_deadline(&self, attempts: &AttemptLog) -> Instant {
        let is_last = attempts.runs >= self.route().attempts;
        match self.route().answer {
            ResponseKind::Whole if self.is_repeatable() && !is_last => {
                Instant::now() + self.remaining() / 2
            }
            ResponseKind::Whole | ResponseKind::Stream => self.deadline,
        }
    }

    /// Time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Request {
    /// Ends the request log with a response of `endpoint` that was forwarded.
    pub(crate) fn log_end(
        &self,
        is_good: bool,
        status: u16,
        endpoint: &str,
        attempts: &AttemptLog,
    ) {
        if !is_good {
            let why = format!("{endpoint} answered {status}");
            return self.log.failed(Ending::EndpointFailed, status, &why, None);
        }
        let took_ms = self.log.elapsed_ms();
        let first_ms = attempts
            .first_part
            .map_or(took_ms, |first| first.as_millis() as u64);
        let pause_ms = attempts.max_pause.as_millis() as u64;
        let route = self.route();
        let is_late = u128::from(first_ms) > route.objective.as_millis()
            || route
                .max_pause
                .is_some_and(|most| attempts.max_pause > most);
        self.log.served(&Event::Served {
            route: self.matched.name.clone(),
            status,
            endpoint: endpoint.to_owned(),
            tries: attempts.runs,
            took_ms,
            first_ms,
            pause_ms,
            is_late,
        });
    }

    fn record_failed_call(&self, flight: &InFlightCall, e: &CallError) {
        self.record_not_run(flight, &e.to_string(), e.may_have_run());
    }

    /// Records why the request is not tried again.
    pub(crate) fn record_not_repeated(&self, why: &str) {
        self.log.note(Event::NotRepeated {
            service: self.service.clone(),
            why: why.to_owned(),
        });
    }

    fn record_not_run(&self, flight: &InFlightCall, why: &str, may_have_run: bool) {
        self.log.note(Event::CallFailed {
            endpoint: flight.target.name.clone(),
            why: why.to_owned(),
            may_have_run,
            took_ms: flight.elapsed().as_millis() as u64,
        });
    }
}

/// Serves a request: its stages, then an endpoint. If stage results are gone by then, for example
/// together with the endpoint that held them, the stages run once more.
pub(crate) async fn serve(cx: &Context, req: Request) -> Result<Response, ForwardError> {
    let mut attempts = AttemptLog::default();
    match serve_once(cx, &req, &mut attempts).await {
        Err(ForwardError::Refused {
            reason: Refusal::InputsGone,
            ..
        }) if attempts.runs == 0 => serve_once(cx, &req, &mut attempts).await,
        result => result,
    }
}

async fn serve_once(
    cx: &Context,
    req: &Request,
    attempts: &mut AttemptLog,
) -> Result<Response, ForwardError> {
    let produced = timeout_at(req.first_part_deadline - ANSWER_MARGIN, inputs(cx, req)).await;
    let late = |_| ForwardError::retry_later(Refusal::StagesLate, RETRY_AFTER);
    let inputs = produced.map_err(late).flatten()?;
    let serving = async {
        match req.route().answer {
            ResponseKind::Whole => serve_whole(cx, req, &inputs, attempts).await,
            ResponseKind::Stream => {
                let mut started = start_response(cx, req, &inputs, attempts, None).await?;
                while !started.is_good && may_repeat(cx, req, attempts) {
                    cx.fleet.record_call_result(&started.flight.target, true);
                    started = start_response(cx, req, &inputs, attempts, None).await?;
                }
                Ok(stream::relay_events(
                    cx,
                    req,
                    inputs,
                    started,
                    std::mem::take(attempts),
                ))
            }
        }
    };
    match timeout_at(req.deadline - ANSWER_MARGIN, serving).await {
        Ok(result) => result,
        Err(_) if attempts.runs > 0 => Err(ForwardError::DeadlineExceeded),
        Err(_) => Err(ForwardError::retry_later(Refusal::NoTime, RETRY_AFTER)),
    }
}

async fn inputs(cx: &Context, req: &Request) -> Result<Vec<Arc<Results>>, ForwardError> {
    let route = req.route();
    if route.stages.is_empty() {
        return Ok(Vec::new());
    }
    let requirements = Requirements {
        service: &req.service,
        az: &cx.az,
        prompt: req.incoming.prompt.as_ref().filter(|_| route.affinity),
        inputs: &[],
        avoid: &[],
    };
    let az = cx.fleet.predicted_zone(&requirements);
    let stage_cx = StageContext {
        request_log: &req.log,
        incoming: &req.incoming,
        route,
        urgency: req.urgency,
        rules: &req.matched.rules,
        request_time: cx.fleet.predicted_time(&requirements),
        deadline: req.first_part_deadline,
        az: az.as_deref().unwrap_or(&cx.az),
    };
    let stages = cx.stages.run(&stage_cx);
    stages.await.map_err(|failure| match failure {
        StageFailure::Late { retry_after } | StageFailure::Crowded { retry_after } => {
            ForwardError::retry_later(Refusal::StagesLate, retry_after.max(RETRY_AFTER))
        }
        StageFailure::Paused { retry_after } => {
            ForwardError::retry_later(Refusal::Paused, retry_after)
        }
        StageFailure::Limited { retry_after } => {
            ForwardError::retry_later(Refusal::Limited, retry_after)
        }
        StageFailure::NoEndpoint => ForwardError::retry_later(Refusal::NoEndpoint, RETRY_AFTER),
        StageFailure::InputGone
        | StageFailure::Moved
        | StageFailure::Failed
        | StageFailure::Unreachable => {
            ForwardError::retry_later(Refusal::StagesFailed, RETRY_AFTER)
        }
    })
}

/// Serves a complete response; it is read to its end before any of it is forwarded.
async fn serve_whole(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
) -> Result<Response, ForwardError> {
    loop {
        let started = start_response(cx, req, inputs, attempts, None).await?;
        let StartedResponse {
            exchange,
            mut flight,
            is_good,
            ..
        } = started;
        let (status, headers) = (exchange.status, exchange.headers.clone());
        let ends_with_connection = exchange.ends_with_connection();
        let read = exchange.read_body(&cx.pool, MAX_ANSWER_BYTES, req.deadline);
        match read.await {
            Ok(body) => {
                flight.record_first_part(None);
                cx.metrics.record_first_part(&req.service, flight.elapsed());
                cx.fleet.record_call_result(&flight.target, !is_good);
                cx.record_complete(&flight, req, ends_with_connection, is_good);
                if !is_good && may_repeat(cx, req, attempts) {
                    continue;
                }
                req.log_end(is_good, status.as_u16(), &flight.target.name, attempts);
                return Ok(Response::Whole(WholeResponse {
                    status,
                    headers: (cx.dialect.answer_headers)(&headers),
                    body,
                }));
            }
            Err(e) => {
                cx.fleet.record_call_result(&flight.target, true);
                req.record_failed_call(&flight, &e);
                cx.record_lost(&flight, req, &e, CallEnd::Broken);
                if !may_repeat(cx, req, attempts) {
                    return Err(lost(&e));
                }
            }
        }
    }
}

fn lost(e: &CallError) -> ForwardError {
    match e {
        CallError::TimedOut => ForwardError::DeadlineExceeded,
        e => ForwardError::Lost(e.to_string()),
    }
}

/// Returns true if a request that may have run may be tried again, and takes a retry from the
/// budget.
pub(crate) fn may_repeat(cx: &Context, req: &Request, attempts: &AttemptLog) -> bool {
    let why = match attempts.runs {
        _ if cx.is_suspect(req) => "endpoints crashed under a part of its prompt",
        _ if !req.is_repeatable() => "its route allows no repeat",
        runs if runs >= req.route().attempts => "its route allows no more tries",
        _ if req.remaining().is_zero() => "no time is left",
        _ if !cx.try_spend_retry(&req.service) => "the retry budget of the service is spent",
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
    cx.budget.record_first_attempt(&req.service);
    let input_sizes: Vec<(String, u64)> = inputs.iter().flat_map(|r| r.sizes_by_zone()).collect();
    loop {
        let requirements = Requirements {
            service: &req.service,
            az: &cx.az,
            prompt: req
                .incoming
                .prompt
                .as_ref()
                .filter(|_| req.route().affinity),
            inputs: &input_sizes,
            avoid: &attempts.endpoints,
        };
        cx.check_parts_again(req, attempts)?;
        let flight = match cx.place(&requirements).await {
            Ok(flight) => flight,
            Err(PlacementError { reason, .. }) if attempts.runs > 0 => {
                return Err(ForwardError::Lost(format!("no other endpoint: {reason}")));
            }
            Err(PlacementError {
                reason: Refusal::Full,
                ..
            }) if req.remaining() > RECHECK_INTERVAL * 4 && attempts.endpoints.is_empty() => {
                tokio::time::sleep(RECHECK_INTERVAL).await;
                continue;
            }
            Err(PlacementError {
                reason,
                retry_after,
            }) => {
                return Err(ForwardError::retry_later(
                    reason,
                    retry_after.unwrap_or(RETRY_AFTER),
                ));
            }
        };
        // A part can be blocked while the call waits for a permit.
        cx.check_parts_again(req, attempts)?;
        req.log.note(flight.chosen_event());
        let crossing = input_sizes.iter().filter(|(az, _)| *az != flight.target.az);
        let crossing = crossing.map(|(_, bytes)| bytes).sum();
        cx.metrics.record_cross_zone_bytes(&req.service, crossing);
        match attempt(cx, req, inputs, attempts, &flight, last_event_id).await {
            AttemptOutcome::Started(exchange, is_good) => {
                return Ok(StartedResponse {
                    exchange: *exchange,
                    flight,
                    is_good,
                });
            }
            // No byte reached an endpoint, so this does not count as a try.
            AttemptOutcome::Unreached
                if attempts.endpoints.len() < MAX_CONNECT_FAILURES
                    && !req.remaining().is_zero() => {}
            AttemptOutcome::NotRun
                if attempts.endpoints.len() < MAX_ENDPOINTS && cx.try_spend_retry(&req.service) => {
            }
            AttemptOutcome::NotRun | AttemptOutcome::Unreached if attempts.runs > 0 => {
                return Err(ForwardError::Lost("no endpoint took it again".to_owned()));
            }
            AttemptOutcome::NotRun => {
                return Err(ForwardError::retry_later(Refusal::Full, RETRY_AFTER));
            }
            AttemptOutcome::Unreached => {
                return Err(ForwardError::retry_later(Refusal::NoEndpoint, RETRY_AFTER));
            }
            AttemptOutcome::InputsGone if attempts.runs > 0 => {
                return Err(ForwardError::Lost(Refusal::InputsGone.to_string()));
            }
            AttemptOutcome::InputsGone => {
                return Err(ForwardError::retry_later(Refusal::InputsGone, RETRY_AFTER));
            }
            AttemptOutcome::Lost(e) if !may_repeat(cx, req, attempts) => return Err(lost(&e)),
            AttemptOutcome::Lost(_) => {}
        }
    }
}

/// Maximum number of requests for permits for one call.
const MAX_PERMIT_REQUESTS: usize = 16;
/// Maximum number of endpoints that one request is offered to.
const MAX_ENDPOINTS: usize = 4;
/// Number of tried endpoints after which a failed connection ends the request.
const MAX_CONNECT_FAILURES: usize = 12;

enum AttemptOutcome {
    Started(Box<Exchange>, bool),
    NotRun,
    Unreached,
    InputsGone,
    Lost(CallError),
}

async fn attempt(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    flight: &InFlightCall,
    last_event_id: Option<u64>,
) -> AttemptOutcome {
    let target = &flight.target;
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
    if target.stats().permits.limit().is_some() {
        cx.metrics.record_limited_call(&target.service, "request");
    }
    attempts.endpoints.push(target.name.clone());
    attempts.runs += 1;
    let sent_at = Instant::now();
    let sent = call::send(
        &cx.pool,
        target.address,
        message,
        req.response_deadline(attempts),
    )
    .await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(e) => {
            let may_have_run = e.may_have_run();
            req.record_failed_call(flight, &e);
            match &e {
                CallError::Unreached(why) => target.record_connect_failure(why),
                _ => cx.fleet.record_call_result(target, true),
            }
            if may_have_run {
                cx.record_lost(flight, req, &e, CallEnd::Unanswered);
                return AttemptOutcome::Lost(e);
            }
            attempts.runs -= 1;
            return match e {
                CallError::Unreached(_) => AttemptOutcome::Unreached,
                _ => AttemptOutcome::NotRun,
            };
        }
    };
    let class = (cx.dialect.classify)(&req.incoming.id, exchange.status, &exchange.headers);
    if class.is_from_target() {
        let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
        let sent_at = (class == ResponseClass::Success).then_some(sent_at);
        cx.fleet.apply_notice(target, notice, &cx.vm, sent_at);
    }
    if let Some(load) = (cx.dialect.load)(&exchange.headers) {
        let mut stats = target.stats();
        let own = stats.in_flight;
        stats.record_load(load.running + load.waiting, own, Instant::now());
    }
    match class {
        ResponseClass::Success => return AttemptOutcome::Started(Box::new(exchange), true),
        ResponseClass::Failed => return AttemptOutcome::Started(Box::new(exchange), false),
        ResponseClass::Unrelated => {
            req.record_not_run(flight, "another request's answer came", true);
            cx.fleet.record_call_result(target, true);
            return AttemptOutcome::Lost(CallError::Lost(
                "another request's answer came".to_owned(),
            ));
        }
        ResponseClass::Full => {
            req.record_not_run(flight, "the endpoint says that it is full", false);
            target.mark_full();
        }
        ResponseClass::WrongEndpoint => {
            req.record_not_run(flight, "another endpoint has its address", false);
            target.mark_misplaced();
        }
        ResponseClass::InputsGone => {
            req.record_not_run(flight, "the results of its stages are gone", false);
            attempts.runs -= 1;
            // The endpoint may take the request with other results.
            attempts.endpoints.pop();
            return AttemptOutcome::InputsGone;
        }
        ResponseClass::NotRun => req.record_not_run(flight, "the endpoint did not run it", false),
    }
    attempts.runs -= 1;
    // The body is read only to keep the connection usable.
    let _ = exchange
        .read_body(&cx.pool, MAX_ANSWER_BYTES, req.deadline)
        .await;
    AttemptOutcome::NotRun
}
