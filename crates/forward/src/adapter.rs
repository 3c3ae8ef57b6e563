//! Helpers that adapters share for building requests and parsing response headers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    header::{CONNECTION, CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use serde::Serialize;
use spdlog::warn;

use crate::{dialect::LoadReport, incoming::IncomingRequest};

/// Sets a header to `value` in UTF-8. A value with control characters is logged and left out.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_bytes(value.as_bytes()) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(e) => warn!("header left out: {e}", kv: { header = name.as_str() }),
    }
}

/// Builds the request for an endpoint with the caller's method, target, forwarded headers, host and
/// body.
pub fn forwarded_request(incoming: &IncomingRequest) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(incoming.body.clone()));
    *req.method_mut() = incoming.method.clone();
    // Cannot fail in practice: the target was taken from a parsed request.
    let target = incoming.target.parse();
    *req.uri_mut() = target.unwrap_or_else(|_| Uri::from_static("/"));
    let headers = req.headers_mut();
    headers.clone_from(&incoming.headers);
    set_header(headers, HOST, &incoming.host);
    req
}

/// Builds a `POST` of `body` as JSON to `path` of an endpoint.
pub fn post_json<T: Serialize>(path: &'static str, body: &T) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(path);
    let headers = req.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HOST, HeaderValue::from_static("endpoint"));
    req
}

/// Builds a `GET` of `path` at an endpoint, on a connection for this request alone. A path that is invalid
/// is replaced by `/`.
pub fn get_once(path: &str) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::default());
    *req.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("endpoint"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    req
}

/// Parses a load report of the form `RUNNING,WAITING,SLOTS`.
pub fn parse_load(value: &HeaderValue) -> Option<LoadReport> {
    let mut numbers = value
        .to_str()
        .ok()?
        .split(',')
        .map(|n| n.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        slowdown_percent: numbers.next().flatten(),
    })
}
