//! Calls to endpoints and the parsing of their responses.

use bytes::Bytes;
use forward::{
    Attempt, IncomingRequest, InstanceCheck, Item, ItemResult, ItemSource, LoadReport, Notice,
    ResponseClass, end_to_end, forwarded_request, get_once, parse_load, post_json, set_header,
};
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::header_names;

/// Path of batched calls.
const ITEMS_PATH: &str = "/v1/items";
/// Path of requests to release results.
const RELEASE_PATH: &str = "/v1/items/free";
/// Outcome of a call that did not run.
const OUTCOME_NOT_RUN: &[u8] = b"not_run";
/// Most urgent priority. An urgency is the inverse: 0 is the most urgent.
const MAX_PRIORITY: u8 = 9;

/// Builds the call of one attempt.
pub(crate) fn build_request(
    request: &IncomingRequest,
    attempt: &Attempt<'_>,
) -> Request<Full<Bytes>> {
    let mut req = forwarded_request(request);
    let headers = req.headers_mut();
    set_header(headers, header_names::CALL_ID, &request.id);
    set_header(headers, header_names::ENDPOINT, attempt.endpoint);
    headers.insert(
        header_names::DEADLINE_MS,
        HeaderValue::from(attempt.remaining.as_millis() as u64),
    );
    if let Some(workspace) = attempt.workspace {
        set_header(headers, header_names::WORKSPACE, workspace);
    }
    if let Some(urgency) = attempt.urgency {
        let priority = MAX_PRIORITY.saturating_sub(urgency);
        headers.insert(
            header_names::PRIORITY,
            HeaderValue::from(u16::from(priority)),
        );
    }
    if !attempt.inputs.is_empty() {
        set_header(headers, header_names::INPUTS, &attempt.inputs.join(","));
    }
    if let Some(event) = attempt.last_event_id {
        headers.insert(header_names::LAST_EVENT_ID, HeaderValue::from(event));
    }
    req
}

/// Classifies the head of a response to the call `id`, which is empty for batched calls.
pub(crate) fn classify_response(
    id: &str,
    status: StatusCode,
    headers: &HeaderMap,
) -> ResponseClass {
    let echoed = headers
        .get(header_names::CALL_ID)
        .map(HeaderValue::as_bytes);
    let is_for_call = echoed.map_or(id.is_empty(), |echoed| echoed == id.as_bytes());
    let outcome = headers
        .get(header_names::OUTCOME)
        .map(HeaderValue::as_bytes);
    match status {
        _ if !is_for_call => ResponseClass::Unrelated,
        status if outcome == Some(OUTCOME_NOT_RUN) => match status {
            StatusCode::MISDIRECTED_REQUEST => ResponseClass::WrongEndpoint,
            StatusCode::CONFLICT => ResponseClass::InputsGone,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => ResponseClass::Full,
            _ => ResponseClass::NotRun,
        },
        status if status.is_success() => ResponseClass::Success,
        _ => ResponseClass::Failed,
    }
}

/// Returns true if the head of a response carries the call's id.
pub(crate) fn echoes_id(id: &str, headers: &HeaderMap) -> bool {
    headers
        .get(header_names::CALL_ID)
        .is_some_and(|echoed| echoed == id)
}

/// Parses what a response says about its endpoint: that it is leaving, or requests a pause.
pub(crate) fn notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    Notice::parse(
        status,
        headers,
        &header_names::LEAVING,
        &header_names::LIMIT,
    )
}

/// Parses the load report in the head of a response.
pub(crate) fn load(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load(headers.get(header_names::LOAD)?)
}

/// Returns the headers that the caller gets, with the call's id as the id of the request.
pub(crate) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(header_names::LOAD);
    forwarded.remove(header_names::LEAVING);
    if let Some(id) = forwarded.remove(header_names::CALL_ID) {
        forwarded.insert(header_names::REQUEST_ID, id);
    }
    forwarded
}

/// Builds a health check. The endpoint echoes its call id; another one at the address refuses it.
pub(crate) fn write_check(path: &str, endpoint: &str) -> InstanceCheck {
    let id = Uuid::new_v4().to_string();
    let mut request = get_once(path);
    let headers = request.headers_mut();
    set_header(headers, header_names::CALL_ID, &id);
    set_header(headers, header_names::ENDPOINT, endpoint);
    InstanceCheck {
        request,
        is_from_instance: Box::new(move |status, headers| {
            let class = classify_response(&id, status, headers);
            !matches!(
                class,
                ResponseClass::Unrelated | ResponseClass::WrongEndpoint
            )
        }),
    }
}

#[derive(Serialize)]
struct BatchRequest<'a> {
    items: Vec<BatchItem<'a>>,
}

#[derive(Serialize)]
struct BatchItem<'a> {
    request: &'a str,
    stage: usize,
    item: u32,
    #[serde(rename = "left_ms")]
    remaining_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    inputs: Option<&'a [String]>,
}

#[derive(Deserialize)]
struct BatchResponse {
    items: Vec<BatchItemResult>,
}

#[derive(Deserialize)]
struct BatchItemResult {
    handle: Option<String>,
    reason: Option<String>,
}

#[derive(Serialize)]
struct ReleaseRequest<'a> {
    handles: &'a [String],
}

/// Builds a batched call.
pub(crate) fn write_batch(items: &[Item<'_>], endpoint: &str) -> Request<Full<Bytes>> {
    let batch_items = items.iter().map(|item| {
        let (key, inputs) = match item.source {
            ItemSource::Key(key) => (Some(key), None),
            ItemSource::Inputs(inputs) => (None, Some(inputs)),
        };
        BatchItem {
            request: item.request,
            stage: item.stage,
            item: item.item,
            remaining_ms: item.remaining.as_millis() as u64,
            key,
            inputs,
        }
    });
    let items = batch_items.collect();
    let mut req = post_json(ITEMS_PATH, &BatchRequest { items });
    set_header(req.headers_mut(), header_names::ENDPOINT, endpoint);
    req
}

/// Parses the response to a batched call; `None` if it is invalid.
pub(crate) fn read_batch(body: &[u8]) -> Option<Vec<ItemResult>> {
    let response: BatchResponse = serde_json::from_slice(body).ok()?;
    let item_result = |result: BatchItemResult| match (result.handle, result.reason.as_deref()) {
        (Some(handle), _) => ItemResult::Produced(handle),
        (None, Some("late")) => ItemResult::Late,
        (None, Some("input_gone")) => ItemResult::InputGone,
        (None, Some("no_room")) => ItemResult::NoCapacity,
        (None, _) => ItemResult::Failed,
    };
    Some(response.items.into_iter().map(item_result).collect())
}

/// Builds a request to release results.
pub(crate) fn build_release(handles: &[String]) -> Request<Full<Bytes>> {
    post_json(RELEASE_PATH, &ReleaseRequest { handles })
}

#[cfg(test)]
mod tests;
