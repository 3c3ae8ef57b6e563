//! One request through all stages of its pipeline.

use std::sync::Arc;

use declaration::{Declaration, Pipeline};
use host::problem::{Outcome, Problem};
use routing::RefusalReason;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, timeout_at};
use uuid::Uuid;

use crate::{
    failure::{CallError, Cause, StageError},
    gate::Gate,
    ledger::stage_key,
    once,
    record::Record,
    request::Ask,
    stage::{self, Stage, StageDone, StageReport, is_engine},
    stream::Sink,
};

/// A request that runs.
#[derive(Debug)]
pub(crate) struct Running {
    /// The gate.
    pub(crate) gate: Arc<Gate>,
    /// What the caller asked for.
    pub(crate) ask: Ask,
    /// The workspace's priority.
    pub(crate) priority: u8,
    /// Availability zones that the workspace may use.
    pub(crate) zones: Vec<String>,
    /// What is known of the request's calls.
    pub(crate) record: Arc<Record>,
}

/// A whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct Answer {
    /// The request's id.
    pub(crate) request: String,
    /// Always `completed`.
    pub(crate) outcome: Outcome,
    /// The output of the last stage.
    pub(crate) output: Box<RawValue>,
    /// What became of each stage.
    pub(crate) stages: Vec<StageReport>,
}

/// Runs `ask` to its end; with a `sink`, the text of a last stage that is an engine goes there.
pub(crate) async fn run(
    gate: Arc<Gate>,
    ask: Ask,
    sink: Option<&Sink>,
) -> Result<Answer, Problem> {
    let workspace = &ask.in_force.declaration.workspaces[&ask.workspace];
    let cx = Running {
        priority: workspace.priority.0,
        zones: workspace.availability_zones.clone(),
        record: Arc::new(Record::default()),
        gate,
        ask,
    };
    let result = match timeout_at(cx.ask.deadline, cx.run(sink)).await {
        Ok(result) => result,
        Err(_) => {
            let cause = Cause::Call(CallError::Deadline);
            Err(StageError::at(&cx.ask.pipeline, cause))
        }
    };
    cx.account(&result);
    match result {
        Ok((output, stages)) => Ok(Answer {
            request: cx.ask.id,
            outcome: Outcome::Completed,
            output,
            stages,
        }),
        Err(e) => Err(e.problem(cx.record.outcome(), &cx.ask.id)),
    }
}

type Done = (Box<RawValue>, Vec<StageReport>);

impl Running {
    async fn run(&self, sink: Option<&Sink>) -> Result<Done, StageError> {
        let in_force = Arc::clone(&self.ask.in_force);
        let declared = &in_force.declaration;
        let pipeline = &declared.pipelines[&self.ask.pipeline];
        let ticket = self.admit(declared, pipeline).await?;
        let stages = stages(declared, pipeline)?;
        let mut done = Vec::new();
        let mut next = 0;
        if let Some((at, earlier)) = self.earlier(&stages).await? {
            done.push(earlier);
            next = at + 1;
        }
        let last = stages.len() - 1;
        for (at, stage) in stages.iter().enumerate().skip(next) {
            let previous = done.last().map(|d: &StageDone| &*d.output);
            let is_streamed = at == last && is_engine(stage.service);
            let sink = sink.filter(|_| is_streamed);
            let result = match self.key(&stages, at) {
                Some(key) => once::run(self, *stage, key, previous).await,
                None => stage::run(self, *stage, previous, sink).await,
            };
            done.push(result?);
        }
        drop(ticket);
        let reports = done.iter().map(|d| d.report.clone()).collect();
        let output = done.pop().map(|d| d.output);
        let output = output.ok_or_else(|| no_stage(&self.ask.pipeline))?;
        Ok((output, reports))
    }

    async fn admit(
        &self,
        declared: &Declaration,
        pipeline: &Pipeline,
    ) -> Result<routing::Ticket, StageError> {
        let started = Instant::now();
        let ask = &self.ask;
        let workspace = (&*ask.workspace, &declared.workspaces[&ask.workspace]);
        let bytes = ask.input.get().len();
        let route = &self.gate.route;
        let entered = route.admit(workspace, pipeline, bytes, ask.deadline).await;
        self.gate.metrics.queued(&ask.workspace, started.elapsed());
        entered.map_err(|refusal| {
            let cause = Cause::Admission {
                reason: refusal.reason.as_str(),
                is_workspace_limit: refusal.reason == RefusalReason::WorkspaceLimit,
                retry_after: refusal.retry_after,
            };
            StageError::at("admit request", cause)
        })
    }

    /// The stored result of the first stage that may not be repeated, where stages before it would
    /// run again for nothing.
    async fn earlier(
        &self,
        stages: &[Stage<'_>],
    ) -> Result<Option<(usize, StageDone)>, StageError> {
        let first = stages.iter().position(|s| !s.service.repeatable);
        let Some(at) = first.filter(|at| *at > 0) else {
            return Ok(None);
        };
        let Some(key) = self.key(stages, at) else {
            return Ok(None);
        };
        let stored = once::earlier(self, stages[at], key).await?;
        Ok(stored.map(|done| (at, done)))
    }

    /// The ledger's key of stage `at`, if it may not be repeated.
    fn key(&self, stages: &[Stage<'_>], at: usize) -> Option<Uuid> {
        let is_once = |s: &Stage<'_>| !s.service.repeatable;
        let nth = stages[..at].iter().filter(|s| is_once(s)).count();
        let key = self.ask.key.filter(|_| is_once(&stages[at]))?;
        Some(stage_key(key, nth))
    }

    fn account(&self, result: &Result<Done, StageError>) {
        let outcome = match result {
            Ok(_) => Outcome::Completed,
            Err(e) => e.settled_outcome(self.record.outcome()),
        };
        let ask = &self.ask;
        let is_in_time = Instant::now() <= ask.deadline;
        let elapsed = ask.arrived.elapsed();
        let metrics = &self.gate.metrics;
        metrics.request(&ask.pipeline, &ask.workspace, outcome, elapsed, is_in_time);
    }
}

fn stages<'a>(
    declared: &'a Declaration,
    pipeline: &'a Pipeline,
) -> Result<Vec<Stage<'a>>, StageError> {
    let stages = pipeline.stages.iter().enumerate().map(|(at, name)| {
        let service = declared.services.get(name);
        let service = service.ok_or_else(|| no_stage(name))?;
        let number = at + 1;
        Ok(Stage {
            number,
            name,
            service,
        })
    });
    stages.collect()
}

/// A validated declaration has no such pipeline.
fn no_stage(name: &str) -> StageError {
    let reason = "it is not declared".to_owned();
    let retry_after = std::time::Duration::from_secs(1);
    StageError::at(
        name,
        Cause::NoEndpoint {
            reason,
            retry_after,
        },
    )
}
