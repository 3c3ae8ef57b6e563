use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    time::{sleep, timeout},
};

use super::{Heads, Noted};

const LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn an_idle_connection_and_a_long_answer_are_not_overdue_and_a_slow_head_is() {
    let (mut caller, stream) = duplex(64);
    let heads = Heads::new();
    let mut noted = Noted {
        stream,
        heads: heads.clone(),
    };
    assert!(timeout(LIMIT * 10, heads.overdue(LIMIT)).await.is_err());

    caller.write_all(b"GET").await.unwrap();
    let mut buf = [0; 3];
    noted.read_exact(&mut buf).await.unwrap();
    sleep(LIMIT / 2).await;
    let answering = heads.answering();
    assert!(timeout(LIMIT * 10, heads.overdue(LIMIT)).await.is_err());
    drop(answering);
    assert!(timeout(LIMIT * 10, heads.overdue(LIMIT)).await.is_err());

    caller.write_all(b"GET").await.unwrap();
    noted.read_exact(&mut buf).await.unwrap();
    let overdue = timeout(LIMIT * 2, heads.overdue(LIMIT)).await;
    assert!(overdue.is_ok());
}
