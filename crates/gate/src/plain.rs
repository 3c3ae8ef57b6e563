//! Adapter for all services that are not engines: `POST /v1/stages/{service}`.

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    error::CallError,
    exchange::{Call, Exchange},
};

#[derive(Serialize)]
struct Body<'a> {
    input: &'a RawValue,
    previous: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Answer {
    output: Box<RawValue>,
}

/// Builds the HTTP request for a call.
pub(crate) fn request(
    call: &Call,
    service: &str,
    input: &RawValue,
    previous: Option<&RawValue>,
) -> hyper::Request<http_body_util::Full<Bytes>> {
    let body = serde_json::to_vec(&Body { input, previous }).unwrap_or_default();
    call.request(Method::POST, &format!("/v1/stages/{service}"), body.into())
}

/// Reads the response and returns its output.
pub(crate) async fn read(exchange: &mut Exchange) -> Result<Box<RawValue>, CallError> {
    let max = exchange.max_bytes();
    let bytes = exchange.collect(max).await?;
    let answer: Answer =
        serde_json::from_slice(&bytes).map_err(|e| CallError::Malformed(e.to_string()))?;
    Ok(answer.output)
}
