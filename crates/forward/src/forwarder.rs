//! Handles callers' requests: parsing, access checks, forwarding and responses.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use host::body::Blocks;
use http_body_util::BodyExt;
use hyper::{
    Response as HttpResponse,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use ingress::{BodyBudgets, Listener, SMALL_BODY_BYTES};
use logs::{Event, RequestLog};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    dialect::ParsedHead,
    error::{ForwardError, Refusal, retry_after_value},
    freshness::Freshness,
    incoming::IncomingRequest,
    metrics::Metrics,
    request::{self, Context, Request},
    response::{BodyParts, Response, ResponseBody},
    rules::Rules,
    serving,
};

/// Maximum age of a confirmation with which a request may be denied for an unknown route or key.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(1_500);
/// Longest time for the body of a request without a route.
const UNROUTED_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// What a parsed header field takes in the table of fields and in its copy for the endpoint,
/// besides its text.
const FIELD_BYTES: usize = 256;
/// What a request takes besides its fields and its body.
const REQUEST_BYTES: usize = 2 << 10;
/// When a caller may retry if the declaration is not confirmed.
const NOT_CONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves requests. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Forwarder {
    pub(crate) cx: Context,
    pub(crate) rules: watch::Receiver<Arc<Rules>>,
    pub(crate) freshness: Freshness,
    pub(crate) metrics: Metrics,
    pub(crate) draining: watch::Receiver<bool>,
    pub(crate) in_flight: Arc<AtomicUsize>,
    /// Callers' connections.
    pub(crate) connections: Listener,
}

