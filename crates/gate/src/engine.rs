//! Adapter for model engines: `POST /v1/completions` with a stream of chunks that carry offsets.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use declaration::Service;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use uuid::Uuid;

use crate::{
    assembly::{Assembly, ChunkResult},
    error::CallError,
    exchange::{Call, Exchange},
    lag::LagDetector,
    sse::{EventReader, write_event},
    stream::EventSink,
};

/// Most bytes of a stream without a complete data line.
const MAX_BYTES_WITHOUT_DATA: usize = 1 << 20;
const DONE: &[u8] = b"[DONE]";

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<Resume>,
}

/// Position at which a stream is resumed.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Resume {
    /// The call whose stream was interrupted.
    pub(crate) call: Uuid,
    /// Bytes of text already received.
    pub(crate) offset: usize,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    offset: Option<usize>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Cow<'a, str>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u32,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

/// Data of a `token` event sent to the caller.
#[derive(Serialize)]
struct Token<'a> {
    offset: usize,
    text: &'a str,
}

/// Token counts of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamUsage {
    /// Chunks that added text; engines send one chunk per token.
    pub(crate) tokens: u64,
    /// How much of the prompt was cached, if the engine reported it.
    pub(crate) cached: Option<PromptCacheUsage>,
}

/// How much of a prompt the engine had cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PromptCacheUsage {
    /// Prompt tokens found in the cache.
    pub(crate) cached_tokens: u32,
    /// All tokens of the prompt.
    pub(crate) prompt_tokens: u32,
}

impl Usage {
    fn cached(self) -> Option<PromptCacheUsage> {
        let details = self.prompt_tokens_details?;
        Some(PromptCacheUsage {
            cached_tokens: details.cached_tokens,
            prompt_tokens: self.prompt_tokens,
        })
    }
}

/// Extracts the prompt: the value of a JSON string, the `prompt` member of an object, or else the
/// JSON text itself.
pub(crate) fn prompt(value: &RawValue) -> Cow<'_, str> {
    #[derive(Deserialize)]
    struct Prompted {
        prompt: String,
    }
    let json = value.get();
    match json.as_bytes().first() {
        Some(b'"') => serde_json::from_str::<String>(json).map_or(Cow::Borrowed(json), Cow::Owned),
        Some(b'{') => serde_json::from_str::<Prompted>(json)
            .map_or(Cow::Borrowed(json), |p| Cow::Owned(p.prompt)),
        _ => Cow::Borrowed(json),
    }
}

/// Builds the HTTP request for a completion.
pub(crate) fn request(
    call: &Call,
    service: &Service,
    prompt: &str,
    resume: Option<Resume>,
) -> Request<http_body_util::Full<Bytes>> {
    let body = Body {
        model: service.model.as_deref().unwrap_or_default(),
        prompt,
        max_tokens: service.max_tokens,
        stream: true,
        priority: call.priority,
        resume,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    call.request(Method::POST, "/v1/completions", body.into())
}

/// Builds the HTTP request that cancels `call`.
pub(crate) fn cancel(call: &Call) -> Request<http_body_util::Full<Bytes>> {
    let path = format!("/v1/completions/{}", call.id);
    call.request(Method::DELETE, &path, Bytes::new())
}

/// Reads a stream into `assembly` until it ends, and sends new text to `sink` at once. After
/// [`CallError::Stalled`], another call goes on with the rest of the stream.
/// `counted_tokens` is kept up to date, so that it holds if this future is dropped.
pub(crate) async fn read(
    exchange: &mut Exchange,
    assembly: &mut Assembly,
    sink: Option<&EventSink>,
    usage: &mut StreamUsage,
    counted_tokens: &mut u64,
    mut lag_detector: Option<LagDetector<'_>>,
) -> Result<(), CallError> {
    let max = exchange.max_bytes();
    loop {
        let part = match &mut lag_detector {
            Some(lag_detector) => lag_detector.next(exchange, usage.tokens).await?,
            None => exchange.next().await?,
        };
        let Some(bytes) = part else {
            break;
        };
        let events = &mut exchange.events;
        let pushed = events.push(&bytes, MAX_BYTES_WITHOUT_DATA);
        pushed.map_err(|_| CallError::TooLarge(MAX_BYTES_WITHOUT_DATA))?;
        let mut out = BytesMut::new();
        let is_done = apply_events(events, assembly, usage, sink.map(|_| &mut out));
        let new = usage.tokens - *counted_tokens;
        *counted_tokens = usage.tokens;
        if let Some(sink) = sink.filter(|_| !out.is_empty()) {
            sink.send(out.freeze()).await?;
        }
        match is_done? {
            true => {
                exchange.wait_end().await;
                return Ok(());
            }
            false if assembly.offset() > max => return Err(CallError::TooLarge(max)),
            false => {}
        }
        if let Some(lag_detector) = &mut lag_detector {
            lag_detector.record_chunks(new, usage.tokens)?;
        }
    }
    Err(CallError::ConnectionLost(
        "stream ended without [DONE]".to_owned(),
    ))
}

fn apply_events(
    events: &mut EventReader,
    assembly: &mut Assembly,
    usage: &mut StreamUsage,
    mut out: Option<&mut BytesMut>,
) -> Result<bool, CallError> {
    while let Some(data) = events.next_data() {
        if &data[..] == DONE {
            return Ok(true);
        }
        let malformed = |e: &dyn std::fmt::Display| CallError::Malformed(e.to_string());
        let chunk: Chunk<'_> = serde_json::from_slice(&data).map_err(|e| malformed(&e))?;
        usage.cached = chunk.usage.and_then(Usage::cached).or(usage.cached);
        let Some(choice) = chunk.choices.first() else {
            continue;
        };
        let offset = chunk
            .offset
            .ok_or_else(|| malformed(&"chunk without an offset"))?;
        match assembly.accept(offset, &choice.text) {
            ChunkResult::New(range) => {
                usage.tokens += 1;
                if let Some(out) = out.as_deref_mut() {
                    let offset = range.start;
                    let text = &assembly.text()[range];
                    write_event(out, "token", &Token { offset, text });
                }
            }
            ChunkResult::Repeated => {}
            ChunkResult::Gap => {
                let received = assembly.offset();
                let what = format!("chunk at offset {offset} received after only {received} bytes");
                return Err(CallError::ConnectionLost(what));
            }
            ChunkResult::Diverged => return Err(CallError::Diverged),
        }
    }
    Ok(false)
}
