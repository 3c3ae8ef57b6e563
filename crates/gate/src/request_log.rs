//! What the log tells of a request.

use std::time::Duration;

use host::problem::{Outcome, Problem};
use logs::{Ending, Event, Story};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{
    call_routing::PickedEndpoint,
    context::RequestContext,
    error::{CallError, Cause, StageError},
    stage::{Stage, StageReport},
};

/// What stands for an endpoint where the ledger had the result.
const LEDGER_ENDPOINT: &str = "the ledger";

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Tells of a request that was answered by `problem` before any work.
pub(crate) fn log_refused(problem: &Problem) {
    let Some(request) = &problem.request else {
        return;
    };
    let ending = match problem.status {
        503 => Ending::Refused,
        _ => Ending::Rejected,
    };
    let after = problem.retry_after_ms;
    Story::new(request).failed(ending, problem.status, &problem.detail, after);
}

impl RequestContext {
    /// The request was admitted.
    pub(crate) fn log_admitted(&self) {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        self.story.note(Event::Admitted {
            route: self.request.pipeline.clone(),
            workspace: Some(self.request.workspace.clone()),
            urgency: self.priority,
            left_ms: millis(remaining),
            confirmed_ms: None,
        });
    }

    /// `picked` was chosen.
    pub(crate) fn log_chosen(&self, picked: &PickedEndpoint) {
        self.story.note(picked.chosen_event());
    }

    /// A call to `picked` failed.
    pub(crate) fn log_call_failed(
        &self,
        stage: Stage<'_>,
        picked: &PickedEndpoint,
        error: CallError,
    ) -> StageError {
        self.story.note(Event::CallFailed {
            endpoint: picked.name().to_owned(),
            why: error.to_string(),
            may_have_run: !error.never_ran(),
            took_ms: millis(picked.picked_at().elapsed()),
        });
        StageError::for_call(stage.name, picked.name(), error)
    }

    /// A stage that failed is not tried again.
    pub(crate) fn log_not_repeated(&self, stage: Stage<'_>, why: &str) {
        self.story.note(Event::NotRepeated {
            service: stage.name.to_owned(),
            why: why.to_owned(),
        });
    }

    /// A stream goes on at `picked`.
    pub(crate) fn log_resumed(&self, picked: &PickedEndpoint, offset: u64) {
        self.story.note(Event::Resumed {
            endpoint: picked.name().to_owned(),
            after: offset,
        });
    }

    /// The keepers, asked at `asked`, said something of `key`.
    pub(crate) fn log_ledger_reply(
        &self,
        stage: Stage<'_>,
        key: Uuid,
        said: String,
        asked: Instant,
    ) {
        self.story.note(Event::Ledger {
            service: stage.name.to_owned(),
            key: key.to_string(),
            said,
            took_ms: millis(asked.elapsed()),
        });
    }

    /// A stage has its result.
    pub(crate) fn log_stage_completed(&self, report: &StageReport) {
        self.story.note(Event::StageMade {
            stage: report.stage,
            endpoints: vec![endpoint(report).to_owned()],
            took_ms: report.elapsed_ms,
        });
    }

    /// Ends the story of a request whose stages all have their results.
    pub(crate) fn log_served(&self, stages: &[StageReport]) {
        self.story.served(&Event::Served {
            route: self.request.pipeline.clone(),
            status: 200,
            endpoint: stages.last().map_or(LEDGER_ENDPOINT, endpoint).to_owned(),
            tries: stages.iter().map(|stage| stage.attempts).sum(),
            took_ms: self.story.took_ms(),
            first_ms: self.story.took_ms(),
            pause_ms: 0,
            is_late: false,
        });
    }

    /// Ends the story of a request that ended with `error`.
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
        self.story
            .failed(ending, problem.status, &problem.detail, after);
    }
}

fn endpoint(report: &StageReport) -> &str {
    match report.endpoint.as_str() {
        "" => LEDGER_ENDPOINT,
        name => name,
    }
}
