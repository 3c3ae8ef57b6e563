//! Sends one batched call to one endpoint.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    batch_context::Context,
    batch_outcome::{BatchOutcome, ItemFailure},
    call::{self, CallError},
    dialect::{Item, ItemResult, ItemSource, ResponseClass},
    messages::StageFailure,
    queue::{Job, NextCall},
};

const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A call is late after this multiple of its expected duration.
const LATE_FACTOR: u32 = 4;
const MIN_LATE_AFTER: Duration = Duration::from_millis(500);

/// Returns when a call that is sent `now` counts as late.
pub(crate) fn late_at(next: &NextCall, now: Instant) -> Instant {
    now + (next.expected * LATE_FACTOR).max(MIN_LATE_AFTER)
}

/// Sends the call and waits for its outcome, at most until the last deadline of its items, or until
/// `late_at` if that is later. A call that is not sent by `late_at` ends then.
pub(crate) async fn call(cx: &Context, next: &NextCall, late_at: Instant) -> BatchOutcome {
    let now = Instant::now();
    let deadline = next.last_deadline().map_or(late_at, |at| at.max(late_at));
    let items: Vec<Item<'_>> = next.jobs.iter().map(|job| batch_item(job, now)).collect();
    let req = (cx.dialect.write_batch)(&items, &next.target.name);
    if next.target.stats().permits.limit(now).is_some() {
        cx.metrics
            .record_limited_call(&next.target.service, "batch");
    }
    let address = next.target.address;
    let sent = call::send_batch(&cx.pool, address, req, late_at, deadline).await;
    if let Err(e) = &sent {
        cx.fleet.record_call_error(&next.target, e);
    }
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(CallError::Unreached(why)) => return BatchOutcome::Unreached(why),
        Err(e) if e.may_have_run() => return BatchOutcome::Failed(e.to_string()),
        Err(e) => return BatchOutcome::Unsent(e.to_string()),
    };
    let class = exchange.classify(&cx.dialect, "");
    if class.is_from_target() {
        let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
        let sent_at = (class == ResponseClass::Success).then_some(now);
        cx.fleet.apply_notice(&next.target, notice, &cx.vm, sent_at);
    }
    match class {
        ResponseClass::Success => {}
        ResponseClass::Full | ResponseClass::NotRun | ResponseClass::InputsGone => {
            return BatchOutcome::NotRun;
        }
        ResponseClass::WrongEndpoint => return BatchOutcome::Misplaced,
        ResponseClass::Failed => return BatchOutcome::Failed(format!("HTTP {}", exchange.status)),
        ResponseClass::Unrelated => return BatchOutcome::Failed("unrelated response".to_owned()),
    }
    let body = match exchange
        .read_body(&cx.pool, &cx.memory, MAX_ANSWER_BYTES, deadline)
        .await
    {
        Ok(body) => body,
        Err(e) => {
            cx.fleet.record_call_error(&next.target, &e);
            return BatchOutcome::Failed(e.to_string());
        }
    };
    match (cx.dialect.read_batch)(&body) {
        Some(results) if results.len() == next.jobs.len() => {
            BatchOutcome::Answered(results.into_iter().map(item_outcome).collect())
        }
        _ => BatchOutcome::Failed("the response does not match the items".to_owned()),
    }
}

fn batch_item(job: &Job, now: Instant) -> Item<'_> {
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

fn item_outcome(result: ItemResult) -> Result<String, ItemFailure> {
    match result {
        ItemResult::Produced(handle) => Ok(handle),
        ItemResult::NoCapacity => Err(ItemFailure::NoCapacity),
        ItemResult::Failed => Err(ItemFailure::Retry),
        ItemResult::InputGone => Err(ItemFailure::Stage(StageFailure::InputGone)),
        ItemResult::Late => Err(ItemFailure::Stage(StageFailure::Late {
            retry_after: Duration::from_millis(500),
        })),
    }
}
