//! Waits for conditions.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Timeout of one wait; long, since it only ends tests that would hang.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls `probe` until it returns a value.
///
/// # Panics
/// Panics with a message that names `condition` if there is no value in time.
pub async fn wait_until<T>(condition: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        match probe().await {
            Some(value) => return value,
            None if start.elapsed() > WAIT_TIMEOUT => {
                panic!("timed out after {WAIT_TIMEOUT:?} waiting until {condition}")
            }
            None => sleep(POLL_INTERVAL).await,
        }
    }
}
