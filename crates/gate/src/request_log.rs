//! Request log events.

use std::time::Duration;

use host::problem::{Outcome, Problem};
use logs::{Ending, Event, RequestLog};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{
    call_routing::PickedEndpoint,
    context::RequestContext,
    error::{CallError, Cause, StageError},
    stage::{Stage, StageReport},
};

/// Logged in place of an endpoint if the result was stored in the ledger.
const LEDGER_ENDPOINT: &str = "the ledger";

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Logs a request that was refused with `problem` before any work.
pub(crate) fn log_refused(problem: &Problem) {
    let Some(request) = &problem.request else {
        return;
    };
    let ending = match problem.status {
        503 => Ending::Refused,
        _ => Ending::Rejected,
    };
    let after = problem.retry_after_ms;
    RequestLog::new(request).failed(ending, problem.status, &problem.detail, after);
}

impl RequestContext {
    pub(crate) fn log_admitted(&self) {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        self.request_log.note(Event::Admitted {
            route: self.request.pipeline.clone(),
            workspace: Some(self.request.workspace.clone()),
            urgency: self.priority,
            left_ms: millis(remaining),
            confirmed_ms: None,
        });
    }

    pub(crate) fn log_chosen(&self, picked: &PickedEndpoint) {
        self.request_log.note(picked.chosen_event());
    }

    /// Logs a failed call to `picked` and returns the error of its stage.
    pub(crate) fn log_call_failed(
        &self,
        stage: Stage<'_>,
        picked: &PickedEndpoint,
        error: CallError,
    ) -> StageError {
        self.request_log.note(Event::CallFailed {
            endpoint: picked.name().to_owned(),
            why: error.to_string(),
            may_have_run: !error.never_ran(),
            took_ms: millis(picked.picked_at().elapsed()),
        });
        StageError::for_call(stage.name, picked.name(), error)
    }

    /// Logs why a failed stage is not retried.
    pub(crate) fn log_not_repeated(&self, stage: Stage<'_>, why: &str) {
        self.request_log.note(Event::NotRepeated {
            service: stage.name.to_owned(),
            why: why.to_owned(),
        });
    }

    /// Logs that a stream is resumed at `picked`.
    pub(crate) fn log_resumed(&self, picked: &PickedEndpoint, offset: u64) {
        self.request_log.note(Event::Resumed {
            endpoint: picked.name().to_owned(),
            after: offset,
        });
    }

    /// Logs the keepers' reply for `key` to a query sent at `sent_at`.
    pub(crate) fn log_ledger_reply(
        &self,
        stage: Stage<'_>,
        key: Uuid,
        said: String,
        sent_at: Instant,
    ) {
        self.request_log.note(Event::Ledger {
            service: stage.name.to_owned(),
            key: key.to_string(),
            said,
            took_ms: millis(sent_at.elapsed()),
        });
    }

    pub(crate) fn log_stage_completed(&self, report: &StageReport) {
        self.request_log.note(Event::StageMade {
            stage: report.stage,
            endpoints: vec![endpoint(report).to_owned()],
            took_ms: report.elapsed_ms,
        });
    }

    /// Logs the end of a request that completed.
    pub(crate) fn log_served(&self, stages: &[StageReport]) {
        self.request_log.served(&Event::Served {
            route: self.request.pipeline.clone(),
            status: 200,
            endpoint: stages.last().map_or(LEDGER_ENDPOINT, endpoint).to_owned(),
            tries: stages.iter().map(|stage| stage.attempts).sum(),
            took_ms: self.request_log.elapsed_ms(),
            first_ms: self.request_log.elapsed_ms(),
            pause_ms: 0,
            is_late: false,
        });
    }

    /// Logs the end of a request that failed with `error`.
    pub(crate) fn log_failed(&self, error: &StageError, problem: &Problem) {
        let ending = match &error.cause {
            Cause::Call(CallError::Deadline) => Ending::Late,
            Cause::Call(CallError::CallerDisconnected) => Ending::Left,
            Cause::Conflict | Cause::TooOld | Cause::InFuture => Ending::Rejected,
            _ if problem.outcome == Some(Outcome::NotRun) => Ending::Refused,
            Cause::Call(CallError::Status { .. }) | Cause::EarlierRefused { .. } => {
                Ending::EndpointFailed
            }
            _ => Ending::Lost,
        };
        let after = problem.retry_after_ms;
        self.request_log
            .failed(ending, problem.status, &problem.detail, after);
    }
}

fn endpoint(report: &StageReport) -> &str {
    match report.endpoint.as_str() {
        "" => LEDGER_ENDPOINT,
        name => name,
    }
}
