//! Serves one request from its route to its response.

mod part_checks;

use std::{sync::Arc, time::Duration};

use declaration::{RepeatPolicy, ResponseKind, Route};
use logs::{Ending, Event, RequestLog};
use routing::RetryBudget;
use tokio::time::{Instant, timeout_at};

use crate::{
    attempts::{AttemptLog, may_repeat, start_response},
    blocked_parts::{BlockedParts, CrashDetector},
    call::CallError,
    dialect::Dialect,
    error::{ForwardError, Refusal},
    fleet::Fleet,
    in_flight::InFlightCall,
    incoming::IncomingRequest,
    messages::StageFailure,
    metrics::Metrics,
    placement::{PlacedCall, PlacementError, Requirements},
    rate_limit::{PermitRequest, RateLimits},
    response::Response,
    rules::{Caller, MatchedRoute, pick_service, urgency},
    stages::{Results, StageContext, Stages},
    stream, whole,
};

/// Size limit of a complete response.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Time before the deadline at which a request is given up, so that the error arrives in time.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Delay before a request checks again for a free endpoint.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Retry time suggested to callers if nothing better is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Maximum number of requests for permits for one call.
const MAX_PERMIT_REQUESTS: usize = 16;

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
    pub(crate) async fn place(
        &self,
        requirements: &Requirements<'_>,
    ) -> Result<InFlightCall, PlacementError> {
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
    pub(crate) fn try_spend_retry(&self, service: &str) -> bool {
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
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route().repeat != RepeatPolicy::Never
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

    pub(crate) fn record_failed_call(&self, flight: &InFlightCall, e: &CallError) {
        self.record_not_run(flight, &e.to_string(), e.may_have_run());
    }

    /// Records why the request is not tried again.
    pub(crate) fn record_not_repeated(&self, why: &str) {
        self.log.note(Event::NotRepeated {
            service: self.service.clone(),
            why: why.to_owned(),
        });
    }

    pub(crate) fn record_not_run(&self, flight: &InFlightCall, why: &str, may_have_run: bool) {
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
    cx.budget.record_first_attempt(&req.service);
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
            ResponseKind::Whole => whole::serve_whole(cx, req, &inputs, attempts).await,
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
