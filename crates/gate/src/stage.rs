//! Stages of a request, their results and the state of their retries.

use std::sync::Arc;

use declaration::{Service, ServiceKind};
use derives::record;
use serde_json::value::RawValue;

use crate::call_routing::PickedEndpoint;

/// A stage of the request's pipeline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stage<'a> {
    /// Position in the pipeline, from 1.
    pub(crate) number: usize,
    /// Name of the service.
    pub(crate) name: &'a str,
    pub(crate) service: &'a Service,
}

/// Statistics of a completed stage, part of the response to the caller.
#[record]
pub(crate) struct StageReport {
    /// Position in the pipeline, from 1.
    pub(crate) stage: usize,
    /// Name of the service.
    pub(crate) service: String,
    /// Endpoint that produced the result; empty if it was stored in the ledger.
    pub(crate) endpoint: String,
    /// Calls made, including hedges; 0 if the result was stored in the ledger.
    pub(crate) attempts: u32,
    /// Duration of the stage including retries, in milliseconds.
    pub(crate) elapsed_ms: u64,
    /// Tokens generated; 0 if the service is not an engine.
    pub(crate) tokens: u64,
}

impl StageReport {
    /// Report of a stage whose result an earlier request stored in the ledger.
    pub(crate) fn from_ledger(stage: Stage<'_>) -> Self {
        Self {
            stage: stage.number,
            service: stage.name.to_owned(),
            endpoint: String::new(),
            attempts: 0,
            elapsed_ms: 0,
            tokens: 0,
        }
    }
}

/// Result of a stage.
#[derive(Debug)]
pub(crate) struct StageResult {
    pub(crate) output: Box<RawValue>,
    pub(crate) report: StageReport,
}

/// Most tries of one stage without progress.
const MAX_TRIES: u32 = 5;

/// State of a stage's retries.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    /// Calls made so far.
    pub(crate) calls: u32,
    /// Tries and successors of silent calls so far, each with its hedges; reset when a stream makes progress.
    pub(crate) rounds: u32,
    /// Endpoints that failed, or did not take a stream over in time.
    pub(crate) avoid: Vec<String>,
    /// Endpoint whose connection was lost during its response, to be called again over a new one.
    pub(crate) reconnect_to: Option<Arc<PickedEndpoint>>,
}

impl RetryState {
    /// Returns true if the stage may not be tried again until it makes progress.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.rounds >= MAX_TRIES
    }

    /// Forbids further tries until the stage makes progress.
    pub(crate) fn exhaust(&mut self) {
        self.rounds = MAX_TRIES;
    }
}

/// Returns true if `service` streams its output.
pub(crate) fn is_engine(service: &Service) -> bool {
    service.kind == ServiceKind::Engine
}
