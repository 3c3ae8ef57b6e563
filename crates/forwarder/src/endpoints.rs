//! Calls to endpoints and their answers.

use bytes::Bytes;
use forward::{
    Attempt, IncomingRequest, Item, ItemResult, ItemSource, LoadReport, Notice, ResponseClass,
    end_to_end, forwarded_request, parse_load, post_json, set_header,
};
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};

use crate::names;

/// Where batched calls go.
const ITEMS: &str = "/v1/items";
/// Where results are given up.
const FREE: &str = "/v1/items/free";
/// The word of a call that did not run.
const NOT_RUN: &[u8] = b"not_run";
/// The most urgent priority; urgencies count from 0.
const MOST_URGENT: u8 = 9;

/// Writes one try of a request.
pub(crate) fn write(inquiry: &IncomingRequest, details: &Attempt<'_>) -> Request<Full<Bytes>> {
    let mut req = forwarded_request(inquiry);
    let headers = req.headers_mut();
    set_header(headers, names::CALL, &inquiry.id);
    set_header(headers, names::ENDPOINT, details.endpoint);
    headers.insert(
        names::DEADLINE,
        HeaderValue::from(details.remaining.as_millis() as u64),
    );
    if let Some(workspace) = details.workspace {
        set_header(headers, names::WORKSPACE, workspace);
    }
    if let Some(urgency) = details.urgency {
        let priority = MOST_URGENT.saturating_sub(urgency);
        headers.insert(names::PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if !details.inputs.is_empty() {
        set_header(headers, names::INPUTS, &details.inputs.join(","));
    }
    if let Some(event) = details.last_event_id {
        headers.insert(names::LAST_EVENT, HeaderValue::from(event));
    }
    req
}

/// Reads the head of an answer to the call `id`; batched calls have none.
pub(crate) fn judge(id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseClass {
    let echoed = headers.get(names::CALL).map(HeaderValue::as_bytes);
    let is_own = echoed.map_or(id.is_empty(), |echoed| echoed == id.as_bytes());
    let outcome = headers.get(names::OUTCOME).map(HeaderValue::as_bytes);
    match status {
        _ if !is_own => ResponseClass::Unrelated,
        status if outcome == Some(NOT_RUN) => match status {
            StatusCode::MISDIRECTED_REQUEST => ResponseClass::WrongEndpoint,
            StatusCode::CONFLICT => ResponseClass::InputsGone,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => ResponseClass::Full,
            _ => ResponseClass::NotRun,
        },
        status if status.is_success() => ResponseClass::Success,
        _ => ResponseClass::Failed,
    }
}

/// Reads what an endpoint says of itself beside its answer.
pub(crate) fn notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    Notice::parse(status, headers, &names::LEAVING)
}

/// Reads the load that rides on an answer.
pub(crate) fn load(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load(headers.get(names::LOAD)?)
}

/// Headers of an answer that the caller gets, with the request's id.
pub(crate) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end(headers);
    passed.remove(names::LOAD);
    passed.remove(names::LEAVING);
    if let Some(id) = passed.remove(names::CALL) {
        passed.insert(names::REQUEST, id);
    }
    passed
}

#[derive(Serialize)]
struct Items<'a> {
    items: Vec<Sent<'a>>,
}

#[derive(Serialize)]
struct Sent<'a> {
    request: &'a str,
    stage: usize,
    item: u32,
    left_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    inputs: Option<&'a [String]>,
}

#[derive(Deserialize)]
struct Results {
    items: Vec<Made>,
}

#[derive(Deserialize)]
struct Made {
    handle: Option<String>,
    reason: Option<String>,
}

#[derive(Serialize)]
struct Handles<'a> {
    handles: &'a [String],
}

/// Writes a batched call.
pub(crate) fn write_batch(items: &[Item<'_>], endpoint: &str) -> Request<Full<Bytes>> {
    let sent = items.iter().map(|item| {
        let (key, inputs) = match item.source {
            ItemSource::Key(key) => (Some(key), None),
            ItemSource::Inputs(inputs) => (None, Some(inputs)),
        };
        Sent {
            request: item.request,
            stage: item.stage,
            item: item.item,
            left_ms: item.remaining.as_millis() as u64,
            key,
            inputs,
        }
    });
    let items = sent.collect();
    let mut req = post_json(ITEMS, &Items { items });
    set_header(req.headers_mut(), names::ENDPOINT, endpoint);
    req
}

/// Reads the answer to a batched call.
pub(crate) fn read_batch(body: &[u8]) -> Option<Vec<ItemResult>> {
    let results: Results = serde_json::from_slice(body).ok()?;
    let read = |made: Made| match (made.handle, made.reason.as_deref()) {
        (Some(handle), _) => ItemResult::Produced(handle),
        (None, Some("late")) => ItemResult::Late,
        (None, Some("input_gone")) => ItemResult::InputGone,
        (None, Some("no_room")) => ItemResult::NoCapacity,
        (None, _) => ItemResult::Failed,
    };
    Some(results.items.into_iter().map(read).collect())
}

/// Writes an order to give results up.
pub(crate) fn write_free(handles: &[String]) -> Request<Full<Bytes>> {
    post_json(FREE, &Handles { handles })
}

#[cfg(test)]
mod tests;
