//! `POST /v1/stages/{service}`: calls of a pool or plain service.

use std::{
    future::pending,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{
    config::Kind,
    fault::Fault,
    journal::{CallIdentity, Event},
    reply::{CALL_HEADER, ConnectionCut, Reply, channel_body, header, json_reply, problem},
    shared::Shared,
};
use crate::output::{digest, find_subject, stage_output};

/// Body of a stage call.
#[derive(Debug, Deserialize)]
struct StageCall {
    input: Value,
    #[serde(default)]
    previous: Value,
}

/// Reads the identifiers of a call from its headers and body.
pub(crate) fn call_identity(headers: &HeaderMap, body: &str) -> CallIdentity {
    let text = |name| header(headers, name).map(str::to_owned);
    CallIdentity {
        call: text(CALL_HEADER).unwrap_or_default(),
        subject: find_subject(body).map(str::to_owned),
        key: text("idempotency-key"),
    }
}

/// Returns true if the call has no time remaining.
pub(crate) fn is_expired(headers: &HeaderMap) -> bool {
    let remaining = header(headers, "jujube-deadline-ms");
    remaining.and_then(|ms| ms.parse().ok()) == Some(0_u64)
}

pub(crate) async fn post(shared: &Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Reply {
    let text = String::from_utf8_lossy(body);
    let identity = call_identity(headers, &text);
    let refuse = |status, reason: &str| {
        let reason = reason.to_owned();
        let reply = problem(status, &identity.call, &reason, true);
        shared.journal.add(&identity, Event::Refused { reason });
        Ok(reply)
    };
    let Ok(call) = serde_json::from_str::<StageCall>(&text) else {
        return refuse(StatusCode::BAD_REQUEST, "the body is no stage call");
    };
    let fault = shared.faults.next_for_call();
    let waiting = shared.waiting.load(Ordering::SeqCst);
    match fault {
        Fault::Refuse | Fault::RetryAfter(_) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "told to refuse");
        }
        _ if is_expired(headers) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no time left");
        }
        _ if waiting >= shared.cfg.queue_limit => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "queue is full");
        }
        _ => {}
    }
    let output = run(shared, &identity, call, fault).await;
    reply(&identity, fault, &output).await
}

/// Runs the call. When the caller disconnects, a plain service continues and a pool stops.
async fn run(
    shared: &Arc<Shared>,
    identity: &CallIdentity,
    call: StageCall,
    fault: Fault,
) -> Value {
    let execution = execute(Arc::clone(shared), identity.clone(), call, fault);
    if shared.cfg.kind == Kind::Plain {
        return tokio::spawn(execution).await.unwrap_or_default();
    }
    execution.await
}

async fn execute(
    shared: Arc<Shared>,
    identity: CallIdentity,
    call: StageCall,
    fault: Fault,
) -> Value {
    let _in_flight = shared.track_call();
    let waiting_guard = WaitingGuard::new(&shared);
    let permit = shared.slots.acquire().await;
    drop(waiting_guard);
    let mut running = RunningCall::new(&shared, &identity);
    sleep(shared.service_time()).await;
    drop(permit);
    let output = stage_output(&shared.cfg.service, &call.input, &call.previous);
    running.finish(fault, &output);
    output
}

async fn reply(identity: &CallIdentity, fault: Fault, output: &Value) -> Reply {
    let body = json!({ "output": output });
    match fault {
        Fault::FailEvery(_) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Ok(problem(status, &identity.call, "told to fail", false))
        }
        Fault::Stall => pending().await,
        Fault::CloseEarly => close_early(identity, &body),
        Fault::WrongCallId => {
            let other = uuid::Uuid::now_v7().to_string();
            Ok(json_reply(StatusCode::OK, &other, &body))
        }
        _ => Ok(json_reply(StatusCode::OK, &identity.call, &body)),
    }
}

/// Closes the connection halfway through the body, or without a response if the body has an even
/// length, so that both cases occur.
fn close_early(identity: &CallIdentity, body: &Value) -> Reply {
    let text = body.to_string();
    if text.len().is_multiple_of(2) {
        return Err(ConnectionCut);
    }
    let (tx, stream) = channel_body();
    let half = Bytes::from(text[..text.floor_char_boundary(text.len() / 2)].to_owned());
    tokio::spawn(async move {
        // Fails only if the caller has disconnected.
        let _ = tx.send(Ok(hyper::body::Frame::data(half))).await;
        sleep(Duration::from_millis(5)).await;
        let _ = tx.send(Err(io::Error::other("told to close early"))).await;
    });
    let mut res = json_reply(StatusCode::OK, &identity.call, &json!(null));
    *res.body_mut() = stream;
    Ok(res)
}

/// Counts a call as waiting until dropped.
struct WaitingGuard<'a>(&'a Shared);

impl<'a> WaitingGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.waiting.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A running call; recorded as cancelled if dropped before `finish`.
struct RunningCall<'a> {
    shared: &'a Shared,
    identity: &'a CallIdentity,
    started_at: Instant,
    has_finished: bool,
}

impl<'a> RunningCall<'a> {
    fn new(shared: &'a Shared, identity: &'a CallIdentity) -> Self {
        shared.journal.add(identity, Event::Started);
        Self {
            shared,
            identity,
            started_at: Instant::now(),
            has_finished: false,
        }
    }

    fn busy_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    fn finish(&mut self, fault: Fault, output: &Value) {
        self.has_finished = true;
        let busy_us = self.busy_us();
        let event = match fault {
            Fault::FailEvery(_) => Event::Failed { busy_us },
            _ => Event::Finished {
                output_digest: digest(output.to_string().as_bytes()),
                busy_us,
                tokens: 0,
                reused: 0,
            },
        };
        self.shared.journal.add(self.identity, event);
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        if self.has_finished {
            return;
        }
        let event = Event::Cancelled {
            busy_us: self.busy_us(),
            tokens: 0,
        };
        self.shared.journal.add(self.identity, event);
    }
}
