//! Serves complete responses. They are read to their end before any part is forwarded.

use std::{future::pending, sync::Arc};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::{HeaderMap, StatusCode};
use logs::{Event, SilenceOutcome};
use tokio::time::{Instant, sleep_until};

use crate::{
    attempts::{self, AttemptFailure, AttemptLog, PreparedCall, may_repeat, next_call, next_step},
    blocked_parts::CallEnd,
    call::CallError,
    error::ForwardError,
    fleet::Target,
    request::{ANSWER_MARGIN, Context, MAX_ANSWER_BYTES, Request},
    response::{Response, WholeResponse},
    stages::Results,
    successor::{NoSuccessor, RECHECK_INTERVAL, prepare_successor},
};

/// A complete response of an endpoint.
#[derive(Debug)]
struct Answer {
    endpoint: String,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    is_good: bool,
}

/// Result of one call.
type CallResult = Result<Answer, AttemptFailure>;

/// A call in flight.
#[derive(Debug)]
struct Running {
    target: Arc<Target>,
    started_at: Instant,
    /// True if another endpoint was sought because this one is silent.
    is_silent: bool,
    /// True if its silence was recorded.
    is_recorded: bool,
}

/// The calls of one request.
struct Calls<'a> {
    cx: &'a Context,
    req: &'a Request,
    /// Calls in flight, in the order of their start.
    running: Vec<Running>,
    /// When another endpoint is sought; `None` if none can take over.
    seek_at: Option<Instant>,
    /// A failed response, forwarded if no other call succeeds.
    failed: Option<Answer>,
}

/// Serves a complete response. A repeatable request is sent to a second endpoint after half of the
/// time left, while the first call is kept; the first good response ends the other call.
pub(crate) async fn serve_whole(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
) -> Result<Response, ForwardError> {
    let mut calls = Calls {
        cx,
        req,
        running: Vec::new(),
        seek_at: None,
        failed: None,
    };
    let mut results = FuturesUnordered::new();
    loop {
        if results.is_empty() {
            let call = match next_call(cx, req, inputs, attempts, None).await {
                Ok(call) => call,
                Err(e) => return calls.give_up(e, attempts),
            };
            calls.start(&call);
            results.push(run(cx, req, call));
        }
        tokio::select! {
            biased;
            Some((target, result)) = results.next() => {
                if let Some(end) = calls.finish(&target, result, attempts) {
                    return end;
                }
            }
            () = sleep_until(req.deadline - ANSWER_MARGIN) => {
                let why = "no answer came in time";
                calls.record_silences(&calls.running, SilenceOutcome::Deadline, why);
                return calls.give_up(ForwardError::DeadlineExceeded, attempts);
            }
            sought = seek(cx, req, inputs, attempts, calls.seek_at) => match sought {
                Ok(call) => {
                    calls.mark_silent();
                    calls.start(&call);
                    results.push(run(cx, req, call));
                }
                Err(reason) => calls.keep(&reason),
            },
        }
    }
}

/// Sends a call and reads its response.
async fn run(cx: &Context, req: &Request, call: PreparedCall) -> (Arc<Target>, CallResult) {
    let target = Arc::clone(&call.flight.target);
    let started = match attempts::send(cx, req, call, req.deadline).await {
        Ok(started) => started,
        Err(failure) => return (target, Err(failure)),
    };
    let (exchange, mut flight, is_good) = (started.exchange, started.flight, started.is_good);
    let (status, headers) = (exchange.status, exchange.headers.clone());
    let ends_with_connection = exchange.ends_with_connection();
    let read = exchange.read_body(&cx.pool, &cx.memory, MAX_ANSWER_BYTES, req.deadline);
    let body = match read.await {
        Ok(body) => body,
        Err(e) => {
            cx.fleet
                .record_call_result(&target, e != CallError::NoMemory);
            req.record_failed_call(&flight, &e);
            cx.record_lost(&flight, req, &e, CallEnd::Broken);
            return (target, Err(AttemptFailure::Lost(e)));
        }
    };
    flight.record_first_part(None);
    cx.metrics.record_first_part(&req.service, flight.elapsed());
    cx.fleet.record_call_result(&target, !is_good);
    cx.record_complete(&flight, req, ends_with_connection, is_good);
    let answer = Answer {
        endpoint: target.name.clone(),
        status,
        headers,
        body,
        is_good,
    };
    (target, Ok(answer))
}

/// Chooses another endpoint at the time `at`.
async fn seek(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    at: Option<Instant>,
) -> Result<PreparedCall, NoSuccessor> {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
    prepare_successor(cx, req, inputs, attempts, None).await
}

