//! Serves one request from its route to its response.

use std::{sync::Arc, time::Duration};

use declaration::ResponseKind;
use routing::stage_admission::{self, StageAdmission};
use tokio::time::timeout_at;

use crate::{
    attempts::{AttemptLog, may_repeat, start_response},
    error::{ForwardError, Refusal},
    messages::StageFailure,
    placement::EVACUATED_RETRY_AFTER,
    request::{ANSWER_MARGIN, Context, RETRY_AFTER, Request},
    requirements::Requirements,
    response::Response,
    stages::{Results, StageContext},
    stream, whole,
};

/// Serves a request: its stages, then an endpoint. If stage results are gone by then, for example
/// together with the endpoint that held them, the stages run once more.
pub(crate) async fn serve(cx: &Context, req: Request) -> Result<Response, ForwardError> {
    cx.budget.record_first_attempt(&req.service);
    let mut attempts = AttemptLog::default();
    match serve_once(cx, &req, &mut attempts).await {
        Err(ForwardError::Refused {
            reason: Refusal::InputsGone,
            ..
        }) if attempts.runs == 0 => serve_once(cx, &req, &mut attempts).await,
        result => result,
    }
}

/// Why a request without a response is given up.
enum End {
    /// Its deadline is near.
    Late,
    ShuttingDown,
}

async fn serve_once(
    cx: &Context,
    req: &Request,
    attempts: &mut AttemptLog,
) -> Result<Response, ForwardError> {
    let produced = cx.unless_blocked(req, inputs(cx, req));
    let produced = timeout_at(req.first_part_deadline - ANSWER_MARGIN, produced);
    let late = |_| ForwardError::retry_later(Refusal::StagesLate, RETRY_AFTER);
    let inputs = tokio::select! {
        biased;
        produced = produced => produced.map_err(late).flatten()?,
        () = cx.shutdown.start_ends(req.deadline) => {
            return Err(ForwardError::shutting_down(req.remaining()));
        }
    };
    let serving = async {
        match req.route().answer {
            ResponseKind::Whole => whole::serve_whole(cx, req, &inputs, attempts).await,
            ResponseKind::Stream => {
                let mut started = start_response(cx, req, &inputs, attempts, None).await?;
                while !started.is_good && may_repeat(cx, req, attempts) {
                    cx.fleet.record_call_result(&started.flight.target, true);
                    started = start_response(cx, req, &inputs, attempts, None).await?;
                }
                if !started.is_good {
                    let target = &started.flight.target;
                    let checked = req.check_failure(started.exchange.status, &target.name);
                    checked.inspect_err(|_| cx.fleet.record_call_result(target, true))?;
                }
                Ok(stream::relay_events(
                    cx,
                    req,
                    inputs,
                    started,
                    std::mem::take(attempts),
                ))
            }
        }
    };
    let ended = tokio::select! {
        biased;
        served = timeout_at(req.deadline - ANSWER_MARGIN, serving) => served.map_err(|_| End::Late),
        () = cx.shutdown.responses_due() => Err(End::ShuttingDown),
    };
    let result = match ended {
        Ok(result) => result,
        Err(End::Late) if attempts.runs > 0 => Err(ForwardError::DeadlineExceeded),
        Err(End::Late) => Err(ForwardError::retry_later(Refusal::NoTime, RETRY_AFTER)),
        Err(End::ShuttingDown) if attempts.runs > 0 => {
            Err(ForwardError::Lost("the gate shuts down".to_owned()))
        }
        Err(End::ShuttingDown) => Err(ForwardError::shutting_down(req.remaining())),
    };
    if matches!(result, Err(ForwardError::Refused { .. })) {
        let stages = 0..req.route().stages.len();
        let (rules, incoming) = (&req.matched.rules, &req.incoming);
        cx.stages
            .record_wasted(req.route(), rules, incoming, stages);
    }
    result
}

/// Returns when a caller may retry whose stages were refused. With admission over all stages, requests
/// that are refused together do not return together.
fn spread(cx: &Context, req: &Request, free_after: Duration) -> Duration {
    match cx.stages.admission {
        StageAdmission::Pool => free_after,
        StageAdmission::Graph => {
            stage_admission::retry_after(free_after, req.remaining(), rand::random())
        }
    }
}

async fn inputs(cx: &Context, req: &Request) -> Result<Vec<Arc<Results>>, ForwardError> {
    let route = req.route();
    if route.stages.is_empty() {
        return Ok(Vec::new());
    }
    let requirements = Requirements {
        service: &req.service,
        az: &cx.az,
        prompt: req.incoming.prompt.as_ref().filter(|_| route.affinity),
        inputs: &[],
        avoid: &[],
    };
    let az = cx.fleet.predicted_zone(&requirements);
    let stage_cx = StageContext {
        request_log: &req.log,
        incoming: &req.incoming,
        route,
        urgency: req.urgency,
        workspace: req.caller.as_ref().map(|caller| caller.workspace.as_str()),
        route_name: &req.matched.name,
        rules: &req.matched.rules,
        request_time: cx.fleet.predicted_time(&requirements),
        deadline: req.first_part_deadline,
        az: az.as_deref().unwrap_or(&cx.az),
    };
    let stages = cx.stages.run(&stage_cx);
    stages.await.map_err(|failure| match failure {
        StageFailure::Late { retry_after } | StageFailure::Crowded { retry_after } => {
            let retry_after = retry_after.max(RETRY_AFTER);
            ForwardError::retry_later(Refusal::StagesLate, spread(cx, req, retry_after))
        }
        StageFailure::Paused { retry_after } => {
            ForwardError::retry_later(Refusal::Paused, retry_after)
        }
        StageFailure::Limited { retry_after } => {
            ForwardError::retry_later(Refusal::Limited, retry_after)
        }
        StageFailure::NoEndpoint => ForwardError::retry_later(Refusal::NoEndpoint, RETRY_AFTER),
        StageFailure::Evacuated => {
            ForwardError::retry_later(Refusal::Evacuated, EVACUATED_RETRY_AFTER)
        }
        StageFailure::InputGone
        | StageFailure::Moved
        | StageFailure::Failed
        | StageFailure::Unreachable => {
            ForwardError::retry_later(Refusal::StagesFailed, RETRY_AFTER)
        }
    })
}
