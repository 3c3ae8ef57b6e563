use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    time::{sleep, timeout},
};

use super::{HeadTimer, TrackedStream};

const LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn only_a_slow_head_times_out() {
    let (mut caller, stream) = duplex(64);
    let head_timer = HeadTimer::new();
    let mut tracked = TrackedStream {
        stream,
        head_timer: head_timer.clone(),
    };
    assert!(
        timeout(LIMIT * 10, head_timer.timed_out(LIMIT))
            .await
            .is_err()
    );

    caller.write_all(b"GET").await.unwrap();
    let mut buf = [0; 3];
    tracked.read_exact(&mut buf).await.unwrap();
    sleep(LIMIT / 2).await;
    let answering = head_timer.answering();
    assert!(
        timeout(LIMIT * 10, head_timer.timed_out(LIMIT))
            .await
            .is_err()
    );
    drop(answering);
    assert!(
        timeout(LIMIT * 10, head_timer.timed_out(LIMIT))
            .await
            .is_err()
    );

    caller.write_all(b"GET").await.unwrap();
    tracked.read_exact(&mut buf).await.unwrap();
    let timed_out = timeout(LIMIT * 2, head_timer.timed_out(LIMIT)).await;
    assert!(timed_out.is_ok());
}
