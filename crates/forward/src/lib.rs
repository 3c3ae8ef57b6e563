//! Requests passed on whole.
//!
//! A caller's request is read by a [`Dialect`], finds its route and its workspace ([`rules`]), has
//! its stages done in batches that gates collect together ([`stages`], [`collector`]), and goes to
//! the endpoint whose first part is expected soonest ([`placement`]). Answers pass byte for byte;
//! what may be said where there is none follows from what was handed to a socket ([`answer`]).
//! `docs/design/platform.md` says why it is built this way.

mod adapter;
mod availability;
mod batch;
mod batch_outcome;
mod budgets;
mod cache;
mod call;
mod collector;
mod control;
mod departure_notifier;
mod dialect;
mod error;
mod events;
mod fleet;
mod forwarder;
mod freshness;
mod gates;
mod head_timer;
mod headers;
mod in_flight;
mod incoming;
mod latency;
mod messages;
mod metrics;
mod placement;
mod queue;
mod response;
mod rules;
mod server;
mod serving;
mod stage_graph;
mod stages;
mod start;
mod stream;
#[cfg(test)]
mod testing;
mod ticket;
mod zone_order;

pub use adapter::{forwarded_request, parse_load, post_json, set_header};
pub use budgets::SharedBudget;
pub use dialect::{
    Attempt, Dialect, HeaderNameFn, Item, ItemResult, ItemSource, LoadReport, ParsedHead,
    ResponseClass,
};
pub use headers::end_to_end;
pub use incoming::{IncomingRequest, Prompt, PromptPart};
pub use outbound::Notice;
pub use rules::key_digest;
pub use start::{Config, start};
