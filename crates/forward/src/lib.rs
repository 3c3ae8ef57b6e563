//! Forwards callers' requests to endpoints without interpreting their bodies.
//!
//! A [`Dialect`] parses a caller's request, which is then matched to a route and a workspace
//! ([`rules`]). The route's stages run in batches that gates collect together ([`stages`],
//! [`collector`]), and the request goes to the endpoint that is expected to send the first part of
//! its response soonest ([`placement`]). Responses pass through byte for byte; where there is none,
//! the error that a caller gets depends on what was written to a socket ([`error`]).
//! `docs/design/platform.md` gives the reasons for this design.

mod adapter;
mod attempts;
mod availability;
mod batch;
mod batch_context;
mod batch_outcome;
mod blocked_parts;
mod budgets;
mod call;
mod collector;
mod control;
mod dialect;
mod endpoint_notifier;
mod error;
mod events;
mod fleet;
mod forwarder;
mod freshness;
mod gates;
mod headers;
mod in_flight;
mod incoming;
mod late_call;
mod latency;
mod long_prompts;
mod messages;
mod metrics;
mod placement;
mod queue;
mod rate_limit;
mod request;
mod requirements;
mod response;
mod rules;
mod server;
mod serving;
mod stage_graph;
mod stages;
mod start;
mod stream;
mod successor;
#[cfg(test)]
mod testing;
mod ticket;
mod whole;
mod zone_order;
mod zone_placement;

pub use adapter::{forwarded_request, get_once, parse_load, post_json, set_header};
pub use budgets::SharedBudget;
pub use dialect::{
    Attempt, Dialect, HeaderNameFn, Item, ItemResult, ItemSource, LoadReport, ParsedHead,
    ResponseClass,
};
pub use engine_placement::EnginePlacement;
pub use headers::end_to_end;
pub use incoming::{IncomingRequest, Prompt, PromptPart};
pub use long_prompts::LongPrompts;
pub use outbound::{InstanceCheck, Notice};
pub use routing::{fair_share::FairShares, stage_admission::StageAdmission};
pub use rules::key_digest;
pub use start::{Config, start};
