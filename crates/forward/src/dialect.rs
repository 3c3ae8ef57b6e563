//! The interface to adapters: how requests, batched calls and responses are encoded and decoded.
//!
//! The functions of a [`Dialect`] only translate; all decisions are made elsewhere.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderName, http::request::Parts};
use outbound::{InstanceCheck, Notice};

use crate::incoming::IncomingRequest;

/// What an attempt sends to its endpoint in addition to the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Time remaining for the response.
    pub remaining: Duration,
    /// Name of the intended endpoint; any other endpoint refuses the request.
    pub endpoint: &'a str,
    /// Name of the workspace, if the request carried an access key.
    pub workspace: Option<&'a str>,
    /// Urgency for engines, from 0 (first) to 9 (last).
    pub urgency: Option<u8>,
    /// Handles of the stage results that the request needs.
    pub inputs: &'a [String],
    /// The last event that the caller has received, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A successful response to this request.
    Success,
    /// A response to this request, which ran and failed.
    Failed,
    /// The endpoint is full and did not run the request.
    Full,
    /// Another endpoint responded at the address; the request did not run.
    WrongEndpoint,
    /// Stage results that the request needs are gone; it did not run.
    InputsGone,
    /// The endpoint did not run the request for another reason.
    NotRun,
    /// Not a response to this request.
    Unrelated,
}

impl ResponseClass {
    /// Returns true if the intended endpoint has responded, so that a notice in the response
    /// applies to it.
    pub(crate) fn is_from_target(self) -> bool {
        !matches!(self, Self::WrongEndpoint | Self::Unrelated)
    }
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running calls.
    pub running: u32,
    /// Waiting calls.
    pub waiting: u32,
    /// Calls that can run at the same time.
    pub slots: u32,
    /// How long work currently takes, in percent of the usual time, if reported.
    pub slowdown_percent: Option<u32>,
}

/// One item of a batched call.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<'a> {
    /// Id of the caller's request.
    pub request: &'a str,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Index of the item in the stage.
    pub item: u32,
    /// Time remaining for the item.
    pub remaining: Duration,
    /// What the item is produced from.
    pub source: ItemSource<'a>,
}

/// What an item is produced from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ItemSource<'a> {
    /// The item key of the request.
    Key(&'a str),
    /// Handles of results of earlier stages.
    Inputs(&'a [String]),
}

/// Result of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemResult {
    /// The endpoint stores the result under this handle.
    Produced(String),
    /// The item could not be completed in time.
    Late,
    /// An input of the item is gone.
    InputGone,
    /// The endpoint has no free space for the result.
    NoCapacity,
    /// The item failed.
    Failed,
}

/// Result of parsing the head of a caller's request.
#[derive(Clone, Debug)]
pub enum ParsedHead {
    /// A valid request, whose body has not been read yet.
    Request(Box<IncomingRequest>),
    /// Something required is missing or invalid; the text says what.
    Malformed(&'static str),
}

/// Encoding and decoding of requests and responses.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Header with the request id in responses to callers.
    pub id_header: HeaderNameFn,
    /// Parses the head of a caller's request.
    pub parse_head: fn(&Parts) -> ParsedHead,
    /// Builds the request of one attempt.
    pub write_request: fn(&IncomingRequest, &Attempt<'_>) -> Request<Full<Bytes>>,
    /// Classifies the head of a response to the request with this id.
    pub classify: fn(&str, StatusCode, &HeaderMap) -> ResponseClass,
    /// Returns true if the head of a response carries this request id.
    pub echoes_id: fn(&str, &HeaderMap) -> bool,
    /// Reads what the head of a response says about its endpoint, whatever its status.
    pub notice: fn(StatusCode, &HeaderMap) -> Notice,
    /// Reads the load report in the head of a response.
    pub load: fn(&HeaderMap) -> Option<LoadReport>,
    /// Selects the headers of a response that are forwarded to the caller.
    pub answer_headers: fn(&HeaderMap) -> HeaderMap,
    /// Builds a health check at this path of the endpoint of this name, and recognizes its reply.
    pub write_check: fn(&str, &str) -> InstanceCheck,
    /// Builds a batched call to the endpoint of this name.
    pub write_batch: fn(&[Item<'_>], &str) -> Request<Full<Bytes>>,
    /// Parses the response body of a batched call; `None` if it is invalid.
    pub read_batch: fn(&[u8]) -> Option<Vec<ItemResult>>,
    /// Builds a request to release the results with these handles.
    pub write_release: fn(&[String]) -> Request<Full<Bytes>>,
}

/// Returns a header name; a function pointer keeps [`Dialect`] `Copy`.
pub type HeaderNameFn = fn() -> HeaderName;
