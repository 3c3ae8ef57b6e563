//! A gate that receives SIGTERM completes the requests in flight.

use std::time::Duration;

use bench::processes::Signal;
use system::{CallerRequest, Env, booking, new_key};
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_sigterm_complete() {
    let mut env = Env::start().await;
    let gate = env.gate("sousse-a-1").http;
    let mut callers = JoinSet::new();
    for n in 0..24 {
        let request = match n % 3 {
            0 => CallerRequest::question(&format!("whole {n}")),
            1 => CallerRequest::question(&format!("streamed {n}")).streamed(),
            _ => booking(new_key()),
        };
        callers.spawn(async move { request.send(gate).await });
    }
    tokio::time::sleep(Duration::from_millis(40)).await;
    env.gate("sousse-a-1").signal(Signal::TERM).unwrap();
    for response in callers.join_all().await {
        let response = response.expect("no connection is closed early");
        assert_eq!(response.outcome, "completed", "{response:?}");
        if !response.streamed_text.is_empty() {
            assert_eq!(
                Some(response.streamed_text.as_str()),
                response.body["output"].as_str()
            );
        }
    }
    let code = env
        .gate_mut("sousse-a-1")
        .finished(Duration::from_secs(30))
        .await;
    assert_eq!(code.unwrap(), Some(0));
}
