//! Replies of a stand-in, and what it reads from a call's headers.

use std::{convert::Infallible, io};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// A reply's body; an error cuts the connection.
pub(crate) type Body = BoxBody<Bytes, io::Error>;
/// A reply, or the order to cut the connection.
pub(crate) type Reply = Result<Response<Body>, Cut>;

/// Cuts the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in was told to cut this connection")]
pub(crate) struct Cut;

/// Header that proves that a refused call did not run.
pub(crate) const OUTCOME: &str = "jujube-outcome";
/// Header with a call's id.
pub(crate) const CALL: &str = "jujube-call";

/// A whole body.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    let never = |never: Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// A body that its sender feeds; its end is the sender's drop.
pub(crate) fn streamed() -> (mpsc::Sender<io::Result<Frame<Bytes>>>, Body) {
    let (tx, mut rx) = mpsc::channel(16);
    let frames = poll_fn(move |cx| rx.poll_recv(cx));
    (tx, BodyExt::boxed(StreamBody::new(frames)))
}

/// A JSON reply.
pub(crate) fn json_reply(status: StatusCode, call: &str, value: &Value) -> Response<Body> {
    let mut res = Response::new(whole(value.to_string()));
    *res.status_mut() = status;
    set(res.headers_mut(), "content-type", "application/json");
    if !call.is_empty() {
        set(res.headers_mut(), CALL, call);
    }
    res
}

/// A problem reply; `not_run` proves that the call did not run.
pub(crate) fn problem(
    status: StatusCode,
    call: &str,
    detail: &str,
    not_run: bool,
) -> Response<Body> {
    let value = json!({
        "type": "stand-in",
        "title": status.canonical_reason(),
        "status": status.as_u16(),
        "detail": detail,
    });
    let mut res = json_reply(status, call, &value);
    set(
        res.headers_mut(),
        "content-type",
        "application/problem+json",
    );
    if not_run {
        set(res.headers_mut(), OUTCOME, "not_run");
    }
    res
}

/// Sets a header; a value that no header can hold is left out.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// The text of a header.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
