//! A stage of a request: what it is, what its tries have come to, what the caller is told of it.

use std::sync::Arc;

use declaration::{Service, ServiceKind};
use derives::record;
use serde_json::value::RawValue;

use crate::call_routing::PickedEndpoint;

/// A stage of the request's pipeline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stage<'a> {
    /// Its number in the pipeline, from 1.
    pub(crate) number: usize,
    /// The service's name.
    pub(crate) name: &'a str,
    /// The service.
    pub(crate) service: &'a Service,
}

/// What the caller is told of a stage.
#[record]
pub(crate) struct StageReport {
    /// Its number in the pipeline, from 1.
    pub(crate) stage: usize,
    /// The service.
    pub(crate) service: String,
    /// The endpoint whose answer it is.
    pub(crate) endpoint: String,
    /// Calls made, hedges included; 0 where the result was stored.
    pub(crate) attempts: u32,
    /// Time of the stage with all its tries, in milliseconds.
    pub(crate) elapsed_ms: u64,
    /// Tokens generated, for an engine.
    pub(crate) tokens: u64,
}

impl StageReport {
    /// The report of a stage whose result was stored by an earlier request.
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

/// A stage's result.
#[derive(Debug)]
pub(crate) struct StageResult {
    /// Its output.
    pub(crate) output: Box<RawValue>,
    /// What the caller is told of it.
    pub(crate) report: StageReport,
}

/// What the tries of a stage have come to so far.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    /// Calls made.
    pub(crate) calls: u32,
    /// Tries made, each with its hedges.
    pub(crate) rounds: u32,
    /// Endpoints that failed.
    pub(crate) avoid: Vec<String>,
    /// The endpoint whose connection was lost in the middle of its answer.
    pub(crate) reconnect_to: Option<Arc<PickedEndpoint>>,
    /// Where a stream that lagged goes on.
    pub(crate) move_to: Option<Arc<PickedEndpoint>>,
}

/// Whether `service` streams chunks.
pub(crate) fn is_engine(service: &Service) -> bool {
    service.kind == ServiceKind::Engine
}
