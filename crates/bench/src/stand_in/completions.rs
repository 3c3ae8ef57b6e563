//! `POST /v1/completions` and `DELETE /v1/completions/{call}`: generations of an engine.

use std::{
    future::pending,
    io,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::{
    config::Kind,
    engine::{Finish, Reader},
    fault::Fault,
    journal::{CallIdentity, Event},
    reply::{Body, CALL_HEADER, Reply, channel_body, header, json_reply, problem, set_header},
    shared::Shared,
    stage::{call_identity, is_expired},
};

/// Token limit of a call without `max_tokens`.
const MAX_TOKENS: u32 = 256;

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Resume {
    call: String,
    offset: u64,
}

type FrameSender = mpsc::Sender<io::Result<Frame<Bytes>>>;

pub(crate) fn post(shared: &Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Reply {
    let text = String::from_utf8_lossy(body);
    let identity = call_identity(headers, &text);
    let refuse = |status, reason: &str| {
        let reason = reason.to_owned();
        let reply = problem(status, &identity.call, &reason, true);
        shared.journal.add(&identity, Event::Refused { reason });
        Ok(reply)
    };
    let Ok(req) = serde_json::from_str::<Completion>(&text) else {
        return refuse(StatusCode::BAD_REQUEST, "the body is no completion");
    };
    if shared.cfg.kind != Kind::Engine {
        return refuse(StatusCode::NOT_FOUND, "not an engine");
    }
    let fault = shared.faults.next_for_call();
    match fault {
        Fault::Refuse | Fault::RetryAfter(_) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "told to refuse");
        }
        _ if is_expired(headers) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no time left");
        }
        _ if !shared.orders.serves(&req.model) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "model is not loaded");
        }
        _ => {}
    }
    let Some((reader, offset)) = open(shared, headers, &identity, &req) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "queue is full");
    };
    Ok(respond(
        shared, &identity, fault, reader, offset, req.stream,
    ))
}

/// Returns the generation to read and the byte offset to start at, or `None` if the queue is full.
///
/// A resumed call that is unknown here ran on another engine: its text is a pure function of the
/// prompt, so it is generated again.
fn open(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    identity: &CallIdentity,
    req: &Completion,
) -> Option<(Reader, u64)> {
    let engine = shared.engine.as_ref()?;
    let offset = req.resume.as_ref().map_or(0, |resume| resume.offset);
    let resumed = req.resume.as_ref();
    if let Some(reader) = resumed.and_then(|r| engine.resume(&r.call, r.offset)) {
        return Some((reader, offset));
    }
    let from_header = header(headers, "jujube-priority").and_then(|text| text.parse().ok());
    let priority = req.priority.or(from_header).unwrap_or(0);
    let max_tokens = req.max_tokens.unwrap_or(MAX_TOKENS);
    let reader = engine.submit(identity.clone(), &req.prompt, max_tokens, priority)?;
    Some((reader, offset))
}

fn respond(
    shared: &Arc<Shared>,
    identity: &CallIdentity,
    fault: Fault,
    reader: Reader,
    offset: u64,
    stream: bool,
) -> Response<Body> {
    let (tx, body) = channel_body();
    let in_flight = shared.track_call();
    let content_type = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    tokio::spawn(async move {
        let _in_flight = in_flight;
        tokio::select! {
            () = tx.closed() => {}
            () = send_stream(&tx, fault, &reader, offset), if stream => {}
            () = send_json(&tx, fault, &reader), if !stream => {}
        }
    });
    let call = match fault {
        Fault::WrongCallId => uuid::Uuid::now_v7().to_string(),
        _ => identity.call.clone(),
    };
    let mut res = Response::new(body);
    set_header(res.headers_mut(), "content-type", content_type);
    set_header(res.headers_mut(), CALL_HEADER, &call);
    res
}

