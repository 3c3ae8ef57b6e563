//! The seam to endpoints and callers: how requests, batched calls and answers are written and read.
//!
//! The functions of a [`Dialect`] only translate; every decision is made outside of it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderName, http::request::Parts};
use outbound::Notice;

use crate::incoming::IncomingRequest;

/// What a try tells its endpoint beside the request itself.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Time left for the answer.
    pub remaining: Duration,
    /// The endpoint that is meant; any other one refuses.
    pub endpoint: &'a str,
    /// The workspace, if the request came with a key.
    pub workspace: Option<&'a str>,
    /// Urgency, 0 first and 9 last; for engines.
    pub urgency: Option<u8>,
    /// Handles of the results that the request needs.
    pub inputs: &'a [String],
    /// The last event that the caller has, where a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is an answer to this request and good.
    Success,
    /// It is an answer to this request; the request ran and failed.
    Failed,
    /// The endpoint is full and did not run the request.
    Full,
    /// Another endpoint has the address; the request did not run.
    WrongEndpoint,
    /// Results that the request needs are gone; it did not run.
    InputsGone,
    /// The endpoint did not run the request for another reason.
    NotRun,
    /// It is no answer to this request.
    Unrelated,
}

impl ResponseClass {
    /// Whether the endpoint that was meant has answered, so that what the answer says of its endpoint
    /// is said of that one.
    pub(crate) fn is_of_target(self) -> bool {
        !matches!(self, Self::WrongEndpoint | Self::Unrelated)
    }
}

/// Calls that an endpoint said it runs, has waiting and could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that could run at once.
    pub slots: u32,
}

/// One item of a batched call.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<'a> {
    /// The id of the caller's request.
    pub request: &'a str,
    /// The stage's number in the route.
    pub stage: usize,
    /// The item's number in the stage.
    pub item: u32,
    /// Time left.
    pub remaining: Duration,
    /// What it is made of.
    pub source: ItemSource<'a>,
}

/// What an item is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ItemSource<'a> {
    /// A key of the request.
    Key(&'a str),
    /// Handles of earlier results.
    Inputs(&'a [String]),
}

/// What became of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemResult {
    /// The endpoint keeps the result under this handle.
    Produced(String),
    /// It was too late.
    Late,
    /// An input is gone.
    InputGone,
    /// There is no room for the result.
    NoCapacity,
    /// It failed.
    Failed,
}

/// How a caller's head was read.
#[derive(Clone, Debug)]
pub enum ParsedHead {
    /// As a request; its body is yet to come.
    Request(Box<IncomingRequest>),
    /// Something that it needs is missing or garbled: what.
    Malformed(&'static str),
}

/// How requests and answers are written and read.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Header by which answers name the request.
    pub id_header: HeaderNameFn,
    /// Reads a caller's head.
    pub parse_head: fn(&Parts) -> ParsedHead,
    /// Writes one try of a request.
    pub write_request: fn(&IncomingRequest, &Attempt<'_>) -> Request<Full<Bytes>>,
    /// Reads the head of an answer to the request of this id.
    pub classify: fn(&str, StatusCode, &HeaderMap) -> ResponseClass,
    /// What the head of an answer says of its endpoint, whatever it answers.
    pub notice: fn(StatusCode, &HeaderMap) -> Notice,
    /// The load that rides on an answer.
    pub load: fn(&HeaderMap) -> Option<LoadReport>,
    /// Headers of an answer that are passed on to the caller.
    pub answer_headers: fn(&HeaderMap) -> HeaderMap,
    /// Writes a batched call.
    pub write_batch: fn(&[Item<'_>], &str) -> Request<Full<Bytes>>,
    /// Reads the answer to a batched call.
    pub read_batch: fn(&[u8]) -> Option<Vec<ItemResult>>,
    /// Writes an order to give results up.
    pub write_release: fn(&[String]) -> Request<Full<Bytes>>,
}

/// A header name that can be copied.
pub type HeaderNameFn = fn() -> HeaderName;
