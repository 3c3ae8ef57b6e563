//! Runs a request through all stages of its pipeline.

use std::sync::Arc;

use declaration::{Declaration, Pipeline};
use host::problem::{Outcome, Problem};
use logs::RequestLog;
use routing::RefusalReason;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, timeout_at};
use uuid::Uuid;

use crate::{
    at_most_once,
    call_record::{CallRecord, KeyState},
    context::{RequestContext, deadline_too_close},
    error::{CallError, Cause, StageError},
    gate::Gate,
    ledger::stage_key,
    repeatable,
    request::CallerRequest,
    stage::{Stage, StageReport, StageResult, is_engine},
    stream::EventSink,
};

/// Complete response to a request.
#[derive(Debug, Serialize)]
pub(crate) struct Answer {
    /// Id of the request.
    pub(crate) request: String,
    /// Always `completed`.
    pub(crate) outcome: Outcome,
    /// Output of the last stage; null if the ledger could not store it.
    pub(crate) output: Box<RawValue>,
    /// Size in bytes of an output that is null because the ledger could not store it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) output_not_kept: Option<u64>,
    /// Reports of the stages in order.
    pub(crate) stages: Vec<StageReport>,
}

/// Runs `request` to its end. If the last stage is an engine, its text is sent to `sink`.
pub(crate) async fn run(
    gate: Arc<Gate>,
    request: CallerRequest,
    sink: Option<&EventSink>,
) -> Result<Answer, Box<Problem>> {
    let workspace = &request.in_force.declaration.workspaces[&request.workspace];
    let cx = RequestContext {
        priority: workspace.priority.0,
        azs: workspace.availability_zones.clone(),
        record: Arc::new(CallRecord::new(request.key.is_some())),
        request_log: RequestLog::new(&request.id),
        gate,
        request,
    };
    let run = timeout_at(cx.request.deadline, cx.run(sink));
    let ended = tokio::select! {
        biased;
        ended = run => ended.map_err(|_| Cause::Call(CallError::Deadline)),
        () = cx.gate.shutdown.responses_due() => Err(cx.shutting_down()),
    };
    let result = ended.unwrap_or_else(|cause| Err(StageError::new(&cx.request.pipeline, cause)));
    let result = match result {
        Err(e) if cx.record.needs_ledger() => cx.verify_not_run(e).await,
        result => result,
    };
    cx.record_metrics(&result);
    match result {
        Ok(finished) => {
            cx.log_served(&finished.stages);
            Ok(Answer {
                request: cx.request.id,
                outcome: Outcome::Completed,
                output: finished.output,
                output_not_kept: finished.output_not_kept,
                stages: finished.stages,
            })
        }
        Err(e) => {
            let problem = e.problem(cx.record.outcome(), &cx.request.id);
            cx.log_failed(&e, &problem);
            Err(Box::new(problem))
        }
    }
}

/// Output of the last stage and the reports of all stages.
#[derive(Debug)]
struct PipelineResult {
    output: Box<RawValue>,
    output_not_kept: Option<u64>,
    stages: Vec<StageReport>,
}

impl PipelineResult {
    /// Result if the last stage ran for an earlier request whose output was too large to store.
    fn without_output(stage: Stage<'_>, finished: Vec<StageResult>, bytes: Option<u64>) -> Self {
        let mut stages: Vec<_> = finished.into_iter().map(|d| d.report).collect();
        stages.push(StageReport::from_ledger(stage));
        Self {
            output: RawValue::NULL.to_owned(),
            output_not_kept: bytes,
            stages,
        }
    }
}

impl RequestContext {
    async fn run(&self, sink: Option<&EventSink>) -> Result<PipelineResult, StageError> {
        let in_force = Arc::clone(&self.request.in_force);
        let declaration = &in_force.declaration;
        let pipeline = &declaration.pipelines[&self.request.pipeline];
        let ticket = self.admit(declaration, pipeline).await?;
        self.log_admitted();
        let stages = stages(declaration, pipeline)?;
        let run = timeout_at(self.request.deadline, self.run_stages(&stages, sink));
        let result = match run.await {
            Ok(result) => result,
            Err(_) => Err(StageError::new(
                &self.request.pipeline,
                Cause::Call(CallError::Deadline),
            )),
        };
        ticket.finish(self.verdict(&result));
        result
    }

