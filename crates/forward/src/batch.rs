//! One batched call to one endpoint.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    call::{self, CallError},
    collector::Context,
    dialect::{Item, ItemResult, ItemSource, ResponseClass},
    ended::{Ended, ItemFailure},
    messages::StageFailure,
    queue::{Job, NextCall},
};

/// Most bytes of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Times of what a call is expected to take after which it counts as lost.
const PATIENCE: u32 = 4;
const MIN_PATIENCE: Duration = Duration::from_millis(500);

/// Makes the call and waits for its end.
pub(crate) async fn call(cx: &Context, next: &NextCall) -> Ended {
    let now = Instant::now();
    let items: Vec<Item<'_>> = next.jobs.iter().map(|job| item(job, now)).collect();
    let req = (cx.dialect.write_batch)(&items, &next.target.name);
    let patience = (next.expected * PATIENCE).max(MIN_PATIENCE);
    let until = now + patience;
    let exchange = match call::send(&cx.pool, next.target.address, req, until).await {
        Ok(exchange) => exchange,
        Err(CallError::Unreached(why)) => return Ended::Unreached(why),
        Err(e) if e.may_have_run() => return Ended::Failed(e.to_string()),
        Err(e) => return Ended::Unsent(e.to_string()),
    };
    let class = (cx.dialect.classify)("", exchange.status, &exchange.headers);
    if class.is_of_target() {
        let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
        cx.fleet.apply_notice(&next.target, notice, &cx.vm);
    }
    match class {
        ResponseClass::Success => {}
        ResponseClass::Full | ResponseClass::NotRun | ResponseClass::InputsGone => {
            // Reading the rest only keeps the connection.
            let _ = exchange.whole(&cx.pool, MAX_ANSWER_BYTES, until).await;
            return Ended::NotRun;
        }
        ResponseClass::WrongEndpoint => return Ended::Misplaced,
        ResponseClass::Failed => return Ended::Failed(format!("it answered {}", exchange.status)),
        ResponseClass::Unrelated => return Ended::Failed("another answer came".to_owned()),
    }
    let body = match exchange.whole(&cx.pool, MAX_ANSWER_BYTES, until).await {
        Ok(body) => body,
        Err(e) => return Ended::Failed(e.to_string()),
    };
    match (cx.dialect.read_batch)(&body) {
        Some(results) if results.len() == next.jobs.len() => {
            Ended::Answered(results.into_iter().map(read).collect())
        }
        _ => Ended::Failed("its answer does not fit its items".to_owned()),
    }
}

fn item(job: &Job, now: Instant) -> Item<'_> {
    let submission = &job.ticket.submission;
    let source = match &submission.key {
        Some(key) if submission.inputs.is_empty() => ItemSource::Key(key),
        _ => ItemSource::Inputs(&submission.inputs),
    };
    Item {
        request: &submission.request,
        stage: submission.stage,
        item: job.item,
        remaining: job.ticket.deadline.saturating_duration_since(now),
        source,
    }
}

fn read(result: ItemResult) -> Result<String, ItemFailure> {
    match result {
        ItemResult::Produced(handle) => Ok(handle),
        ItemResult::NoCapacity => Err(ItemFailure::NoRoom),
        ItemResult::Failed => Err(ItemFailure::Again),
        ItemResult::InputGone => Err(ItemFailure::Ended(StageFailure::InputGone)),
        ItemResult::Late => Err(ItemFailure::Ended(StageFailure::Late {
            retry_after: Duration::from_millis(500),
        })),
    }
}
