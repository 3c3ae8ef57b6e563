//! One request through all stages of its pipeline.

use std::sync::Arc;

use declaration::{Declaration, Pipeline};
use host::problem::{Outcome, Problem};
use logs::Story;
use routing::RefusalReason;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, timeout_at};
use uuid::Uuid;

use crate::{
    at_most_once,
    call_record::CallRecord,
    context::{RequestContext, no_time_left},
    error::{CallError, Cause, StageError},
    gate::Gate,
    ledger::stage_key,
    repeatable,
    request::CallerRequest,
    stage::{Stage, StageReport, StageResult, is_engine},
    stream::EventSink,
};

/// A whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct Answer {
    /// The request's id.
    pub(crate) request: String,
    /// Always `completed`.
    pub(crate) outcome: Outcome,
    /// The output of the last stage.
    pub(crate) output: Box<RawValue>,
    /// The output's size in bytes where it is null because the ledger could not keep it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) output_not_kept: Option<u64>,
    /// What became of each stage.
    pub(crate) stages: Vec<StageReport>,
}

/// Runs `ask` to its end; with a `sink`, the text of a last stage that is an engine goes there.
pub(crate) async fn run(
    gate: Arc<Gate>,
    ask: CallerRequest,
    sink: Option<&EventSink>,
) -> Result<Answer, Box<Problem>> {
    let workspace = &ask.in_force.declaration.workspaces[&ask.workspace];
    let cx = RequestContext {
        priority: workspace.priority.0,
        zones: workspace.availability_zones.clone(),
        record: Arc::new(CallRecord::default()),
        story: Story::new(&ask.id),
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
        Ok(done) => {
            cx.tell_served(&done.stages);
            Ok(Answer {
                request: cx.ask.id,
                outcome: Outcome::Completed,
                output: done.output,
                output_not_kept: done.not_kept,
                stages: done.stages,
            })
        }
        Err(e) => {
            let problem = e.problem(cx.record.outcome(), &cx.ask.id);
            cx.tell_failed(&e, &problem);
            Err(Box::new(problem))
        }
    }
}

/// The results of all stages.
#[derive(Debug)]
struct PipelineResult {
    output: Box<RawValue>,
    not_kept: Option<u64>,
    stages: Vec<StageReport>,
}

impl PipelineResult {
    /// The last stage ran for an earlier request, and its output is not there any more.
    fn not_kept(stage: Stage<'_>, done: Vec<StageResult>, bytes: Option<u64>) -> Self {
        let mut stages: Vec<_> = done.into_iter().map(|d| d.report).collect();
        stages.push(StageReport::stored(stage));
        Self {
            output: RawValue::NULL.to_owned(),
            not_kept: bytes,
            stages,
        }
    }
}

impl RequestContext {
    async fn run(&self, sink: Option<&EventSink>) -> Result<PipelineResult, StageError> {
        let in_force = Arc::clone(&self.ask.in_force);
        let declared = &in_force.declaration;
        let pipeline = &declared.pipelines[&self.ask.pipeline];
        let ticket = self.admit(declared, pipeline).await?;
        self.note_admitted();
        let stages = stages(declared, pipeline)?;
        let run = timeout_at(self.ask.deadline, self.run_stages(&stages, sink));
        let result = match run.await {
            Ok(result) => result,
            Err(_) => Err(StageError::at(
                &self.ask.pipeline,
                Cause::Call(CallError::Deadline),
            )),
        };
        ticket.finish(self.verdict(&result));
        result
    }

    /// What the request's end tells admission about overload.
    fn verdict(&self, result: &Result<PipelineResult, StageError>) -> routing::Verdict {
        match result {
            Ok(_) if Instant::now() <= self.ask.deadline => routing::Verdict::OnTime,
            Ok(_) => routing::Verdict::Overloaded,
            Err(e) if e.is_overload() => routing::Verdict::Overloaded,
            Err(_) => routing::Verdict::Other,
        }
    }

    async fn run_stages(
        &self,
        stages: &[Stage<'_>],
        sink: Option<&EventSink>,
    ) -> Result<PipelineResult, StageError> {
        let mut done = Vec::new();
        let mut next = 0;
        let last = stages.len() - 1;
        match self.earlier(stages).await {
            Ok(None) => {}
            Ok(Some((at, earlier))) => {
                done.push(earlier);
                next = at + 1;
            }
            Err(e) if e.not_kept().is_some() && e.step == stages[last].name => {
                return Ok(PipelineResult::not_kept(stages[last], done, e.not_kept()));
            }
            Err(e) => return Err(e),
        }
        for (at, stage) in stages.iter().enumerate().skip(next) {
            if !self.fits(&stages[at..]) {
                return Err(StageError::at(stage.name, no_time_left()));
            }
            let previous = done.last().map(|d: &StageResult| &*d.output);
            let is_streamed = at == last && is_engine(stage.service);
            let sink = sink.filter(|_| is_streamed);
            let result = match self.key(stages, at) {
                Some(key) => at_most_once::run(self, *stage, key, previous).await,
                None => repeatable::run(self, *stage, previous, sink).await,
            };
            match result {
                Err(e) if at == last && e.not_kept().is_some() => {
                    return Ok(PipelineResult::not_kept(*stage, done, e.not_kept()));
                }
                result => {
                    let result = result?;
                    self.note_made(&result.report);
                    done.push(result);
                }
            }
        }
        let stages = done.iter().map(|d| d.report.clone()).collect();
        let output = done.pop().map(|d| d.output);
        Ok(PipelineResult {
            output: output.ok_or_else(|| no_stage(&self.ask.pipeline))?,
            not_kept: None,
            stages,
        })
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
    ) -> Result<Option<(usize, StageResult)>, StageError> {
        let first = stages.iter().position(|s| !s.service.repeatable);
        let Some(at) = first.filter(|at| *at > 0) else {
            return Ok(None);
        };
        let Some(key) = self.key(stages, at) else {
            return Ok(None);
        };
        let stored = at_most_once::earlier(self, stages[at], key).await?;
        Ok(stored.map(|done| (at, done)))
    }

    /// The ledger's key of stage `at`, if it may not be repeated.
    fn key(&self, stages: &[Stage<'_>], at: usize) -> Option<Uuid> {
        let is_once = |s: &Stage<'_>| !s.service.repeatable;
        let nth = stages[..at].iter().filter(|s| is_once(s)).count();
        let key = self.ask.key.filter(|_| is_once(&stages[at]))?;
        Some(stage_key(key, nth))
    }

    fn account(&self, result: &Result<PipelineResult, StageError>) {
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
