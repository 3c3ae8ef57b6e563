//! One request from its route to its answer.

use std::{sync::Arc, time::Duration};

use declaration::{Answer, Repeat, Route};
use logs::{Ending, Event, Story};
use routing::RetryBudget;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::{self, CallError, Exchange},
    dialect::{Attempt, Dialect, ResponseClass},
    error::{ForwardError, Refusal},
    fleet::Fleet,
    in_flight::InFlightCall,
    incoming::IncomingRequest,
    messages::StageFailure,
    metrics::Metrics,
    placement::{Need, PlacementError},
    response::{Passed, Response},
    rules::{Caller, Matched, draw_service, urgency},
    stages::{Results, Stages, Work},
    stream,
};

/// Most bytes of an answer that comes whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Time before the deadline at which an answer is given up, so that the refusal still arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Pause before a request that found no free endpoint looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// When a caller may come back where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);

/// What requests are served with; clones share everything.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) dialect: Dialect,
    pub(crate) fleet: Fleet,
    pub(crate) pool: outbound::Pool,
    pub(crate) stages: Stages,
    pub(crate) budget: Arc<RetryBudget>,
    /// The VM of this gate.
    pub(crate) vm: String,
    pub(crate) az: String,
    pub(crate) metrics: Metrics,
}

impl Context {
    /// Takes one retry of `service` from the budget; false where there is none left.
    fn may_spend(&self, service: &str) -> bool {
        let is_there = self.budget.try_spend(service);
        self.metrics.retried(service, is_there);
        is_there
    }
}

/// A request on its route.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) incoming: Arc<IncomingRequest>,
    pub(crate) matched: Matched,
    pub(crate) caller: Option<Caller>,
    pub(crate) service: String,
    pub(crate) urgency: u8,
    pub(crate) deadline: Instant,
    /// When its caller leaves if no answer has begun.
    begin_by: Instant,
    pub(crate) story: Arc<Story>,
}

/// Where a request has been.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    /// Endpoints that have it or refused it.
    pub(crate) endpoints: Vec<String>,
    /// Endpoints that may have run it.
    pub(crate) runs: u32,
    /// Time to the first part of its answer.
    pub(crate) first: Option<Duration>,
    /// Longest pause between two parts of a stream.
    pub(crate) pause: Duration,
}

/// An endpoint's answer that is about to be passed on.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) exchange: Exchange,
    pub(crate) flight: InFlightCall,
    pub(crate) is_good: bool,
}

impl Request {
    pub(crate) fn new(
        incoming: IncomingRequest,
        matched: Matched,
        caller: Option<Caller>,
        story: Arc<Story>,
    ) -> Option<Self> {
        let route = matched.route();
        Some(Self {
            service: draw_service(route)?.to_owned(),
            urgency: urgency(caller.as_ref(), route),
            deadline: incoming.deadline(route.longest),
            begin_by: incoming.deadline(route.first_event.unwrap_or(route.longest)),
            incoming: Arc::new(incoming),
            matched,
            caller,
            story,
        })
    }

    pub(crate) fn route(&self) -> &Route {
        self.matched.route()
    }

    /// Whether it may run again after it may have run.
    fn is_repeatable(&self) -> bool {
        self.route().repeat != Repeat::Never
    }

    /// Until when the head of this try's answer is waited for: another try needs time as well.
    fn patience(&self, tried: &Tried) -> Instant {
        let is_last = tried.runs >= self.route().attempts;
        match self.route().answer {
            Answer::Whole if self.is_repeatable() && !is_last => Instant::now() + self.left() / 2,
            Answer::Whole | Answer::Stream => self.deadline,
        }
    }

    /// Time until its deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Request {
    /// Ends its story with an answer of `endpoint` that was passed on.
    pub(crate) fn ended(&self, is_good: bool, status: u16, endpoint: &str, tried: &Tried) {
        if !is_good {
            let why = format!("{endpoint} answered {status}");
            return self
                .story
                .failed(Ending::EndpointFailed, status, &why, None);
        }
        let took_ms = self.story.took_ms();
        let first_ms = tried
            .first
            .map_or(took_ms, |first| first.as_millis() as u64);
        let pause_ms = tried.pause.as_millis() as u64;
        let route = self.route();
        let is_late = u128::from(first_ms) > route.objective.as_millis()
            || route.pause.is_some_and(|most| tried.pause > most);
        self.story.served(&Event::Served {
            route: self.matched.name.clone(),
            status,
            endpoint: endpoint.to_owned(),
            tries: tried.runs,
            took_ms,
            first_ms,
            pause_ms,
            is_late,
        });
    }

