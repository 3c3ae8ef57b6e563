//! A version change, from the console's form to the engines that serve it.

use bench::stand_in::StandIn;
use system::{Browser, CallerRequest, Env};

const CONTROLLER_SETTINGS: &str =
    "[controller]\nsettle_ms = 0\nfollow_ms = 200\nshare_percent = 50\n";

fn serves_only(endpoint: &StandIn, version: u32) -> bool {
    let models = endpoint.models();
    !models.is_empty() && models.iter().all(|loaded| loaded.version == version)
}

#[tokio::test(flavor = "multi_thread")]
async fn submitted_version_is_rolled_out_to_every_engine() {
    let mut env = Env::start().await;
    for vm in system::KEEPER_VMS {
        env.start_controller(vm, CONTROLLER_SETTINGS).await;
    }
    let console = env.start_console("").await;
    let mut browser = Browser::new(console);
    system::wait_until("the console has the declaration", async || {
        browser
            .open("/")
            .await
            .html
            .contains("appraise-llm")
            .then_some(())
    })
    .await;
    let mut fields = browser
        .open("/edit?kind=service&name=appraise-llm")
        .await
        .form("/preview");
    assert_eq!(fields["key.version"], "3");
    fields.insert("key.version".to_owned(), "4".to_owned());
    fields.insert("author".to_owned(), "noura".to_owned());
    fields.insert("reason".to_owned(), "new appraisals".to_owned());
    let preview = browser.submit("/preview", &fields).await;
    let accepted = browser.submit("/submit", &preview.form("/submit")).await;
    assert_eq!(accepted.status, 200, "{}", accepted.html);
    let gate = env.gate("sousse-a-1").http;
    let mut request_count = 0;
    system::wait_until("every engine serves only version 4", async || {
        request_count += 1;
        let response = CallerRequest::question(&format!("question {request_count}"))
            .send(gate)
            .await
            .unwrap();
        assert_eq!(
            response.outcome, "completed",
            "a request failed during the rollout: {response:?}"
        );
        let mut engines = env
            .endpoints()
            .iter()
            .filter(|e| e.name().starts_with("appraise-llm"));
        engines.all(|e| serves_only(e, 4)).then_some(())
    })
    .await;
    assert!(
        request_count > 1,
        "the rollout ended before the second request"
    );
}
