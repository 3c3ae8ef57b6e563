//! The gate: callers' requests through every stage of their pipelines.
//!
//! Top to bottom: a caller's call ([`callers`]) is read and checked ([`request`]), admitted and run
//! stage by stage ([`run`]). A stage that may be repeated is tried, hedged and resumed ([`repeated`],
//! [`race`]); one that may not goes through the keepers' ledger ([`once`]). Both choose their endpoints
//! by [`picking`] and talk to them by [`exchange`]. Imports only point downwards. What may be said of a request that did not complete is
//! decided from what was handed to sockets ([`outbound`], [`record`]). `docs/design/request-path.md`
//! and `docs/design/at-most-once.md` say why it is built this way.

mod assembly;
mod beliefs;
mod body;
mod callers;
mod calls;
mod config;
mod draining;
mod endpoints;
mod engine;
mod exchange;
mod failure;
mod gate;
mod guard;
mod head;
mod inflight;
mod ledger;
mod metrics;
mod once;
mod pace;
mod pages;
mod picking;
mod plain;
mod quorum;
mod race;
mod record;
mod refusal;
mod repeated;
mod request;
mod rollout;
mod route;
mod run;
mod running;
mod sse;
mod stage;
mod start;
mod story;
mod stream;
#[cfg(test)]
mod tests;
mod work;

pub use config::{Config, Limits, Timing};
pub use start::start;