    fn note_failed_call(&self, flight: &InFlightCall, e: &CallError) {
        self.note_not_run(flight, &e.to_string(), e.may_have_run());
    }

    /// It is not tried once more.
    pub(crate) fn note_not_repeated(&self, why: &str) {
        self.story.note(Event::NotRepeated {
            service: self.service.clone(),
            why: why.to_owned(),
        });
    }

    fn note_not_run(&self, flight: &InFlightCall, why: &str, may_have_run: bool) {
        self.story.note(Event::CallFailed {
            endpoint: flight.target.name.clone(),
            why: why.to_owned(),
            may_have_run,
            took_ms: flight.elapsed().as_millis() as u64,
        });
    }
}

/// Serves a request: its stages, then an endpoint. Where results of its stages are gone by then, as with
/// the endpoint that kept them, they are made once more.
pub(crate) async fn serve(cx: &Context, req: Request) -> Result<Response, ForwardError> {
    let mut tried = Tried::default();
    match serve_once(cx, &req, &mut tried).await {
        Err(ForwardError::Refused {
            reason: Refusal::InputsGone,
            ..
        }) if tried.runs == 0 => serve_once(cx, &req, &mut tried).await,
        result => result,
    }
}

async fn serve_once(
    cx: &Context,
    req: &Request,
    tried: &mut Tried,
) -> Result<Response, ForwardError> {
    let made = timeout_at(req.begin_by - ANSWER_MARGIN, inputs(cx, req)).await;
    let late = |_| ForwardError::retry_later(Refusal::StagesLate, COME_BACK);
    let inputs = made.map_err(late).flatten()?;
    let serving = async {
        match req.route().answer {
            Answer::Whole => whole(cx, req, &inputs, tried).await,
            Answer::Stream => {
                let mut begun = begin(cx, req, &inputs, tried, None).await?;
                while !begun.is_good && may_repeat(cx, req, tried) {
                    cx.fleet.record_call_result(&begun.flight.target, true);
                    begun = begin(cx, req, &inputs, tried, None).await?;
                }
                Ok(stream::pass_on(
                    cx,
                    req,
                    inputs,
                    begun,
                    std::mem::take(tried),
                ))
            }
        }
    };
    match timeout_at(req.deadline - ANSWER_MARGIN, serving).await {
        Ok(result) => result,
        Err(_) if tried.runs > 0 => Err(ForwardError::DeadlineExceeded),
        Err(_) => Err(ForwardError::retry_later(Refusal::NoTime, COME_BACK)),
    }
}

async fn inputs(cx: &Context, req: &Request) -> Result<Vec<Arc<Results>>, ForwardError> {
    let route = req.route();
    if route.stages.is_empty() {
        return Ok(Vec::new());
    }
    let need = Need {
        service: &req.service,
        az: &cx.az,
        prompt: req.incoming.prompt.as_ref().filter(|_| route.affinity),
        inputs: &[],
        avoid: &[],
    };
    let az = cx.fleet.likely_zone(&need);
    let work = Work {
        story: &req.story,
        incoming: &req.incoming,
        route,
        urgency: req.urgency,
        rules: &req.matched.rules,
        after: cx.fleet.likely_time(&need),
        deadline: req.begin_by,
        az: az.as_deref().unwrap_or(&cx.az),
    };
    let stages = cx.stages.run(&work);
    stages.await.map_err(|failure| match failure {
        StageFailure::Late { retry_after } | StageFailure::Crowded { retry_after } => {
            ForwardError::retry_later(Refusal::StagesLate, retry_after.max(COME_BACK))
        }
        StageFailure::Paused { retry_after } => {
            ForwardError::retry_later(Refusal::Paused, retry_after)
        }
        StageFailure::NoEndpoint => ForwardError::retry_later(Refusal::NoEndpoint, COME_BACK),
        StageFailure::InputGone
        | StageFailure::Moved
        | StageFailure::Failed
        | StageFailure::Unreachable => ForwardError::retry_later(Refusal::StagesFailed, COME_BACK),
    })
}

