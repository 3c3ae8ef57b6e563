//! Messages between gates about crashes of endpoints and blocked parts of prompts.

use std::{net::SocketAddr, time::Duration};

use derives::record;
use link::keeper::BlockedPart;

/// A request to another gate.
#[record]
pub(crate) enum PartRequest {
    /// Tells that an endpoint crashed.
    #[serde(rename = "pc")]
    Crash(CrashReport),
    /// Requests the time since the receiver last had a good response to a request with this part.
    #[serde(rename = "pg")]
    LastGood(u64),
    /// Tells that a part is blocked.
    #[serde(rename = "pb")]
    Block(BlockedPart),
    /// Tells that the block of a part was withdrawn.
    #[serde(rename = "pw")]
    Withdraw {
        /// The part.
        #[serde(rename = "p")]
        part: u64,
        /// Time since the withdrawal.
        #[serde(rename = "a")]
        age: Duration,
    },
    /// Requests the blocked parts and the withdrawn blocks.
    #[serde(rename = "pl")]
    List,
}

/// The reply to a [`PartRequest`].
#[record]
pub(crate) enum PartReply {
    /// To all that tell something.
    #[serde(rename = "a")]
    Acknowledged,
    /// To [`PartRequest::LastGood`]; `None` if there was none lately.
    #[serde(rename = "g")]
    LastGood(Option<Duration>),
    /// To [`PartRequest::List`].
    #[serde(rename = "l")]
    List {
        /// The blocked parts.
        #[serde(rename = "b")]
        blocked: Vec<BlockedPart>,
        /// Parts whose block was withdrawn, with the time since.
        #[serde(rename = "w")]
        withdrawn: Vec<(u64, Duration)>,
    },
}

/// A crash of an endpoint, and the calls of the sender that broke off.
#[record]
pub(crate) struct CrashReport {
    /// Name of the endpoint's incarnation.
    #[serde(rename = "e")]
    pub(crate) endpoint: String,
    /// Service of the endpoint.
    #[serde(rename = "s")]
    pub(crate) service: String,
    /// Address of the endpoint.
    #[serde(rename = "d")]
    pub(crate) address: SocketAddr,
    /// Time since the first of the calls broke off.
    #[serde(rename = "a")]
    pub(crate) age: Duration,
    /// The calls.
    #[serde(rename = "c")]
    pub(crate) calls: Vec<ReportedCall>,
    /// Parts of their prompts with the time since the sender's last good response with each.
    #[serde(rename = "g")]
    pub(crate) good: Vec<(u64, Duration)>,
}

/// A call that broke off in a crash.
#[record]
pub(crate) struct ReportedCall {
    /// Id of the request.
    #[serde(rename = "r")]
    pub(crate) request: String,
    /// Hashes of the ids of its prompt's parts, without the last.
    #[serde(rename = "p")]
    pub(crate) parts: Vec<u64>,
    /// True if its response had begun.
    #[serde(rename = "b")]
    pub(crate) has_begun: bool,
}
