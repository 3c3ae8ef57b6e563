use std::time::Duration;

use tokio::time::{Instant, advance};

use super::Shutdown;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests that are accepted by a gate that ends before they do, and against refusals
/// of those that can be completed.
#[tokio::test(start_paused = true)]
async fn requests_that_outlast_the_process_are_refused_late_in_the_shutdown() {
    let shutdown = Shutdown::new(6 * SECOND);
    let check = |timeout| shutdown.check(Instant::now() + timeout).is_ok();
    assert!(check(60 * SECOND));
    shutdown.start();
    assert!(check(60 * SECOND));
    advance(SECOND * 3).await;
    shutdown.start();
    assert!(!check(60 * SECOND));
    assert!(check(2 * SECOND));
    advance(SECOND * 2).await;
    assert!(!check(2 * SECOND));
}
