//! Helpers to build replies and to read request headers.

use std::{convert::Infallible, io};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Body of a reply; an error closes the connection.
pub(crate) type Body = BoxBody<Bytes, io::Error>;
/// A reply, or an error that closes the connection.
pub(crate) type Reply = Result<Response<Body>, ConnectionCut>;

/// Closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the injected fault closes this connection")]
pub(crate) struct ConnectionCut;

/// Header whose value `not_run` guarantees that a refused call did not run.
pub(crate) const OUTCOME_HEADER: &str = "jujube-outcome";
/// Header with the id of a call.
pub(crate) const CALL_HEADER: &str = "jujube-call";

/// Returns a body with known content.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    let never = |never: Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// Returns a body fed through a channel; it ends when the sender is dropped.
pub(crate) fn channel_body() -> (mpsc::Sender<io::Result<Frame<Bytes>>>, Body) {
    let (tx, mut rx) = mpsc::channel(16);
    let frames = poll_fn(move |cx| rx.poll_recv(cx));
    (tx, BodyExt::boxed(StreamBody::new(frames)))
}

/// Builds a JSON reply; an empty `call` sets no call header.
pub(crate) fn json_reply(status: StatusCode, call: &str, value: &Value) -> Response<Body> {
    let mut res = Response::new(full_body(value.to_string()));
    *res.status_mut() = status;
    set_header(res.headers_mut(), "content-type", "application/json");
    if !call.is_empty() {
        set_header(res.headers_mut(), CALL_HEADER, call);
    }
    res
}

/// Builds a problem reply; `not_run` states that the call did not run.
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
    set_header(
        res.headers_mut(),
        "content-type",
        "application/problem+json",
    );
    if not_run {
        set_header(res.headers_mut(), OUTCOME_HEADER, "not_run");
    }
    res
}

/// Sets a header; ignores a value that is not valid in a header.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// Returns the value of a header if it is visible ASCII.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
