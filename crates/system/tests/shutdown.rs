//! A gate that is told to stop cuts off nothing in flight.

use std::time::Duration;

use bench::processes::Signal;
use system::{Ask, Env, booking, key};
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn everything_in_flight_at_sigterm_completes() {
    let mut env = Env::start().await;
    let gate = env.gate("sousse-a-1").http;
    let mut callers = JoinSet::new();
    for n in 0..24 {
        let ask = match n % 3 {
            0 => Ask::question(&format!("whole {n}")),
            1 => Ask::question(&format!("streamed {n}")).streamed(),
            _ => booking(key()),
        };
        callers.spawn(async move { ask.send(gate).await });
    }
    tokio::time::sleep(Duration::from_millis(40)).await;
    env.gate("sousse-a-1").signal(Signal::TERM).unwrap();
    for told in callers.join_all().await {
        let told = told.expect("no connection is cut");
        assert_eq!(told.outcome, "completed", "{told:?}");
        if !told.streamed.is_empty() {
            assert_eq!(Some(told.streamed.as_str()), told.body["output"].as_str());
        }
    }
    let code = env
        .gate_mut("sousse-a-1")
        .wait_for_exit(Duration::from_secs(30))
        .await;
    assert_eq!(code.unwrap(), Some(0));
}
