//! Starts a response at another endpoint while the first one is silent but not given up.

use std::{sync::Arc, time::Duration};

use crate::{
    attempts::{
        self, AttemptFailure, AttemptLog, MAX_CONNECT_FAILURES, MAX_ENDPOINTS, PreparedCall,
        StartedResponse, choose, prepare,
    },
    request::{Context, Request},
    stages::Results,
};

/// Delay before another endpoint is sought again.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why no other endpoint takes over.
#[derive(Debug, PartialEq)]
pub(crate) enum NoSuccessor {
    /// None ever can.
    Never(String),
    /// None does now, which may change.
    NotNow(String),
}

impl NoSuccessor {
    fn never(why: &str) -> Self {
        Self::Never(why.to_owned())
    }

    fn not_now(why: impl ToString) -> Self {
        Self::NotNow(why.to_string())
    }

    /// The reason.
    pub(crate) fn why(&self) -> &str {
        match self {
            Self::Never(why) | Self::NotNow(why) => why,
        }
    }
}

/// Sends the request to another endpoint, at most one at a time, until one starts a good response. A
/// retry is taken from the budget once an endpoint is known.
pub(crate) async fn start_successor(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    last_event_id: Option<u64>,
) -> Result<StartedResponse, NoSuccessor> {
    loop {
        let call = prepare_successor(cx, req, inputs, attempts, last_event_id).await?;
        let target = Arc::clone(&call.flight.target);
        let failure = match attempts::send(cx, req, call, req.deadline).await {
            Ok(started) if started.is_good => return Ok(started),
            Ok(started) => {
                cx.fleet.record_call_result(&target, true);
                let status = started.exchange.status;
                return Err(NoSuccessor::not_now(format_args!(
                    "{} answered {status}",
                    target.name
                )));
            }
            Err(failure) => failure,
        };
        attempts.settle(&target.name, &failure);
        match failure {
            AttemptFailure::Unreached => attempts.has_unused_retry = true,
            AttemptFailure::NotRun if attempts.endpoints.len() >= MAX_ENDPOINTS => {
                return Err(NoSuccessor::never("no other endpoint took it"));
            }
            AttemptFailure::NotRun => {
                return Err(NoSuccessor::not_now("the other endpoint did not run it"));
            }
            AttemptFailure::InputsGone => {
                return Err(NoSuccessor::never("the results of its stages are gone"));
            }
            AttemptFailure::Lost(e) => return Err(NoSuccessor::not_now(e)),
        }
    }
}

/// Chooses another endpoint and takes a retry from the budget.
pub(crate) async fn prepare_successor(
    cx: &Context,
    req: &Request,
    inputs: &[Arc<Results>],
    attempts: &mut AttemptLog,
    last_event_id: Option<u64>,
) -> Result<PreparedCall, NoSuccessor> {
    let can_pay = || attempts.has_unused_retry || cx.budget.can_spend(&req.service);
    match attempts.runs {
        _ if !req.is_repeatable() => {
            return Err(NoSuccessor::never("its route allows no repeat"));
        }
        runs if runs >= req.route().attempts => {
            return Err(NoSuccessor::never("its route allows no more tries"));
        }
        _ if inputs.is_empty() && !req.route().stages.is_empty() => {
            return Err(NoSuccessor::never(
                "the results of its stages were released",
            ));
        }
        _ if attempts.endpoints.len() >= MAX_CONNECT_FAILURES => {
            return Err(NoSuccessor::never("no other endpoint could be reached"));
        }
        _ if cx.may_crash(req) => {
            return Err(NoSuccessor::not_now(
                "endpoints crashed under a part of its prompt",
            ));
        }
        _ if !can_pay() => return Err(NoSuccessor::not_now(BUDGET_SPENT)),
        _ => {}
    }
    let flight = choose(cx, req, inputs, attempts).await;
    let flight = flight.map_err(|e| NoSuccessor::not_now(e.reason))?;
    if !attempts.take_retry(cx, &req.service) {
        return Err(NoSuccessor::not_now(BUDGET_SPENT));
    }
    Ok(prepare(cx, req, inputs, attempts, flight, last_event_id))
}

const BUDGET_SPENT: &str = "the retry budget of the service is spent";