    fn shutting_down(&self) -> Cause {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        Cause::ShuttingDown {
            retry_after: drain::retry_after(remaining, rand::random()),
        }
    }

    /// Returns the request's outcome, by which admission detects overload.
    fn verdict(&self, result: &Result<PipelineResult, StageError>) -> routing::RequestOutcome {
        match result {
            Ok(_) if Instant::now() <= self.request.deadline => routing::RequestOutcome::OnTime,
            Ok(_) => routing::RequestOutcome::Overloaded,
            Err(e) if e.is_overload() => routing::RequestOutcome::Overloaded,
            Err(_) => routing::RequestOutcome::Other,
        }
    }

    async fn run_stages(
        &self,
        stages: &[Stage<'_>],
        sink: Option<&EventSink>,
    ) -> Result<PipelineResult, StageError> {
        let mut finished = Vec::new();
        let mut first = 0;
        let last = stages.len() - 1;
        match self.stored_result(stages).await {
            Ok(None) => {}
            Ok(Some((index, earlier))) => {
                finished.push(earlier);
                first = index + 1;
            }
            Err(e) if e.unkept_output_bytes().is_some() && e.step == stages[last].name => {
                return Ok(PipelineResult::without_output(
                    stages[last],
                    finished,
                    e.unkept_output_bytes(),
                ));
            }
            Err(e) => return Err(e),
        }
        for (index, stage) in stages.iter().enumerate().skip(first) {
            if !self.fits_deadline(&stages[index..]) {
                return Err(StageError::new(stage.name, deadline_too_close()));
            }
            let previous = finished.last().map(|d: &StageResult| &*d.output);
            let is_streamed = index == last && is_engine(stage.service);
            let sink = sink.filter(|_| is_streamed);
            let result = match self.ledger_key(stages, index) {
                Some(key) => at_most_once::run(self, *stage, key, previous).await,
                None => repeatable::run(self, *stage, previous, sink).await,
            };
            match result {
                Err(e) if index == last && e.unkept_output_bytes().is_some() => {
                    return Ok(PipelineResult::without_output(
                        *stage,
                        finished,
                        e.unkept_output_bytes(),
                    ));
                }
                result => {
                    let result = result?;
                    self.log_stage_completed(&result.report);
                    finished.push(result);
                }
            }
        }
        let stages = finished.iter().map(|d| d.report.clone()).collect();
        let output = finished.pop().map(|d| d.output);
        Ok(PipelineResult {
            output: output.ok_or_else(|| undeclared_service(&self.request.pipeline))?,
            output_not_kept: None,
            stages,
        })
    }

    async fn admit(
        &self,
        declaration: &Declaration,
        pipeline: &Pipeline,
    ) -> Result<routing::AdmissionGuard, StageError> {
        let started = Instant::now();
        let request = &self.request;
        let workspace = (
            &*request.workspace,
            &declaration.workspaces[&request.workspace],
        );
        let bytes = request.input.get().len();
        let routing = &self.gate.routing;
        let admitted = routing
            .admit(workspace, pipeline, bytes, request.deadline)
            .await;
        self.gate
            .metrics
            .record_queue_wait(&request.workspace, started.elapsed());
        admitted.map_err(|refusal| {
            let cause = Cause::Admission {
                reason: refusal.reason.as_str(),
                is_workspace_limit: refusal.reason == RefusalReason::WorkspaceLimit,
                retry_after: refusal.retry_after,
            };
            StageError::new("admit request", cause)
        })
    }

    /// Returns the stored result of the first unrepeatable stage. Looked up only if stages come
    /// before it, which then need not run again.
    async fn stored_result(
        &self,
        stages: &[Stage<'_>],
    ) -> Result<Option<(usize, StageResult)>, StageError> {
        let first = stages.iter().position(|s| !s.service.repeatable);
        let Some(index) = first.filter(|index| *index > 0) else {
            return Ok(None);
        };
        let Some(key) = self.ledger_key(stages, index) else {
            return Ok(None);
        };
        let stored = at_most_once::stored_result(self, stages[index], key).await?;
        Ok(stored.map(|finished| (index, finished)))
    }

    /// Asks the ledger whether an earlier request with the same key has run, before `error` is
    /// reported. Returns the stored result if it is the result of the whole pipeline.
    async fn verify_not_run(&self, error: StageError) -> Result<PipelineResult, StageError> {
        let is_shutting_down = matches!(error.cause, Cause::ShuttingDown { .. });
        if error.is_ledger_reply() || is_shutting_down || Instant::now() >= self.request.deadline {
            return Err(error);
        }
        let in_force = Arc::clone(&self.request.in_force);
        let declaration = &in_force.declaration;
        let stages = stages(declaration, &declaration.pipelines[&self.request.pipeline])?;
        let first = stages.iter().position(|s| !s.service.repeatable);
        let Some((index, key)) = first.and_then(|i| Some((i, self.ledger_key(&stages, i)?))) else {
            return Err(error);
        };
        // Requests beyond a limit must not load the keepers without bound.
        let Ok(_permit) = self.gate.verifications.try_acquire() else {
            return Err(error);
        };
        let is_last = index == stages.len() - 1;
        let asking = at_most_once::stored_result(self, stages[index], key);
        match timeout_at(self.request.deadline, asking).await {
            Ok(Ok(Some(stored))) if is_last => Ok(PipelineResult {
                stages: vec![stored.report],
                output: stored.output,
                output_not_kept: None,
            }),
            Ok(Ok(None)) => {
                self.record.set_key_state(KeyState::Free);
                Err(error)
            }
            Ok(Err(e)) if is_last && e.unkept_output_bytes().is_some() => {
                let bytes = e.unkept_output_bytes();
                Ok(PipelineResult::without_output(
                    stages[index],
                    Vec::new(),
                    bytes,
                ))
            }
            Ok(Err(e)) => Err(e),
            // A stored result of an earlier stage, or no reply in time.
            Ok(Ok(Some(_))) | Err(_) => Err(error),
        }
    }

    /// Returns the ledger key of stage `index`, if it may not be repeated.
    fn ledger_key(&self, stages: &[Stage<'_>], index: usize) -> Option<Uuid> {
        let is_once = |s: &Stage<'_>| !s.service.repeatable;
        let nth = stages[..index].iter().filter(|s| is_once(s)).count();
        let key = self.request.key.filter(|_| is_once(&stages[index]))?;
        Some(stage_key(key, nth))
    }

    fn record_metrics(&self, result: &Result<PipelineResult, StageError>) {
        let outcome = match result {
            Ok(_) => Outcome::Completed,
            Err(e) => e.settled_outcome(self.record.outcome()),
        };
        let request = &self.request;
        let is_in_time = Instant::now() <= request.deadline;
        let elapsed = request.arrived.elapsed();
        let metrics = &self.gate.metrics;
        metrics.record_request(
            &request.pipeline,
            &request.workspace,
            outcome,
            elapsed,
            is_in_time,
        );
    }
}

fn stages<'a>(
    declaration: &'a Declaration,
    pipeline: &'a Pipeline,
) -> Result<Vec<Stage<'a>>, StageError> {
    let stages = pipeline.stages.iter().enumerate().map(|(index, name)| {
        let service = declaration.services.get(name);
        let service = service.ok_or_else(|| undeclared_service(name))?;
        let number = index + 1;
        Ok(Stage {
            number,
            name,
            service,
        })
    });
    stages.collect()
}

/// Not reached with a validated declaration.
fn undeclared_service(name: &str) -> StageError {
    let reason = "it is not declared".to_owned();
    let retry_after = std::time::Duration::from_secs(1);
    StageError::new(
        name,
        Cause::NoEndpoint {
            reason,
            retry_after,
        },
    )
}
