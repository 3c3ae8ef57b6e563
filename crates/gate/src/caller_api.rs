//! HTTP API for callers.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derives::record;
use host::problem::{Outcome, Problem};
use link::keeper::{LedgerEntry, Output, Settlement};
use salvo::{
    handler,
    http::{ResBody, StatusCode, header::HeaderValue},
    prelude::{Request, Response},
};
use serde_json::value::RawValue;
use tokio::{
    sync::mpsc,
    time::{Duration, timeout_at},
};

use crate::{
    error::CallError,
    gate::Gate,
    pipeline::{self, Answer},
    refusal::{refusal, without_promise},
    request::{self, CallerRequest, parse_key},
    request_log,
    sse::write_event,
    stream::{self, EventSink, Part},
};

/// Limit on looking up a key in the ledger.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler of `POST /v1/pipelines/{pipeline}`.
#[derive(Debug)]
pub(crate) struct Pipelines(pub(crate) Arc<Gate>);

#[handler]
impl Pipelines {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let gate = &self.0;
        let in_flight = gate.inflight.track();
        let read = tokio::select! {
            biased;
            () = gate.shutdown.responses_due() => Err(shutting_down()),
            read = request::read(gate, req) => read,
        };
        let request = match read {
            Ok(request) => request,
            Err(problem) => {
                if problem.status == 413 || problem.status == 408 || gate.is_draining() {
                    // The rest of the body is not read.
                    close_connection(res);
                }
                request_log::log_refused(&problem);
                return without_promise(problem, req.headers()).render(res);
            }
        };
        echo_request_id(res, &request.id);
        match request.is_streamed {
            true => answer_stream(gate, request, in_flight, res).await,
            false => answer_whole(gate, request, in_flight, res).await,
        }
        if gate.is_draining() {
            close_connection(res);
        }
    }
}

/// Runs the request to its end. A request with a key continues in its own task when the caller
/// disconnects; any other ends with the caller's connection.
async fn answer_whole(
    gate: &Arc<Gate>,
    request: CallerRequest,
    in_flight: crate::inflight::InFlightGuard,
    res: &mut Response,
) {
    let hangup = HangupCounter::new(gate);
    let result = match request.key {
        Some(_) => {
            let gate = Arc::clone(gate);
            let task = tokio::spawn(async move {
                let _in_flight = in_flight;
                pipeline::run(gate, request, None).await
            });
            task.await.unwrap_or_else(|_| Err(task_failed()))
        }
        None => {
            let _in_flight = in_flight;
            pipeline::run(Arc::clone(gate), request, None).await
        }
    };
    hangup.answered();
    match result {
        Ok(answer) => render(res, &answer),
        Err(problem) => problem.render(res),
    }
}

/// Responds with an event stream. A failure before the first event is returned with its own status.
async fn answer_stream(
    gate: &Arc<Gate>,
    request: CallerRequest,
    in_flight: crate::inflight::InFlightGuard,
    res: &mut Response,
) {
    let outlives_caller = request.key.is_some();
    let (sink, mut rx) = stream::channel(outlives_caller);
    let task_gate = Arc::clone(gate);
    tokio::spawn(async move {
        let _in_flight = in_flight;
        stream_events(task_gate, request, sink).await;
    });
    // If the request ends with the caller's connection, `stream_events` counts the hang-up.
    let hangup = outlives_caller.then(|| HangupCounter::new(gate));
    let first = rx.recv().await;
    if let Some(hangup) = hangup {
        hangup.answered();
    }
    match first {
        Some(Part::Events(first)) => render_events(res, first, rx),
        Some(Part::Failed(problem)) => problem.render(res),
        None => task_failed().render(res),
    }
}

async fn stream_events(gate: Arc<Gate>, request: CallerRequest, sink: EventSink) {
    let deadline = request.deadline;
    let metrics = gate.metrics.clone();
    let result = tokio::select! {
        result = pipeline::run(gate, request, Some(&sink)) => result,
        () = sink.caller_disconnected() => return metrics.record_hangup(),
    };
    let last = async {
        match result {
            Ok(answer) => {
                let mut out = BytesMut::new();
                write_event(&mut out, "done", &answer);
                let sent: Result<(), CallError> = sink.send(out.freeze()).await;
                // The caller may have disconnected.
                drop(sent);
            }
            Err(problem) => sink.fail(problem).await,
        }
    };
    // A caller that does not read must not keep the request alive.
    let _ = timeout_at(deadline + LAST_EVENT_GRACE, last).await;
}

/// How long after the deadline the last event may wait for a slow caller.
const LAST_EVENT_GRACE: Duration = Duration::from_secs(5);

fn render_events(res: &mut Response, first: Bytes, rx: mpsc::Receiver<Part>) {
    let headers = res.headers_mut();
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    res.body(ResBody::stream(stream::body(first, rx)));
}