impl Calls<'_> {
    /// Records that `call` starts, and reserves half of the time left for another one.
    fn start(&mut self, call: &PreparedCall) {
        let now = Instant::now();
        self.running.push(Running {
            target: Arc::clone(&call.flight.target),
            started_at: now,
            is_silent: false,
            is_recorded: false,
        });
        let is_repeatable = self.req.is_repeatable();
        self.seek_at = is_repeatable.then(|| now + self.req.remaining() / 2);
    }

    /// Records the end of a call. Returns the end of the request, if this is it.
    fn finish(
        &mut self,
        target: &Arc<Target>,
        result: CallResult,
        attempts: &mut AttemptLog,
    ) -> Option<Result<Response, ForwardError>> {
        let is_ended = |call: &Running| Arc::ptr_eq(&call.target, target);
        let earlier = self.running.iter().take_while(|call| !is_ended(call));
        let earlier = earlier.count();
        self.running.retain(|call| !is_ended(call));
        let is_last = self.running.is_empty();
        match result {
            Ok(answer) if answer.is_good => {
                attempts.settle_dropped(self.cx, &self.req.service);
                let why = "another endpoint responded first";
                self.record_silences(&self.running[..earlier], SilenceOutcome::Overtaken, why);
                return Some(self.forward(answer, attempts));
            }
            Ok(answer) if is_last && !may_repeat(self.cx, self.req, attempts) => {
                return Some(self.forward(answer, attempts));
            }
            Ok(answer) => {
                self.failed = Some(answer);
                self.seek_again(Instant::now());
            }
            Err(failure) => {
                attempts.settle(&target.name, &failure);
                if is_last {
                    let next = next_step(self.cx, self.req, attempts, &failure);
                    return next.err().map(|e| self.give_up(e, attempts));
                }
                match failure {
                    AttemptFailure::Unreached => {
                        attempts.has_unused_retry = true;
                        self.seek_again(Instant::now());
                    }
                    AttemptFailure::InputsGone => self.seek_at = None,
                    AttemptFailure::NotRun | AttemptFailure::Lost(_) => {
                        self.seek_again(Instant::now() + RECHECK_INTERVAL);
                    }
                }
            }
        }
        None
    }

    fn seek_again(&mut self, at: Instant) {
        self.seek_at = self.seek_at.map(|_| at);
    }

    /// Ends the request with a failed response that was kept, or with `e`.
    fn give_up(
        &mut self,
        e: ForwardError,
        attempts: &AttemptLog,
    ) -> Result<Response, ForwardError> {
        match self.failed.take() {
            Some(answer) => self.forward(answer, attempts),
            None => Err(e),
        }
    }

    fn forward(&self, answer: Answer, attempts: &AttemptLog) -> Result<Response, ForwardError> {
        if !answer.is_good {
            self.req.check_failure(answer.status, &answer.endpoint)?;
        }
        let status = answer.status.as_u16();
        self.req
            .log_end(answer.is_good, status, &answer.endpoint, attempts);
        Ok(Response::Whole(WholeResponse {
            status: answer.status,
            headers: (self.cx.dialect.answer_headers)(&answer.headers),
            body: answer.body,
        }))
    }

    /// Marks the calls in flight as silent.
    fn mark_silent(&mut self) {
        for call in &mut self.running {
            call.is_silent = true;
        }
    }

    /// Notes when to look again for another endpoint. Each silence is recorded once.
    fn keep(&mut self, reason: &NoSuccessor) {
        self.mark_silent();
        self.seek_at = match reason {
            NoSuccessor::Never(_) => None,
            NoSuccessor::NotNow(_) => Some(Instant::now() + RECHECK_INTERVAL),
        };
        for call in self.running.iter_mut().filter(|call| !call.is_recorded) {
            call.is_recorded = true;
            record_silence(self.cx, self.req, call, SilenceOutcome::Kept, reason.why());
        }
    }

    /// Records that those of `calls` that are silent end without a response, as failures of their endpoints.
    fn record_silences(&self, calls: &[Running], outcome: SilenceOutcome, why: &str) {
        for call in calls.iter().filter(|call| call.is_silent) {
            self.cx.fleet.record_call_result(&call.target, true);
            record_silence(self.cx, self.req, call, outcome, why);
        }
    }
}

fn record_silence(cx: &Context, req: &Request, call: &Running, outcome: SilenceOutcome, why: &str) {
    cx.metrics.record_silence(&req.service, outcome);
    req.log.note(Event::Silent {
        endpoint: call.target.name.clone(),
        outcome,
        why: why.to_owned(),
        silent_ms: call.started_at.elapsed().as_millis() as u64,
    });
}
