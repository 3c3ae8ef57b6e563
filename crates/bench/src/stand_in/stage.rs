//! `POST /v1/stages/{service}`: one call of a pool or plain service.

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
    journal::{CallName, Event},
    reply::{CALL, Cut, Reply, header, json_reply, problem, streamed},
    shared::Shared,
};
use crate::output::{digest, find_subject, stage_output};

/// The body of a stage call.
#[derive(Debug, Deserialize)]
struct StageCall {
    input: Value,
    #[serde(default)]
    previous: Value,
}

/// The names of a call for the journal.
pub(crate) fn call_name(headers: &HeaderMap, body: &str) -> CallName {
    let text = |name| header(headers, name).map(str::to_owned);
    CallName {
        call: text(CALL).unwrap_or_default(),
        subject: find_subject(body).map(str::to_owned),
        key: text("idempotency-key"),
    }
}

/// Whether the call's remaining time is over.
pub(crate) fn is_late(headers: &HeaderMap) -> bool {
    let remaining = header(headers, "jujube-deadline-ms");
    remaining.and_then(|ms| ms.parse().ok()) == Some(0_u64)
}

pub(crate) async fn post(shared: &Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Reply {
    let text = String::from_utf8_lossy(body);
    let name = call_name(headers, &text);
    let refuse = |status, reason: &str| {
        let reason = reason.to_owned();
        let reply = problem(status, &name.call, &reason, true);
        shared.journal.add(&name, Event::Refused { reason });
        Ok(reply)
    };
    let Ok(call) = serde_json::from_str::<StageCall>(&text) else {
        return refuse(StatusCode::BAD_REQUEST, "the body is no stage call");
    };
    let fault = shared.faults.next();
    let waiting = shared.waiting.load(Ordering::SeqCst);
    match fault {
        Fault::Refuse | Fault::Pause(_) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "told to refuse");
        }
        _ if is_late(headers) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no time left");
        }
        _ if waiting >= shared.cfg.queue_limit => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "queue is full");
        }
        _ => {}
    }
    let output = run(shared, &name, call, fault).await;
    reply(&name, fault, &output).await
}

/// Runs the call. A plain service goes on when its caller hangs up; a pool stops there.
async fn run(shared: &Arc<Shared>, name: &CallName, call: StageCall, fault: Fault) -> Value {
    let work = work(Arc::clone(shared), name.clone(), call, fault);
    if shared.cfg.kind == Kind::Plain {
        return tokio::spawn(work).await.unwrap_or_default();
    }
    work.await
}

async fn work(shared: Arc<Shared>, name: CallName, call: StageCall, fault: Fault) -> Value {
    let _in_flight = shared.enter();
    let waiting = Waiting::new(&shared);
    let permit = shared.slots.acquire().await;
    drop(waiting);
    let mut running = RunningCall::new(&shared, &name);
    sleep(shared.service_time()).await;
    drop(permit);
    let output = stage_output(&shared.cfg.service, &call.input, &call.previous);
    running.end(fault, &output);
    output
}

async fn reply(name: &CallName, fault: Fault, output: &Value) -> Reply {
    let body = json!({ "output": output });
    match fault {
        Fault::FailEvery(_) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Ok(problem(status, &name.call, "told to fail", false))
        }
        Fault::Stall => pending().await,
        Fault::CloseEarly => close_early(name, &body),
        Fault::WrongCall => {
            let other = uuid::Uuid::now_v7().to_string();
            Ok(json_reply(StatusCode::OK, &other, &body))
        }
        _ => Ok(json_reply(StatusCode::OK, &name.call, &body)),
    }
}

/// Half of the answer with a length that promises all of it, or none at all.
fn close_early(name: &CallName, body: &Value) -> Reply {
    let text = body.to_string();
    if text.len().is_multiple_of(2) {
        return Err(Cut);
    }
    let (tx, stream) = streamed();
    let half = Bytes::from(text[..text.floor_char_boundary(text.len() / 2)].to_owned());
    tokio::spawn(async move {
        // The receiver is gone only where the caller hung up first.
        let _ = tx.send(Ok(hyper::body::Frame::data(half))).await;
        sleep(Duration::from_millis(5)).await;
        let _ = tx.send(Err(io::Error::other("told to close early"))).await;
    });
    let mut res = json_reply(StatusCode::OK, &name.call, &json!(null));
    *res.body_mut() = stream;
    Ok(res)
}

/// Counts a call as waiting until dropped.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.waiting.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A call that runs; dropped before its end, it counts as cancelled.
struct RunningCall<'a> {
    shared: &'a Shared,
    name: &'a CallName,
    since: Instant,
    ended: bool,
}

impl<'a> RunningCall<'a> {
    fn new(shared: &'a Shared, name: &'a CallName) -> Self {
        shared.journal.add(name, Event::Started);
        Self {
            shared,
            name,
            since: Instant::now(),
            ended: false,
        }
    }

    fn busy_us(&self) -> u64 {
        self.since.elapsed().as_micros() as u64
    }

    fn end(&mut self, fault: Fault, output: &Value) {
        self.ended = true;
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
        self.shared.journal.add(self.name, event);
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let event = Event::Cancelled {
            busy_us: self.busy_us(),
            tokens: 0,
        };
        self.shared.journal.add(self.name, event);
    }
}