/// Counts a request as in flight until dropped.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Forwarder {
    /// Returns true if the gate accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !*self.draining.borrow() && !self.rules.borrow().is_empty() && self.freshness.is_fresh()
    }

    /// Renders the metrics page.
    pub(crate) fn metrics_text(&self) -> String {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.metrics.set_callers(&self.connections, &self.cx.memory);
        let tables = self.cx.zone_placement.table_sizes();
        self.metrics.set_placement_tables(&tables);
        self.metrics
            .text(&self.cx.fleet, self.freshness.age(), in_flight)
    }

    /// Handles one request.
    pub(crate) async fn handle(
        self,
        req: hyper::Request<Incoming>,
    ) -> Result<HttpResponse<ResponseBody>, Infallible> {
        let _guard = InFlightGuard::new(&self.in_flight);
        let started = Instant::now();
        let (parts, body) = req.into_parts();
        let mut request_log = None;
        let result = self.answer(&parts, body, &mut request_log).await;
        let label = match &result {
            Ok(_) => "passed",
            Err(error) => error.label(),
        };
        self.metrics.record_answer(label, started.elapsed());
        if let (Err(error), Some(request_log)) = (&result, &request_log) {
            error.record(request_log);
        }
        Ok(self.http_response(result, request_log.as_ref().map(|log| log.request_id())))
    }

    async fn answer(
        &self,
        parts: &Parts,
        body: Incoming,
        opened_log: &mut Option<Arc<RequestLog>>,
    ) -> Result<Response, ForwardError> {
        let no_memory = || ForwardError::retry_later(Refusal::NoMemory, request::RETRY_AFTER);
        let small = self.cx.memory.small();
        let head = small.try_reserve(head_bytes(parts)).ok_or_else(no_memory)?;
        let mut incoming = match (self.cx.dialect.parse_head)(parts) {
            ParsedHead::Request(incoming) => *incoming,
            ParsedHead::Malformed(what) => return Err(ForwardError::Malformed(what)),
        };
        let request_log = Arc::new(RequestLog::new(&incoming.id));
        *opened_log = Some(Arc::clone(&request_log));
        let rules = self.rules.borrow().clone();
        let max_bytes = rules.declaration.callers.body_bytes as usize;
        let matched = rules.match_route(&incoming.host, incoming.path());
        let longest = matched.map_or(UNROUTED_BODY_TIMEOUT, |matched| matched.route().timeout);
        let deadline = incoming.deadline(longest);
        let read = read_body(body, max_bytes, &self.cx.memory);
        let body = tokio::select! {
            read = timeout_at(deadline, read) => read.map_err(|_| ForwardError::BodyTimeout)??,
            () = self.cx.shutdown.responses_due() => {
                return Err(ForwardError::shutting_down(Duration::ZERO));
            }
        };
        // The head is kept as long as the body, by a stream until its end.
        incoming.body = head.attach(body);
        let req = self.route(incoming, rules, request_log)?;
        serving::serve(&self.cx, req).await
    }

    /// Finds the route and the workspace. Denies a request only if the declaration was confirmed
    /// recently.
    fn route(
        &self,
        incoming: IncomingRequest,
        rules: Arc<Rules>,
        request_log: Arc<RequestLog>,
    ) -> Result<Request, ForwardError> {
        let age = self.freshness.age();
        let age_ms = age.map(|age| age.as_millis() as u64);
        let not_confirmed = || {
            let is_fresh = self.freshness.is_fresh();
            request_log.note(Event::Confirmation { is_fresh, age_ms });
            ForwardError::retry_later(Refusal::NotConfirmed, NOT_CONFIRMED_RETRY_AFTER)
        };
        let denial = |error| match age {
            Some(age) if age < MAX_DENIAL_AGE => error,
            _ => not_confirmed(),
        };
        if rules.is_empty() {
            return Err(ForwardError::retry_later(
                Refusal::NoDeclaration,
                NOT_CONFIRMED_RETRY_AFTER,
            ));
        }
        if !self.cx.fleet.knows_evacuations() {
            return Err(not_confirmed());
        }
        let found = rules.match_route(&incoming.host, incoming.path());
        let matched = found.ok_or_else(|| denial(ForwardError::NoRoute))?;
        let caller = match (&incoming.key, matched.route().public) {
            (_, true) => None,
            (None, false) => return Err(denial(ForwardError::NoKey)),
            (Some(key), false) => {
                let caller = rules
                    .caller(key)
                    .ok_or_else(|| denial(ForwardError::NoKey))?;
                if !self.freshness.is_fresh() {
                    return Err(not_confirmed());
                }
                Some(caller)
            }
        };
        let req = Request::new(incoming, matched, caller, Arc::clone(&request_log));
        let req = req.ok_or(ForwardError::refused(Refusal::NoEndpoint))?;
        req.log.note(Event::Admitted {
            route: req.matched.name.clone(),
            workspace: req.caller.as_ref().map(|caller| caller.workspace.clone()),
            urgency: req.urgency,
            left_ms: req.remaining().as_millis() as u64,
            confirmed_ms: age_ms,
        });
        self.cx.check_parts(&req)?;
        match self.cx.shutdown.may_wait(req.deadline) {
            true => Ok(req),
            false => Err(ForwardError::shutting_down(Duration::ZERO)),
        }
    }

    fn http_response(
        &self,
        result: Result<Response, ForwardError>,
        id: Option<&str>,
    ) -> HttpResponse<ResponseBody> {
        // The rest of the body is not read.
        let is_last = matches!(
            &result,
            Err(ForwardError::BodyTimeout
                | ForwardError::TooLarge
                | ForwardError::Refused {
                    reason: Refusal::NoMemory,
                    ..
                })
        );
        let (status, headers, body) = match result {
            Ok(Response::Whole(whole)) => (
                whole.status,
                whole.headers,
                ResponseBody::Whole(Some(whole.body)),
            ),
            Ok(Response::Streamed {
                status,
                headers,
                parts,
            }) => (status, headers, ResponseBody::Parts(BodyParts::new(parts))),
            Err(error) => {
                let mut headers = hyper::HeaderMap::new();
                if let ForwardError::Refused {
                    retry_after: Some(after),
                    ..
                } = &error
                {
                    let seconds = retry_after_value(*after);
                    headers.extend(HeaderValue::try_from(seconds).map(|v| (RETRY_AFTER, v)));
                }
                let name = (self.cx.dialect.id_header)();
                let id = id.and_then(|id| HeaderValue::from_str(id).ok());
                headers.extend(id.map(|id| (name, id)));
                (
                    error.status(),
                    headers,
                    ResponseBody::Whole(Some(error.body())),
                )
            }
        };
        let is_last = is_last || *self.draining.borrow();
        let mut response = HttpResponse::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if is_last {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// By how much the share of a large body grows, in bytes.
const RESERVED_STEP: usize = 64 << 10;

/// Returns what the head of a request takes in memory.
fn head_bytes(parts: &Parts) -> usize {
    let fields = parts.headers.iter();
    let text = fields.map(|(name, value)| name.as_str().len() + value.len());
    REQUEST_BYTES + parts.headers.len() * FIELD_BYTES + text.sum::<usize>()
}

/// Reads a body of at most `max_bytes` bytes within `memory`.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &BodyBudgets,
) -> Result<Bytes, ForwardError> {
    let no_memory = || ForwardError::retry_later(Refusal::NoMemory, request::RETRY_AFTER);
    // A declared size over the limit needs no byte of the body to be read.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ForwardError::TooLarge);
    }
    let mut blocks = Blocks::default();
    let mut reserved = 0;
    let mut share = memory.buffer();
    loop {
        let Some(frame) = body.frame().await else {
            return Ok(share.attach(blocks.into_vec().into()));
        };
        let frame = frame.map_err(|_| ForwardError::Malformed("the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = blocks.length() + data.len();
        if size > max_bytes {
            return Err(ForwardError::TooLarge);
        }
        // Grows in steps, so that bodies in small chunks do not come here for each of them.
        if size > reserved {
            reserved = match size <= SMALL_BODY_BYTES {
                true => size.next_power_of_two(),
                false => (size + RESERVED_STEP).min(max_bytes),
            };
            if !share.try_grow(reserved) {
                return Err(no_memory());
            }
        }
        blocks.append(&data);
    }
}
