//! `POST /v1/completions` and its `DELETE`: streams of an engine.

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
    journal::{CallName, Event},
    reply::{Body, CALL, Reply, header, json_reply, problem, set, streamed},
    shared::Shared,
    stage::{call_name, is_late},
};

/// Token limit of a call that names none.
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

type Chunks = mpsc::Sender<io::Result<Frame<Bytes>>>;

pub(crate) fn post(shared: &Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Reply {
    let text = String::from_utf8_lossy(body);
    let name = call_name(headers, &text);
    let refuse = |status, reason: &str| {
        let reason = reason.to_owned();
        let reply = problem(status, &name.call, &reason, true);
        shared.journal.add(&name, Event::Refused { reason });
        Ok(reply)
    };
    let Ok(req) = serde_json::from_str::<Completion>(&text) else {
        return refuse(StatusCode::BAD_REQUEST, "the body is no completion");
    };
    if shared.cfg.kind != Kind::Engine {
        return refuse(StatusCode::NOT_FOUND, "not an engine");
    }
    let fault = shared.faults.next();
    match fault {
        Fault::Refuse | Fault::RetryAfter(_) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "told to refuse");
        }
        _ if is_late(headers) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no time left");
        }
        _ if !shared.orders.serves(&req.model) => {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "model is not loaded");
        }
        _ => {}
    }
    let Some((reader, offset)) = open(shared, headers, &name, &req) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "queue is full");
    };
    Ok(respond(shared, &name, fault, reader, offset, req.stream))
}

/// The generation to read and the offset to read it from. A call to resume that is not known here
/// ran on another engine; it is generated anew, which gives the same text.
fn open(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    name: &CallName,
    req: &Completion,
) -> Option<(Reader, u64)> {
    let engine = shared.engine.as_ref()?;
    let offset = req.resume.as_ref().map_or(0, |resume| resume.offset);
    let known = req.resume.as_ref();
    if let Some(reader) = known.and_then(|r| engine.resume(&r.call, r.offset)) {
        return Some((reader, offset));
    }
    let asked = header(headers, "jujube-priority").and_then(|text| text.parse().ok());
    let priority = req.priority.or(asked).unwrap_or(0);
    let max_tokens = req.max_tokens.unwrap_or(MAX_TOKENS);
    let reader = engine.submit(name.clone(), &req.prompt, max_tokens, priority)?;
    Some((reader, offset))
}

fn respond(
    shared: &Arc<Shared>,
    name: &CallName,
    fault: Fault,
    reader: Reader,
    offset: u64,
    stream: bool,
) -> Response<Body> {
    let (tx, body) = streamed();
    let in_flight = shared.enter();
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
            () = send_whole(&tx, fault, &reader), if !stream => {}
        }
    });
    let call = match fault {
        Fault::WrongCallId => uuid::Uuid::now_v7().to_string(),
        _ => name.call.clone(),
    };
    let mut res = Response::new(body);
    set(res.headers_mut(), "content-type", content_type);
    set(res.headers_mut(), CALL, &call);
    res
}

async fn send_whole(tx: &Chunks, fault: Fault, reader: &Reader) {
    let mut progress = reader.0.progress.subscribe();
    let ended = progress.wait_for(|p| p.finish.is_some()).await;
    let Some(Finish::Stop) = ended.ok().and_then(|p| p.finish) else {
        return cut(tx, "cancelled").await;
    };
    match fault {
        Fault::FailEvery(_) | Fault::CloseEarly => return cut(tx, "told to close").await,
        Fault::Stall => return pending().await,
        _ => {}
    }
    let text = reader.0.tokens.concat();
    let value = json!({
        "choices": [{ "text": text, "finish_reason": "stop" }],
        "usage": usage(reader),
    });
    // The receiver is gone only where the caller hung up.
    let _ = tx.send(Ok(Frame::data(value.to_string().into()))).await;
}

/// Sends the text from byte `offset` on, a chunk a token, then `[DONE]`.
async fn send_stream(tx: &Chunks, fault: Fault, reader: &Reader, offset: u64) {
    let tokens = &reader.0.tokens;
    let half = tokens.len() / 2;
    let mut progress = reader.0.progress.subscribe();
    let mut at = 0_u64;
    for (i, token) in tokens.iter().enumerate() {
        let reached = progress
            .wait_for(|p| p.emitted > i || p.finish.is_some())
            .await;
        let is_emitted = reached.is_ok_and(|p| p.emitted > i);
        if !is_emitted {
            return cut(tx, "cancelled").await;
        }
        let start = at;
        at += token.len() as u64;
        if at <= offset {
            continue;
        }
        let skipped = offset.saturating_sub(start) as usize;
        let Some(text) = token.get(skipped..) else {
            return cut(tx, "the offset lies inside a character").await;
        };
        match fault {
            Fault::FailEvery(_) if i >= half => {
                return send(tx, &json!({ "error": { "message": "told to fail" } })).await;
            }
            Fault::Stall if i >= half => return pending().await,
            Fault::CloseEarly if i >= half => return cut(tx, "told to close early").await,
            Fault::DropChunk if i == half => continue,
            _ => {}
        }
        let chunk = chunk(reader, start + skipped as u64, text, i + 1 == tokens.len());
        if fault == Fault::DuplicateChunk {
            send(tx, &chunk).await;
        }
        send(tx, &chunk).await;
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

async fn send(tx: &Chunks, value: &Value) {
    let event = format!("data: {value}\n\n");
    // The receiver is gone only where the caller hung up.
    let _ = tx.send(Ok(Frame::data(event.into()))).await;
}

async fn cut(tx: &Chunks, why: &'static str) {
    let _ = tx.send(Err(io::Error::other(why))).await;
}

pub(crate) fn delete(shared: &Arc<Shared>, path: &str, call: &str) -> Response<Body> {
    let target = path.strip_prefix("/v1/completions/").unwrap_or_default();
    let engine = shared.engine.as_ref();
    match engine.is_some_and(|engine| engine.cancel(target)) {
        true => json_reply(StatusCode::OK, call, &json!({ "cancelled": target })),
        false => problem(StatusCode::NOT_FOUND, call, "no such call", false),
    }
}
