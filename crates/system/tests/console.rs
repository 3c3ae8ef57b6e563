//! The console's forms as a browser uses them, with real keepers and gates.

use declaration::SectionId;
use system::{Browser, Env, Fields, Page};

const DEADLINE: &str = "key.deadline_ms";

/// Loads the form of a section and fills in a new deadline.
async fn fill_form(browser: &mut Browser, deadline: &str) -> Fields {
    let page = browser.open("/edit?kind=pipeline&name=stock-query").await;
    assert_eq!(page.status, 200, "{}", page.html);
    let mut fields = page.form("/preview");
    fields.insert(DEADLINE.to_owned(), deadline.to_owned());
    fields.insert("author".to_owned(), "noura".to_owned());
    fields.insert("reason".to_owned(), "faster stock".to_owned());
    fields
}

/// Loads the preview of a change and returns the fields of its submit form.
async fn preview(browser: &mut Browser, fields: &Fields) -> Fields {
    let page = browser.submit("/preview", fields).await;
    assert_eq!(page.status, 200, "{}", page.html);
    page.form("/submit")
}

async fn start_console() -> (Env, Browser) {
    let mut env = Env::start_empty().await;
    env.submit_declaration(
        include_str!("../../../examples/watch-trading/declaration.ini"),
        "first",
    )
    .await;
    let console = env.start_console("").await;
    let mut browser = Browser::new(console);
    system::wait_until("the console has the declaration", async || {
        let page = browser.open("/").await;
        page.html.contains("stock-query").then_some(())
    })
    .await;
    (env, browser)
}

fn revision(page: &Page) -> u64 {
    let text = page.html.split("revision <strong>").nth(1);
    let text = text.and_then(|t| t.split('<').next());
    text.and_then(|t| t.parse().ok())
        .unwrap_or_else(|| panic!("no revision on {}", page.html))
}

