//! Tests of the wait for late calls, without a network.

use std::{future::pending, time::Duration};

use tokio::time::{Instant, sleep};

use super::wait;
use crate::batch_outcome::BatchOutcome;

const LATE_AFTER: Duration = Duration::from_millis(500);

async fn answered_after(delay: Duration) -> BatchOutcome {
    sleep(delay).await;
    BatchOutcome::Answered(Vec::new())
}

/// Guards against a late call that is given up although its items can't run elsewhere.
#[tokio::test(start_paused = true)]
async fn late_call_without_another_endpoint_is_awaited() {
    let call = answered_after(4 * LATE_AFTER);
    let outcome = wait(call, Instant::now() + LATE_AFTER, || false).await;
    assert!(matches!(outcome, BatchOutcome::Answered(_)), "{outcome:?}");
}

/// Guards against items that stay with a silent endpoint after another one has come up.
#[tokio::test(start_paused = true)]
async fn late_call_is_given_up_once_another_endpoint_comes_up() {
    for up_after in [Duration::ZERO, 4 * LATE_AFTER] {
        let start = Instant::now();
        let outcome = wait(pending(), start + LATE_AFTER, || {
            start.elapsed() >= up_after
        })
        .await;
        assert!(matches!(outcome, BatchOutcome::Failed(_)), "{outcome:?}");
        let bound = up_after.max(LATE_AFTER) + 2 * super::CHECK_INTERVAL;
        assert!(start.elapsed() >= up_after.max(LATE_AFTER) && start.elapsed() < bound);
    }
}
