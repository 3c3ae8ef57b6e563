//! The gate: callers' requests through every stage of their pipelines.
//!
//! Top to bottom: a caller's call ([`caller_api`]) is read and checked ([`request`]), admitted and run
//! stage by stage ([`pipeline`]). A stage that may be repeated is tried, hedged and resumed ([`repeatable`],
//! [`hedging`]); one that may not goes through the keepers' ledger ([`at_most_once`]). Both choose their endpoints
//! by [`picking`] and talk to them by [`exchange`]. Imports only point downwards. What may be said of a request that did not complete is
//! decided from what was handed to sockets ([`outbound`], [`call_record`]). `docs/design/request-path.md`
//! and `docs/design/at-most-once.md` say why it is built this way.

mod assembly;
mod at_most_once;
mod body;
mod call_counters;
mod call_guard;
mod call_record;
mod call_routing;
mod caller_api;
mod config;
mod context;
mod draining;
mod endpoint_api;
mod endpoint_state_log;
mod engine;
mod error;
mod exchange;
mod gate;
mod head_limit;
mod hedging;
mod inflight;
mod lag;
mod ledger;
mod metrics;
mod pages;
mod picking;
mod pipeline;
mod plain;
mod quorum;
mod refusal;
mod repeatable;
mod request;
mod request_log;
mod rollout;
mod sse;
mod stage;
mod stage_work;
mod start;
mod stream;
#[cfg(test)]
mod tests;

pub use config::{Config, Limits, Timing};
pub use start::start;
