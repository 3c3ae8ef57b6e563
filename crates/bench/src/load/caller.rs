//! A caller: sends a request, retries it with the same key where that is safe, and records each
//! attempt.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{Method, Response, body::Incoming};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{Arrival, key::idempotency_key, sse::SseParser};
use crate::{
    check::{Attempt, Outcome, Reply, Request},
    client::Client,
    stand_in::now_ms,
};

/// Time after the deadline during which a caller still waits for a response.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);
/// Minimum delay before a request with a key is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of attempts of a request with a key.
const MAX_ATTEMPTS: usize = 4;

/// Address at which callers reach a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateAddress {
    /// Name of the gate's VM.
    pub name: String,
    /// Base URL without a trailing slash.
    pub url: String,
}

/// Models the platform's load balancer: round-robin over the ready gates of an availability zone.
#[derive(Debug, Default)]
pub struct Balancer {
    gates: Mutex<BTreeMap<String, Vec<GateAddress>>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Sets the ready gates of `az`.
    pub fn set(&self, az: &str, gates: Vec<GateAddress>) {
        let mut all = self.gates.lock().expect("no panic under this lock");
        all.insert(az.to_owned(), gates);
    }

    fn pick(&self, az: &str) -> Option<GateAddress> {
        let all = self.gates.lock().expect("no panic under this lock");
        let gates = all.get(az).filter(|gates| !gates.is_empty())?;
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        Some(gates[n % gates.len()].clone())
    }
}

/// State and settings shared by all callers of a run.
#[derive(Debug)]
pub struct CallerConfig {
    /// Chooses a gate for each attempt.
    pub balancer: Balancer,
    /// HTTP client for all gates.
    pub client: Client,
    /// Time to which arrivals are relative.
    pub start: Instant,
    /// Seed of the idempotency keys.
    pub seed: u64,
    /// Deadline by pipeline.
    pub deadlines: BTreeMap<String, Duration>,
    /// Pipelines whose requests need an idempotency key.
    pub keyed_pipelines: Vec<String>,
}

/// A request whose attempts have ended.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// The request and its attempts, for the checker.
    pub request: Request,
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// True if it completed within its deadline.
    pub in_time: bool,
    /// Time from the intended start to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Times between successive tokens of a stream.
    pub token_gaps: Vec<Duration>,
}

#[derive(Debug, Default)]
struct TokenTimes {
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    token_gaps: Vec<Duration>,
}

/// Sends the request of `arrival` and retries it where that is safe. Latency and deadline count from
/// its intended start, even if it starts late.
pub async fn send_request(cfg: &CallerConfig, arrival: Arrival) -> FinishedRequest {
    let intended = cfg.start + arrival.at;
    let pipeline = arrival.traffic.pipeline;
    let deadline = cfg.deadlines.get(pipeline).copied().unwrap_or_default();
    let needs_key = cfg.keyed_pipelines.iter().any(|name| name == pipeline);
    let mut request = Request {
        subject: arrival.subject.clone(),
        pipeline: pipeline.to_owned(),
        key: needs_key.then(|| idempotency_key(cfg.seed, arrival.number).to_string()),
        input: arrival.input.clone(),
        attempts: Vec::new(),
    };
    let mut times = TokenTimes::default();
    let until = intended + deadline;
    loop {
        let attempt = attempt(cfg, &arrival, &request, until, &mut times).await;
        let told = attempt.reply.outcome;
        let requested_delay = Duration::from_millis(attempt.reply.retry_after_ms.unwrap_or(0));
        let delay = MIN_RETRY_DELAY.max(requested_delay);
        request.attempts.push(attempt);
        let is_open = matches!(
            told,
            Outcome::Disconnected | Outcome::NoReply | Outcome::Unknown | Outcome::NotRun
        );
        let may_retry = needs_key && is_open && request.attempts.len() < MAX_ATTEMPTS;
        if !may_retry || Instant::now() + delay >= until {
            break;
        }
        sleep(delay).await;
    }
    let latency = intended.elapsed();
    let last = request.attempts.last().map(|attempt| attempt.reply.outcome);
    FinishedRequest {
        request,
        latency,
        in_time: last == Some(Outcome::Completed) && latency <= deadline,
        first_token: times.first_token.map(|at| at - intended),
        token_gaps: times.token_gaps,
    }
}