#[tokio::test(flavor = "multi_thread")]
async fn submitted_form_takes_effect_at_the_gates() {
    let (env, mut browser) = start_console().await;
    let fields = fill_form(&mut browser, "900").await;
    let previewed = browser.submit("/preview", &fields).await;
    assert!(
        previewed.html.contains("- deadline_ms = 1000"),
        "{}",
        previewed.html
    );
    assert!(
        previewed.html.contains("+ deadline_ms = 900"),
        "{}",
        previewed.html
    );
    let submit = previewed.form("/submit");
    let accepted = browser.submit("/submit", &submit).await;
    assert_eq!(accepted.status, 200, "{}", accepted.html);
    let accepted_revision = revision(&accepted);
    env.wait_for_revision(&system::VM_NAMES, accepted_revision)
        .await;

    let again = browser.submit("/submit", &submit).await;
    assert!(again.html.contains("accepted before"), "{}", again.html);
    assert_eq!(
        revision(&again),
        accepted_revision,
        "a form that is submitted twice applies once"
    );

    let audit = browser.open("/audit?q=faster").await;
    for part in ["noura", "faster stock", "+ deadline_ms = 900"] {
        assert!(audit.html.contains(part), "{part} is not on {}", audit.html);
    }
    let no_match = browser.open("/audit?q=no-such-word").await;
    assert!(!no_match.html.contains("noura"), "{}", no_match.html);
    let status = browser.open("/status").await;
    assert!(
        status
            .html
            .contains(&format!("sousse-a-1</td><td>{accepted_revision}")),
        "{}",
        status.html
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_are_shown_and_the_input_is_kept() {
    let (env, mut browser) = start_console().await;
    let before = env.api().declaration().await.unwrap().revision;
    let mut fields = fill_form(&mut browser, "soon").await;
    fields.insert("key.stages".to_owned(), "dealer-portal, <b>".to_owned());
    fields.insert("reason".to_owned(), String::new());
    let page = browser.submit("/preview", &fields).await;
    assert_eq!(page.status, 422);
    let kept = page.form("/preview");
    assert_eq!(kept[DEADLINE], "soon");
    assert_eq!(kept["key.stages"], "dealer-portal, <b>");
    assert!(
        !page.html.contains("<b>"),
        "output is escaped: {}",
        page.html
    );
    for fault in ["`soon` is out of range", "is not declared", "say why"] {
        assert!(page.html.contains(fault), "{fault} is not on {}", page.html);
    }
    assert_eq!(env.api().declaration().await.unwrap().revision, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_change_shows_three_columns_and_keeps_its_input() {
    let (_env, mut first) = start_console().await;
    let mut second = Browser::new(first.origin.trim_start_matches("http://").parse().unwrap());
    let first_form = fill_form(&mut first, "800").await;
    let second_form = fill_form(&mut second, "700").await;
    let first_form = preview(&mut first, &first_form).await;
    let second_form = preview(&mut second, &second_form).await;
    assert_eq!(first.submit("/submit", &first_form).await.status, 200);
    let conflict = second.submit("/submit", &second_form).await;
    assert_eq!(conflict.status, 409, "{}", conflict.html);
    for value in [
        "deadline_ms = 1000",
        "deadline_ms = 800",
        "deadline_ms = 700",
    ] {
        assert!(
            conflict.html.contains(value),
            "{value} is not on {}",
            conflict.html
        );
    }
    let rebased = conflict.form("/preview");
    assert_eq!(rebased[DEADLINE], "700");
    let submit = preview(&mut second, &rebased).await;
    let accepted = second.submit("/submit", &submit).await;
    assert_eq!(accepted.status, 200, "{}", accepted.html);
}

#[tokio::test(flavor = "multi_thread")]
async fn forms_from_other_origins_and_sessions_are_rejected() {
    let (env, mut browser) = start_console().await;
    let before = env.api().declaration().await.unwrap().revision;
    let fields = fill_form(&mut browser, "900").await;
    let submit = preview(&mut browser, &fields).await;
    let own_origin = browser.origin.clone();
    "http://evil.example".clone_into(&mut browser.origin);
    assert_eq!(browser.submit("/submit", &submit).await.status, 403);
    browser.origin = own_origin;
    let mut forged = submit.clone();
    forged.insert("form_token".to_owned(), "guess".to_owned());
    assert_eq!(browser.submit("/submit", &forged).await.status, 403);
    let mut other_session = Browser::new(
        browser
            .origin
            .trim_start_matches("http://")
            .parse()
            .unwrap(),
    );
    assert_eq!(other_session.submit("/submit", &submit).await.status, 403);
    assert_eq!(env.api().declaration().await.unwrap().revision, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_concurrent_form_and_api_submissions_is_accepted() {
    let (env, mut browser) = start_console().await;
    for round in 0..10 {
        let fields = fill_form(&mut browser, &(500 + round).to_string()).await;
        let submit = preview(&mut browser, &fields).await;
        let declared = env.api().declaration().await.unwrap();
        let mut document = declared.document;
        let id: SectionId = "pipeline stock-query".parse().unwrap();
        let section = document.sections.get_mut(&id).unwrap();
        let value = (600 + round).to_string();
        section
            .entries
            .insert("deadline_ms".to_owned(), value.clone());
        let submission = operators::Submission {
            change: system::new_key(),
            base_revision: declared.revision,
            author: "cli".to_owned(),
            reason: "race".to_owned(),
            document: Some(document.write()),
            sections: None,
        };
        let api = env.api();
        let (page, applied) =
            tokio::join!(browser.submit("/submit", &submit), api.submit(&submission));
        let accepted_count = u32::from(page.status == 200) + u32::from(applied.is_ok());
        assert_eq!(
            accepted_count, 1,
            "round {round}: form {}, API {applied:?}",
            page.status
        );
        system::wait_until("the console has the accepted revision", async || {
            let now = env.api().declaration().await.ok()?.revision;
            let page = browser.open("/").await;
            page.html
                .contains(&format!("Revision <strong>{now}</strong>"))
                .then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_log_in_by_token_and_are_named_in_the_audit_trail() {
    let mut env = Env::start_empty().await;
    env.submit_declaration(
        include_str!("../../../examples/watch-trading/declaration.ini"),
        "first",
    )
    .await;
    env.write_file(
        "operators",
        "amine secret-of-amine\nnoura secret-of-noura\n",
    );
    let console = env
        .start_console("[security]\noperator_tokens_file = operators\n")
        .await;
    let mut browser = Browser::new(console);
    let page = browser.open("/").await;
    assert_eq!(
        (page.status, page.location.as_deref()),
        (303, Some("/login"))
    );
    let login = |token: &str| Fields::from([("token".to_owned(), token.to_owned())]);
    assert_eq!(
        browser
            .submit("/login", &login("secret-of-nobody"))
            .await
            .status,
        403
    );
    assert_eq!(
        browser
            .submit("/login", &login("secret-of-noura"))
            .await
            .status,
        303
    );
    system::wait_until("the console has the declaration", async || {
        browser
            .open("/")
            .await
            .html
            .contains("stock-query")
            .then_some(())
    })
    .await;
    let mut fields = fill_form(&mut browser, "900").await;
    fields.insert("author".to_owned(), "somebody else".to_owned());
    let submit = preview(&mut browser, &fields).await;
    assert_eq!(browser.submit("/submit", &submit).await.status, 200);
    let audit = env.api().audit(1).await.unwrap();
    assert_eq!(audit.last().unwrap().author, "noura");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_page_shows_a_leaving_endpoint() {
    let mut env = Env::start().await;
    let console = env.start_console("").await;
    let mut browser = Browser::new(console);
    let endpoint = &env.endpoints()[0];
    endpoint.leave().await;
    let row = format!("<td>{}</td>", endpoint.name());
    system::wait_until("the console shows the endpoint", async || {
        let page = browser.open("/status").await;
        let at = page.html.find(&row)?;
        page.html[at..].contains("<td>leaving</td>").then_some(())
    })
    .await;
}

/// Guards against a console that hides a block, or takes it back for a form that is not its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_part_is_shown_and_unblocked() {
    let (env, mut browser) = start_console().await;
    let part = "00000000000000ab";
    assert!(!browser.open("/status").await.html.contains("Blocked parts"));
    system::block_part(&env, 0xab, "<dealer>").await;

    let page = browser.open("/status").await;
    for text in [part, "dealer-portal", "&lt;dealer&gt;", "r-1"] {
        assert!(page.html.contains(text), "{text} is not on {}", page.html);
    }
    let mut fields = page.form("/unblock");
    fields.insert("author".to_owned(), "noura".to_owned());
    assert_eq!(browser.submit("/unblock", &fields).await.status, 400);
    fields.insert("reason".to_owned(), "engine fixed".to_owned());
    let mut forged = fields.clone();
    forged.insert("form_token".to_owned(), "guess".to_owned());
    assert_eq!(browser.submit("/unblock", &forged).await.status, 403);
    let own_origin = browser.origin.clone();
    "http://evil.example".clone_into(&mut browser.origin);
    assert_eq!(browser.submit("/unblock", &fields).await.status, 403);
    browser.origin = own_origin;
    assert_eq!(env.api().blocked_parts().await.unwrap().blocked.len(), 1);

    let done = browser.submit("/unblock", &fields).await;
    assert_eq!(done.status, 200, "{}", done.html);
    let list = env.api().blocked_parts().await.unwrap();
    assert_eq!(list.blocked, []);
    assert_eq!(list.unblocked[0].part, part);
    assert_eq!(list.unblocked[0].author, "noura");
    assert!(!browser.open("/status").await.html.contains("Blocked parts"));
}

/// Guards against a console that hides an evacuation, orders one without a reason, for an unknown zone
/// or for a form that is not its own, or does not withdraw it.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_evacuated_and_returned_to() {
    let (env, mut browser) = start_console().await;
    let page = browser.open("/status").await;
    let mut fields = page.form("/evacuate");
    let zone = fields["zone"].clone();
    fields.insert("author".to_owned(), "noura".to_owned());
    assert_eq!(browser.submit("/evacuate", &fields).await.status, 400);
    fields.insert("reason".to_owned(), "<chiller> failed".to_owned());
    for (field, odd, status) in [("form_token", "guess", 403), ("zone", "nowhere", 400)] {
        let mut odd_fields = fields.clone();
        odd_fields.insert(field.to_owned(), odd.to_owned());
        let page = browser.submit("/evacuate", &odd_fields).await;
        assert_eq!(page.status, status, "{}", page.html);
    }
    assert_eq!(env.api().zones().await.unwrap().zones, []);
    let done = browser.submit("/evacuate", &fields).await;
    assert_eq!(done.status, 200, "{}", done.html);
    let page = browser.open("/status").await;
    for text in ["evacuated", "noura", "&lt;chiller&gt; failed"] {
        assert!(page.html.contains(text), "{text} is not on {}", page.html);
    }
    let mut fields = page.form("/return");
    assert_eq!(fields["zone"], zone);
    fields.insert("author".to_owned(), "noura".to_owned());
    assert_eq!(browser.submit("/return", &fields).await.status, 400);
    fields.insert("reason".to_owned(), "repaired".to_owned());
    assert_eq!(browser.submit("/return", &fields).await.status, 200);
    let zones = env.api().zones().await.unwrap().zones;
    let states: Vec<(&str, bool)> = zones.iter().map(|z| (&*z.zone, z.is_evacuated)).collect();
    assert_eq!(states, [(zone.as_str(), false)]);
}
