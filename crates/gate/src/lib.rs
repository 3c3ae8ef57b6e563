//! HTTP gateway that runs callers' requests through all stages of their pipelines.
//!
//! From top to bottom: a caller's request ([`caller_api`]) is read and validated ([`request`]),
//! admitted and run stage by stage ([`pipeline`]). Repeatable stages are retried, hedged and
//! resumed ([`repeatable`], [`hedging`]); the others go through the at-most-once ledger of the
//! keepers ([`at_most_once`]). Both select endpoints with [`picking`] and call them with
//! [`exchange`]. Modules only import from modules below them. The outcome reported for an
//! incomplete request follows from the bytes written to sockets ([`outbound`], [`call_record`]).
//! `docs/design/request-path.md` and `docs/design/at-most-once.md` explain the design.

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
mod engine;
mod error;
mod evacuations;
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
mod state_changes;
mod stream;
mod succession;
#[cfg(test)]
mod tests;

pub use config::{Config, Limits, Timing};
pub use start::start;
