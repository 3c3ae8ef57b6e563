//! Waits for batched calls, and gives up late ones whose items can run elsewhere.

use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    batch, batch_context::Context, batch_outcome::BatchOutcome, call::CallError, queue::NextCall,
};

/// Time after which an endpoint that starts calls at once has fetched the inputs of its items: the
/// call has to arrive, and a full batch fetches some megabytes.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Time between checks whether a late call can be given up.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the call and waits for its outcome. A late call fails as soon as `may_give_up` returns
/// true.
pub(crate) async fn call(
    cx: &Context,
    next: &NextCall,
    may_give_up: impl Fn() -> bool,
) -> BatchOutcome {
    let late_at = batch::late_at(next, Instant::now());
    wait(
        call_tracking_inputs(cx, next, late_at),
        late_at,
        may_give_up,
    )
    .await
}

/// Waits for `call`. From `late_at` on, `may_give_up` is checked at intervals; once it returns true,
/// the call is dropped and has failed.
async fn wait(
    call: impl Future<Output = BatchOutcome>,
    late_at: Instant,
    may_give_up: impl Fn() -> bool,
) -> BatchOutcome {
    tokio::pin!(call);
    let mut check_at = late_at;
    loop {
        match timeout_at(check_at, &mut call).await {
            Ok(outcome) => return outcome,
            Err(_) if may_give_up() => {
                return BatchOutcome::Failed(CallError::TimedOut.to_string());
            }
            Err(_) => check_at = Instant::now() + CHECK_INTERVAL,
        }
    }
}

/// Sends the call. Once it has run for `FETCH_TIME` on an endpoint that starts calls at once, its
/// inputs count as fetched.
async fn call_tracking_inputs(cx: &Context, next: &NextCall, late_at: Instant) -> BatchOutcome {
    let call = batch::call(cx, next, late_at);
    tokio::pin!(call);
    match timeout(FETCH_TIME, &mut call).await {
        Ok(outcome) => return outcome,
        Err(_) if next.starts_at_once => {
            next.jobs
                .iter()
                .for_each(|job| job.ticket.record_inputs_fetched(job.item));
        }
        Err(_) => {}
    }
    call.await
}

#[cfg(test)]
mod tests;