async fn attempt(
    cfg: &CallerConfig,
    arrival: &Arrival,
    request: &Request,
    until: Instant,
    times: &mut TokenTimes,
) -> Attempt {
    let sent_ms = now_ms();
    let Some(gate) = cfg.balancer.pick(&arrival.az) else {
        return Attempt {
            gate: String::new(),
            sent_ms,
            ended_ms: sent_ms,
            reply: new_reply(Outcome::Disconnected, 0, "no gate is ready".to_owned()),
        };
    };
    let response = send_attempt(cfg, arrival, request, &gate, until, times);
    let reply = match timeout_at(until + RESPONSE_GRACE, response).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(e)) => new_reply(Outcome::Disconnected, 0, format!("{e:#}")),
        Err(_) => new_reply(Outcome::NoReply, 0, "no answer".to_owned()),
    };
    Attempt {
        gate: gate.name,
        sent_ms,
        ended_ms: now_ms(),
        reply,
    }
}

fn new_reply(outcome: Outcome, status: u16, detail: String) -> Reply {
    Reply {
        outcome,
        status,
        output: None,
        streamed: None,
        retry_after_ms: None,
        detail,
    }
}

async fn send_attempt(
    cfg: &CallerConfig,
    arrival: &Arrival,
    request: &Request,
    gate: &GateAddress,
    until: Instant,
    times: &mut TokenTimes,
) -> eyre::Result<Reply> {
    let remaining = until.saturating_duration_since(Instant::now());
    let remaining = remaining.as_millis().max(1).to_string();
    let mut headers = vec![
        ("content-type", "application/json"),
        ("jujube-workspace", arrival.traffic.workspace),
        ("jujube-deadline-ms", remaining.as_str()),
        ("jujube-request", request.subject.as_str()),
    ];
    if let Some(key) = &request.key {
        headers.push(("idempotency-key", key));
    }
    if arrival.traffic.streams {
        headers.push(("accept", "text/event-stream"));
    }
    let url = format!("{}/v1/pipelines/{}", gate.url, request.pipeline);
    let body = serde_json::to_vec(&json!({ "input": request.input }))?;
    let res = cfg.client.open(Method::POST, &url, &headers, body).await?;
    let content_type = res.headers().get("content-type");
    let is_stream = content_type.is_some_and(|t| t.as_bytes().starts_with(b"text/event-stream"));
    match is_stream {
        true => read_stream(res, times).await,
        false => read_response(res).await,
    }
}

async fn read_response(res: Response<Incoming>) -> eyre::Result<Reply> {
    let status = res.status().as_u16();
    let body = res.into_body().collect().await?.to_bytes();
    let value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(parse_reply(status, &value))
}

async fn read_stream(res: Response<Incoming>, times: &mut TokenTimes) -> eyre::Result<Reply> {
    let status = res.status().as_u16();
    let mut body = res.into_body();
    let mut parser = SseParser::default();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let bytes = frame.data_ref().map_or(&b""[..], |data| data);
        for event in parser.feed(bytes) {
            match event.name.as_str() {
                "token" => {
                    record_token_time(times);
                    append_token(&mut text, &event.data)?;
                }
                "done" => {
                    let mut reply = parse_reply(status, &event.data);
                    reply.streamed = Some(text);
                    return Ok(reply);
                }
                "error" => return Ok(parse_reply(500, &event.data)),
                _ => {}
            }
        }
    }
    Err(eyre::eyre!("the stream ended without done or error"))
}

fn record_token_time(times: &mut TokenTimes) {
    let now = Instant::now();
    match times.last_token.replace(now) {
        Some(last) => times.token_gaps.push(now - last),
        None => times.first_token = Some(now),
    }
}

/// Appends a token to `text`; fails on a repeated offset. A gap is filled with replacement
/// characters, so that the text differs from the expected output.
fn append_token(text: &mut String, data: &Value) -> eyre::Result<()> {
    let offset = data["offset"].as_u64().unwrap_or(u64::MAX);
    let piece = data["text"].as_str().unwrap_or_default();
    if offset < text.len() as u64 {
        return Err(eyre::eyre!("offset {offset} was sent before"));
    }
    let gap = (offset - text.len() as u64).min(64);
    text.extend((0..gap).map(|_| '\u{fffd}'));
    text.push_str(piece);
    Ok(())
}

fn parse_reply(status: u16, value: &Value) -> Reply {
    let told = parse_outcome(value["outcome"].as_str());
    let detail = match told {
        Outcome::Completed => String::new(),
        _ => format!("{}: {}", value["type"], value["detail"]),
    };
    let mut reply = new_reply(told, status, detail);
    reply.retry_after_ms = value["retry_after_ms"].as_u64();
    reply.output = (told == Outcome::Completed).then(|| value["output"].clone());
    reply
}

/// Parses the outcome field of a response.
pub(crate) fn parse_outcome(outcome: Option<&str>) -> Outcome {
    match outcome {
        Some("completed") => Outcome::Completed,
        Some("not_run") => Outcome::NotRun,
        Some("failed") => Outcome::Failed,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Error,
    }
}
