//! Messages between the gates of an availability zone about the placement of calls with prompts.

use derives::record;
use routing::PrefixPart;

/// A call with a prompt.
#[record]
pub struct Call {
    /// Id of the call, unique for its gate.
    #[serde(rename = "i")]
    pub id: u64,
    /// Parts of the prompt.
    #[serde(rename = "p")]
    pub parts: Vec<PrefixPart>,
    /// Tokens of the prompt.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    #[serde(rename = "m")]
    pub max_generated: u32,
}

/// A call that was placed by its gate.
#[record]
pub struct StartedCall {
    /// The call.
    #[serde(rename = "c")]
    pub call: Call,
    /// Name of the endpoint.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// True if its first event has arrived.
    #[serde(rename = "f", default)]
    pub has_first_event: bool,
}

/// The first event of a call.
#[record]
pub struct FirstEventReport {
    /// Id of the call.
    #[serde(rename = "i")]
    pub id: u64,
    /// Milliseconds from sending the call.
    #[serde(rename = "t")]
    pub took_ms: u32,
    /// Milliseconds since the event.
    #[serde(rename = "a", default)]
    pub age_ms: u32,
    /// Running and waiting calls that the endpoint reported.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub calls: Option<u32>,
    /// Slowdown that the endpoint reported, in percent of the usual time.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub slowdown_percent: Option<u32>,
}

/// What happened to the calls of a gate since its last report.
#[record]
#[derive(Default)]
pub struct Reports {
    /// True if `started` has all open calls of the gate, and the receiver forgets the others.
    #[serde(rename = "a", default)]
    pub is_list: bool,
    /// Calls that the gate placed itself, or all open calls.
    #[serde(rename = "s", default)]
    pub started: Vec<StartedCall>,
    /// First events.
    #[serde(rename = "f", default)]
    pub first_events: Vec<FirstEventReport>,
    /// Ids of the calls that ended.
    #[serde(rename = "e", default)]
    pub ended: Vec<u64>,
}

impl Reports {
    /// Returns true if there is nothing to report.
    pub fn is_empty(&self) -> bool {
        !self.is_list
            && self.started.is_empty()
            && self.first_events.is_empty()
            && self.ended.is_empty()
    }
}

/// A request to the placement coordinator of a service.
#[record]
pub enum PlacementRequest {
    /// Requests an endpoint for a call.
    #[serde(rename = "zq")]
    Query {
        /// The service.
        #[serde(rename = "s")]
        service: String,
        /// The call.
        #[serde(rename = "c")]
        call: Call,
        /// Bytes of the inputs by availability zone.
        #[serde(rename = "n", default)]
        inputs: Vec<(String, u64)>,
        /// Endpoints that were already tried.
        #[serde(rename = "v", default)]
        avoid: Vec<String>,
        /// Reports of earlier calls.
        #[serde(rename = "r", default)]
        reports: Reports,
    },
    /// Reports calls.
    #[serde(rename = "zr")]
    Report {
        /// The service.
        #[serde(rename = "s")]
        service: String,
        /// The reports.
        #[serde(rename = "r")]
        reports: Reports,
    },
}

/// The endpoint for a call.
#[record]
pub struct Placed {
    /// Name of the endpoint.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Expected milliseconds to the first event.
    #[serde(rename = "x")]
    pub expected_ms: u32,
    /// Prompt tokens that the endpoint is expected to read.
    #[serde(rename = "u")]
    pub unread_tokens: u64,
}

/// The reply to a [`PlacementRequest`].
#[record]
pub struct PlacementReply {
    /// The endpoint; `None` if none was requested, if the receiver has just started, if it does not
    /// place calls or if all endpoints are full.
    #[serde(rename = "zp")]
    pub placed: Option<Placed>,
    /// True if the receiver does not know the open calls of the sender.
    #[serde(rename = "zl")]
    pub needs_list: bool,
}
