//! A request that is served, and what serving it depends on.

mod part_checks;

use std::{sync::Arc, time::Duration};

use declaration::{RepeatPolicy, Route};
use drain::Shutdown;
use hyper::StatusCode;
use logs::{Ending, Event, RequestLog};
use routing::RetryBudget;
use tokio::time::Instant;

use crate::{
    attempts::AttemptLog,
    blocked_parts::{BlockedParts, CrashDetector},
    call::CallError,
    dialect::Dialect,
    error::{ForwardError, Refusal, promises_not_run},
    fleet::Fleet,
    in_flight::InFlightCall,
    incoming::IncomingRequest,
    metrics::Metrics,
    placement::{PlacedCall, PlacementError},
    rate_limit::{PermitRequest, RateLimits},
    requirements::Requirements,
    rules::{Caller, MatchedRoute, pick_service, urgency},
    stages::Stages,
    zone_placement::ZonePlacement,
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
    /// Memory for the bodies of requests and responses.
    pub(crate) memory: ingress::BodyBudgets,
    pub(crate) stages: Stages,
    pub(crate) budget: Arc<RetryBudget>,
    pub(crate) rate_limits: RateLimits,
    pub(crate) zone_placement: ZonePlacement,
    pub(crate) crashes: CrashDetector,
    pub(crate) blocked_parts: BlockedParts,
    /// The VM name of this gate.
    pub(crate) vm: String,
    pub(crate) az: String,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
}

impl Context {
    /// Chooses an endpoint, with a permit for the call if the endpoint names a request rate.
    pub(crate) async fn place(
        &self,
        requirements: &Requirements<'_>,
    ) -> Result<InFlightCall, PlacementError> {
        let zone_call = self.zone_placement.query(requirements).await;
        for _ in 0..MAX_PERMIT_REQUESTS {
            let placed = zone_call.as_ref().and_then(|call| call.placed());
            let placed = placed.and_then(|(endpoint, unread_tokens)| {
                self.fleet.place_at(requirements, endpoint, unread_tokens)
            });
            let placed = match placed {
                Some(placed) => placed,
                None => self.fleet.place(requirements)?,
            };
            match placed {
                PlacedCall::Ready(mut flight) => {
                    if let Some(zone_call) = &zone_call {
                        zone_call.start(&flight.target.name);
                    }
                    flight.zone_call = zone_call;
                    return Ok(flight);
                }
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
    pub(crate) first_part_deadline: Instant,
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

    /// Checks that an endpoint's failure with `status` may be forwarded. The request may have run, so a
    /// status that promises the contrary must not reach the caller of one that may not be repeated.
    pub(crate) fn check_failure(
        &self,
        status: StatusCode,
        endpoint: &str,
    ) -> Result<(), ForwardError> {
        match promises_not_run(status) && !self.is_repeatable() {
            true => Err(ForwardError::Lost(format!(
                "{endpoint} answered {status} and does not say that it did not run"
            ))),
            false => Ok(()),
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