/// An answer that comes whole; it is read to its end before any of it is passed on.
async fn whole(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    tried: &mut Tried,
) -> Result<Response, ForwardError> {
    loop {
        let begun = begin(cx, req, inputs, tried, None).await?;
        let Begun {
            exchange,
            mut flight,
            is_good,
            ..
        } = begun;
        let (status, headers) = (exchange.status, exchange.headers.clone());
        let read = exchange.read_body(&cx.pool, MAX_ANSWER_BYTES, req.deadline);
        match read.await {
            Ok(body) => {
                flight.record_first_part(None);
                cx.metrics.first_part(&req.service, flight.elapsed());
                cx.fleet.record_call_result(&flight.target, !is_good);
                if !is_good && may_repeat(cx, req, tried) {
                    continue;
                }
                req.ended(is_good, status.as_u16(), &flight.target.name, tried);
                return Ok(Response::Passed(Passed {
                    status,
                    headers: (cx.dialect.answer_headers)(&headers),
                    body,
                }));
            }
            Err(e) => {
                cx.fleet.record_call_result(&flight.target, true);
                req.note_failed_call(&flight, &e);
                if !may_repeat(cx, req, tried) {
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

/// Whether a request that may have run is tried once more; takes it from the budget.
pub(crate) fn may_repeat(cx: &Context, req: &Request, tried: &Tried) -> bool {
    let why = match tried.runs {
        _ if !req.is_repeatable() => "its route allows no repeat",
        runs if runs >= req.route().attempts => "its route allows no more tries",
        _ if req.left().is_zero() => "no time is left",
        _ if !cx.may_spend(&req.service) => "the retry budget of the service is spent",
        _ => return true,
    };
    req.note_not_repeated(why);
    false
}

/// Sends the request until an endpoint begins to answer it.
pub(crate) async fn begin(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    tried: &mut Tried,
    last_event_id: Option<u64>,
) -> Result<Begun, ForwardError> {
    cx.budget.first_try(&req.service);
    let places: Vec<(String, u64)> = inputs.iter().flat_map(|r| r.places()).collect();
    loop {
        let need = Need {
            service: &req.service,
            az: &cx.az,
            prompt: req
                .incoming
                .prompt
                .as_ref()
                .filter(|_| req.route().affinity),
            inputs: &places,
            avoid: &tried.endpoints,
        };
        let flight = match cx.fleet.place(&need) {
            Ok(flight) => flight,
            Err(PlacementError { reason, .. }) if tried.runs > 0 => {
                return Err(ForwardError::Lost(format!("no other endpoint: {reason}")));
            }
            Err(PlacementError {
                reason: Refusal::Full,
                ..
            }) if req.left() > LOOK_AGAIN * 4 && tried.endpoints.is_empty() => {
                tokio::time::sleep(LOOK_AGAIN).await;
                continue;
            }
            Err(PlacementError {
                reason,
                retry_after,
            }) => {
                return Err(ForwardError::retry_later(
                    reason,
                    retry_after.unwrap_or(COME_BACK),
                ));
            }
        };
        req.story.note(flight.chosen_event());
        let crossing = places.iter().filter(|(az, _)| *az != flight.target.az);
        let crossing = crossing.map(|(_, bytes)| bytes).sum();
        cx.metrics.crossed(&req.service, crossing);
        match attempt(cx, req, inputs, tried, &flight, last_event_id).await {
            AttemptOutcome::Begun(exchange, is_good) => {
                return Ok(Begun {
                    exchange: *exchange,
                    flight,
                    is_good,
                });
            }
            // Nothing has reached an endpoint: that is no try.
            AttemptOutcome::Unreached
                if tried.endpoints.len() < MAX_UNREACHED && !req.left().is_zero() => {}
            AttemptOutcome::NotRun
                if tried.endpoints.len() < MAX_ENDPOINTS && cx.may_spend(&req.service) => {}
            AttemptOutcome::NotRun | AttemptOutcome::Unreached if tried.runs > 0 => {
                return Err(ForwardError::Lost("no endpoint took it again".to_owned()));
            }
            AttemptOutcome::NotRun => {
                return Err(ForwardError::retry_later(Refusal::Full, COME_BACK));
            }
            AttemptOutcome::Unreached => {
                return Err(ForwardError::retry_later(Refusal::NoEndpoint, COME_BACK));
            }
            AttemptOutcome::InputsGone => {
                return Err(ForwardError::retry_later(Refusal::InputsGone, COME_BACK));
            }
            AttemptOutcome::Lost(e) if !may_repeat(cx, req, tried) => return Err(lost(&e)),
            AttemptOutcome::Lost(_) => {}
        }
    }
}

/// Endpoints that one request is offered to.
const MAX_ENDPOINTS: usize = 4;
/// Endpoints after which one more connection that is not made ends a request.
const MAX_UNREACHED: usize = 12;

enum AttemptOutcome {
    Begun(Box<Exchange>, bool),
    NotRun,
    Unreached,
    InputsGone,
    Lost(CallError),
}

async fn attempt(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    tried: &mut Tried,
    flight: &InFlightCall,
    last_event_id: Option<u64>,
) -> AttemptOutcome {
    let target = &flight.target;
    let handles: Vec<String> = inputs.iter().flat_map(|r| r.handles()).collect();
    let details = Attempt {
        remaining: req.left(),
        endpoint: &target.name,
        workspace: req.caller.as_ref().map(|c| c.workspace.as_str()),
        urgency: req.incoming.prompt.as_ref().map(|_| req.urgency),
        inputs: &handles,
        last_event_id: last_event_id.or(req.incoming.last_event_id),
    };
    let message = (cx.dialect.write_request)(&req.incoming, &details);
    tried.endpoints.push(target.name.clone());
    tried.runs += 1;
    let sent = call::send(&cx.pool, target.address, message, req.patience(tried)).await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(e) => {
            let may_have_run = e.may_have_run();
            req.note_failed_call(flight, &e);
            match &e {
                CallError::Unreached(why) => target.record_connect_failure(why),
                _ => cx.fleet.record_call_result(target, true),
            }
            if may_have_run {
                return AttemptOutcome::Lost(e);
            }
            tried.runs -= 1;
            return match e {
                CallError::Unreached(_) => AttemptOutcome::Unreached,
                _ => AttemptOutcome::NotRun,
            };
        }
    };
    let class = (cx.dialect.classify)(&req.incoming.id, exchange.status, &exchange.headers);
    if class.is_of_target() {
        let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
        cx.fleet.apply_notice(target, notice, &cx.vm);
    }
    if let Some(load) = (cx.dialect.load)(&exchange.headers) {
        let mut stats = target.stats();
        let own = stats.in_flight;
        stats.record_load(load.running + load.waiting, own, Instant::now());
    }
    match class {
        ResponseClass::Success => return AttemptOutcome::Begun(Box::new(exchange), true),
        ResponseClass::Failed => return AttemptOutcome::Begun(Box::new(exchange), false),
        ResponseClass::Unrelated => {
            req.note_not_run(flight, "another request's answer came", true);
            cx.fleet.record_call_result(target, true);
            return AttemptOutcome::Lost(CallError::Lost(
                "another request's answer came".to_owned(),
            ));
        }
        ResponseClass::Full => {
            req.note_not_run(flight, "the endpoint says that it is full", false);
            target.mark_full();
        }
        ResponseClass::WrongEndpoint => {
            req.note_not_run(flight, "another endpoint has its address", false);
            target.mark_misplaced();
        }
        ResponseClass::InputsGone => {
            req.note_not_run(flight, "the results of its stages are gone", false);
            tried.runs -= 1;
            // It may well take the request with other results.
            tried.endpoints.pop();
            return AttemptOutcome::InputsGone;
        }
        ResponseClass::NotRun => req.note_not_run(flight, "the endpoint did not run it", false),
    }
    tried.runs -= 1;
    // Reading the rest only keeps the connection.
    let _ = exchange
        .read_body(&cx.pool, MAX_ANSWER_BYTES, req.deadline)
        .await;
    AttemptOutcome::NotRun
}