fn render(res: &mut Response, answer: &Answer) {
    let json = serde_json::to_vec(answer).unwrap_or_default();
    json_body(res, json);
}

/// Sets a 200 response with a JSON body.
pub(crate) fn json_body(res: &mut Response, json: Vec<u8>) {
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    res.status_code(StatusCode::OK);
    res.body(ResBody::Once(json.into()));
}

fn echo_request_id(res: &mut Response, id: &str) {
    if let Ok(id) = HeaderValue::from_str(id) {
        res.headers_mut().insert("jujube-request", id);
    }
}

fn shutting_down() -> Box<Problem> {
    let detail = "the gate shuts down before the request has arrived; send it to another one";
    refusal(503, "not-run", "Not run", detail)
}

fn close_connection(res: &mut Response) {
    res.headers_mut()
        .insert("connection", HeaderValue::from_static("close"));
}

/// The request's task ended without a result, so whether its calls ran is unknown.
fn task_failed() -> Box<Problem> {
    let detail = "the request's task ended unexpectedly; see the gate's log";
    let mut problem = Problem::new(502, "unknown", "Outcome unknown", detail);
    problem.outcome = Some(Outcome::Unknown);
    Box::new(problem)
}

/// Counts a hang-up when dropped before the response is ready.
struct HangupCounter<'a> {
    gate: &'a Gate,
    is_answered: bool,
}

impl<'a> HangupCounter<'a> {
    fn new(gate: &'a Gate) -> Self {
        Self {
            gate,
            is_answered: false,
        }
    }

    fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for HangupCounter<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.gate.metrics.record_hangup();
        }
    }
}

/// Handler of `GET /v1/requests/{key}`.
#[derive(Debug)]
pub(crate) struct Requests(pub(crate) Arc<Gate>);

/// The ledger's entry for a key, as returned to the caller.
#[record]
struct LedgerEntryReply {
    key: String,
    state: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    output_bytes: Option<u64>,
}

#[derive(serde::Serialize)]
struct EntryWithOutput<'a> {
    #[serde(flatten)]
    entry: LedgerEntryReply,
    output: &'a RawValue,
}

#[handler]
impl Requests {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let text = req.params().get("key").cloned().unwrap_or_default();
        let Some(key) = parse_key(&text) else {
            let detail = "the key must be a UUIDv7";
            return refusal(400, "bad-key", "Bad idempotency key", detail).render(res);
        };
        match self.0.ledger.lookup(key, LOOKUP_TIMEOUT).await {
            Ok(LedgerEntry::Absent) => {
                let detail = "the ledger has no entry for this key; it may be used";
                Problem::new(404, "no-entry", "No entry", detail).render(res);
            }
            Ok(LedgerEntry::TooOld) => {
                let detail = "the key is too old for the ledger";
                Problem::new(410, "key-too-old", "Key too old", detail).render(res);
            }
            Ok(entry) => render_entry(res, key, entry),
            Err(e) => {
                let mut problem = Problem::new(503, "no-quorum", "Ledger not reachable", e);
                problem.retry_after_ms = Some(1_000);
                problem.render(res);
            }
        }
    }
}

fn render_entry(res: &mut Response, key: uuid::Uuid, entry: LedgerEntry) {
    let mut out = LedgerEntryReply {
        key: key.to_string(),
        state: "settled".to_owned(),
        outcome: None,
        status: None,
        detail: None,
        output_bytes: None,
    };
    let mut whole = None;
    match entry {
        LedgerEntry::Settled(Settlement::Completed(output)) => {
            out.outcome = Some(Outcome::Completed);
            match output {
                Output::TooLarge(bytes) => out.output_bytes = Some(bytes),
                Output::Whole(bytes) => {
                    out.output_bytes = Some(bytes.len() as u64);
                    whole = serde_json::from_slice::<Box<RawValue>>(&bytes).ok();
                }
            }
        }
        LedgerEntry::Settled(Settlement::Released) => out.outcome = Some(Outcome::NotRun),
        LedgerEntry::Settled(Settlement::Refused { status, detail }) => {
            out.outcome = Some(Outcome::Failed);
            out.status = Some(status);
            out.detail = Some(detail);
        }
        LedgerEntry::Settled(Settlement::Unknown) => out.outcome = Some(Outcome::Unknown),
        LedgerEntry::InProgress | LedgerEntry::Absent | LedgerEntry::TooOld => {
            "in_progress".clone_into(&mut out.state);
        }
    }
    let json = match &whole {
        Some(output) => serde_json::to_vec(&EntryWithOutput { entry: out, output }),
        None => serde_json::to_vec(&out),
    };
    json_body(res, json.unwrap_or_default());
}