async fn send_json(tx: &FrameSender, fault: Fault, reader: &Reader) {
    let mut progress = reader.0.progress.subscribe();
    let ended = progress.wait_for(|p| p.finish.is_some()).await;
    let Some(Finish::Stop) = ended.ok().and_then(|p| p.finish) else {
        return abort(tx, "cancelled").await;
    };
    match fault {
        Fault::FailEvery(_) | Fault::CloseEarly => return abort(tx, "told to close").await,
        Fault::Stall => return pending().await,
        _ => {}
    }
    let text = reader.0.tokens.concat();
    let value = json!({
        "choices": [{ "text": text, "finish_reason": "stop" }],
        "usage": usage(reader),
    });
    // Fails only if the caller has disconnected.
    let _ = tx.send(Ok(Frame::data(value.to_string().into()))).await;
}

/// Sends the text from byte `offset` on, one chunk per token, then `[DONE]`.
async fn send_stream(tx: &FrameSender, fault: Fault, reader: &Reader, offset: u64) {
    let tokens = &reader.0.tokens;
    let halfway = tokens.len() / 2;
    let mut progress = reader.0.progress.subscribe();
    let mut end = 0_u64;
    for (i, token) in tokens.iter().enumerate() {
        let reached = progress
            .wait_for(|p| p.emitted > i || p.finish.is_some())
            .await;
        let is_emitted = reached.is_ok_and(|p| p.emitted > i);
        if !is_emitted {
            return abort(tx, "cancelled").await;
        }
        let start = end;
        end += token.len() as u64;
        if end <= offset {
            continue;
        }
        let skipped = offset.saturating_sub(start) as usize;
        let Some(text) = token.get(skipped..) else {
            return abort(tx, "the offset is not on a character boundary").await;
        };
        match fault {
            Fault::FailEvery(_) if i >= halfway => {
                return send_event(tx, &json!({ "error": { "message": "told to fail" } })).await;
            }
            Fault::Stall if i >= halfway => return pending().await,
            Fault::CloseEarly if i >= halfway => return abort(tx, "told to close early").await,
            Fault::DropChunk if i == halfway => continue,
            _ => {}
        }
        let chunk = chunk(reader, start + skipped as u64, text, i + 1 == tokens.len());
        if fault == Fault::DuplicateChunk {
            send_event(tx, &chunk).await;
        }
        send_event(tx, &chunk).await;
    }
    let _ = tx.send(Ok(Frame::data("data: [DONE]\n\n".into()))).await;
}

fn chunk(reader: &Reader, offset: u64, text: &str, is_last: bool) -> Value {
    let finish_reason = is_last.then_some("stop");
    let mut value = json!({
        "offset": offset,
        "choices": [{ "text": text, "finish_reason": finish_reason }],
    });
    if is_last {
        value["usage"] = usage(reader);
    }
    value
}

fn usage(reader: &Reader) -> Value {
    json!({
        "prompt_tokens": reader.0.prompt_tokens,
        "completion_tokens": reader.0.tokens.len(),
        "prompt_tokens_details": { "cached_tokens": reader.0.reused.load(Ordering::SeqCst) },
    })
}

async fn send_event(tx: &FrameSender, value: &Value) {
    let event = format!("data: {value}\n\n");
    // Fails only if the caller has disconnected.
    let _ = tx.send(Ok(Frame::data(event.into()))).await;
}

async fn abort(tx: &FrameSender, reason: &'static str) {
    let _ = tx.send(Err(io::Error::other(reason))).await;
}

pub(crate) fn delete(shared: &Arc<Shared>, path: &str, call: &str) -> Response<Body> {
    let target = path.strip_prefix("/v1/completions/").unwrap_or_default();
    let engine = shared.engine.as_ref();
    match engine.is_some_and(|engine| engine.cancel(target)) {
        true => json_reply(StatusCode::OK, call, &json!({ "cancelled": target })),
        false => problem(StatusCode::NOT_FOUND, call, "no such call", false),
    }
}
