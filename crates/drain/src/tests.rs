use std::time::Duration;

use proptest::prelude::*;
use tokio::time::{Instant, advance, timeout};

use super::{Shutdown, retry_after};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests that are accepted by a process that ends before they do, and against refusals
/// of those that can be completed.
#[tokio::test(start_paused = true)]
async fn requests_that_outlast_the_process_are_refused_late_in_the_shutdown() {
    let shutdown = Shutdown::new(6 * SECOND);
    let may_wait = |timeout| shutdown.may_wait(Instant::now() + timeout);
    assert!(may_wait(60 * SECOND));
    shutdown.start();
    assert!(may_wait(60 * SECOND));
    advance(SECOND * 3).await;
    shutdown.start();
    assert!(!may_wait(60 * SECOND));
    assert!(may_wait(2 * SECOND));
    advance(SECOND * 2).await;
    assert!(!may_wait(2 * SECOND));
}

/// Guards against throwing the work of stages away: their request may start after others may no longer
/// wait.
#[tokio::test(start_paused = true)]
async fn requests_may_start_for_longer_than_they_may_wait() {
    let shutdown = Shutdown::new(6 * SECOND);
    let deadline = Instant::now() + 60 * SECOND;
    shutdown.start();
    advance(SECOND * 3).await;
    assert!(!shutdown.may_wait(deadline));
    assert!(shutdown.may_start(deadline));
    advance(SECOND * 2).await;
    assert!(!shutdown.may_start(deadline));
}

/// Guards against a process that ends while it owes a response.
#[tokio::test(start_paused = true)]
async fn responses_are_due_before_the_end() {
    for duration in [SECOND / 100, SECOND, 600 * SECOND] {
        let shutdown = Shutdown::new(duration);
        let waiting = timeout(60 * SECOND, shutdown.responses_due()).await;
        assert!(waiting.is_err(), "it does not shut down");
        let begin = Instant::now();
        shutdown.start();
        shutdown.responses_due().await;
        assert!(begin.elapsed() < duration && begin.elapsed() >= duration / 2);
    }
}

/// Guards against a call that is sent when its response is already due.
#[tokio::test(start_paused = true)]
async fn nothing_starts_once_responses_are_due() {
    let shutdown = Shutdown::new(6 * SECOND);
    shutdown.start();
    let deadline = Instant::now() + 5 * SECOND;
    shutdown.responses_due().await;
    advance(SECOND / 100).await;
    assert!(!shutdown.may_start(deadline));
    assert!(!shutdown.may_wait(deadline));
}

/// Guards against a request that waits beyond the time at which it is of use, whenever it began to wait.
#[tokio::test(start_paused = true)]
async fn waits_for_an_endpoint_end_with_the_time_to_start() {
    let shutdown = Shutdown::new(6 * SECOND);
    let (long, short) = (Instant::now() + 60 * SECOND, Instant::now() + 5 * SECOND);
    let begin = Instant::now();
    let early = async {
        shutdown.start_ends(long).await;
        begin.elapsed()
    };
    let short = async {
        shutdown.start_ends(short).await;
        begin.elapsed()
    };
    let start = async { shutdown.start() };
    let (early, short, ()) = tokio::join!(early, short, start);
    assert_eq!(early, 4 * SECOND);
    assert!(short > 5 * SECOND && short < 6 * SECOND);
    shutdown.start_ends(long).await;
    assert_eq!(begin.elapsed(), short);
}

proptest! {
    /// Guards against callers that are told to return too late for their deadline, or all at one time.
    #[test]
    fn refused_callers_return_at_different_times(
        ms in 100_u64..60_000, one in 0.0..0.5, more in 0.1..0.5,
    ) {
        let remaining = Duration::from_millis(ms);
        let (early, late) = (retry_after(remaining, one), retry_after(remaining, one + more));
        prop_assert!(early < late && late < remaining / 2);
    }
}
