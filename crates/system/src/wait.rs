//! Waiting for a condition.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// No step of a test takes longer; generous, since it only ends tests that would hang.
const LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(25);

/// Polls `probe` until it gives a value.
///
/// # Panics
/// With `what` where none came in time.
pub async fn wait_until<T>(what: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        match probe().await {
            Some(value) => return value,
            None if start.elapsed() > LIMIT => panic!("waited {LIMIT:?} in vain until {what}"),
            None => sleep(POLL).await,
        }
    }
}
