//! One change, followed from the form to the version that engines serve.

use bench::stand_in::StandIn;
use system::{Browser, CallerRequest, Env};

const PACE: &str = "[controller]\nsettle_ms = 0\nfollow_ms = 200\nshare_percent = 50\n";

fn serves_only(endpoint: &StandIn, version: u32) -> bool {
    let models = endpoint.models();
    !models.is_empty() && models.iter().all(|loaded| loaded.version == version)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_filled_into_the_form_is_what_every_engine_comes_to_serve() {
    let mut env = Env::start().await;
    for vm in system::KEEPER_VMS {
        env.start_controller(vm, PACE).await;
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
    let shown = browser.submit("/preview", &fields).await;
    let accepted = browser.submit("/submit", &shown.form("/submit")).await;
    assert_eq!(accepted.status, 200, "{}", accepted.html);
    let gate = env.gate("sousse-a-1").http;
    let mut asked = 0;
    system::wait_until("every engine serves version 4 alone", async || {
        asked += 1;
        let response = CallerRequest::question(&format!("question {asked}"))
            .send(gate)
            .await
            .unwrap();
        assert_eq!(
            response.outcome, "completed",
            "no question is lost meanwhile: {response:?}"
        );
        let mut engines = env
            .endpoints()
            .iter()
            .filter(|e| e.name().starts_with("appraise-llm"));
        engines.all(|e| serves_only(e, 4)).then_some(())
    })
    .await;
    assert!(asked > 1, "the rollout took a while");
}
