//! The operators' command line, run against real keepers.

use std::process::Output;

use serde_json::Value;
use system::{Env, KEEPER_VMS};

const DECLARATION: &str = include_str!("../../../examples/watch-trading/declaration.ini");

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn assert_exit_code(output: &Output, code: i32) {
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(code),
        "{}{stderr}",
        stdout(output)
    );
}

async fn env_with_declaration() -> Env {
    let env = Env::start_empty().await;
    env.submit_declaration(DECLARATION, "first").await;
    env
}

#[tokio::test(flavor = "multi_thread")]
async fn exported_declaration_has_no_difference() {
    let env = env_with_declaration().await;
    let exported = env.jujubeferry(&["export"]).await;
    assert_exit_code(&exported, 0);
    env.write_file("d.ini", &stdout(&exported));
    let diff = env.jujubeferry(&["diff", "d.ini"]).await;
    assert_exit_code(&diff, 0);
    assert!(
        stdout(&diff).starts_with("no difference"),
        "{}",
        stdout(&diff)
    );
    assert!(
        stdout(&exported).contains("# Appraisal narratives"),
        "comments are kept"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_applied_once_audited_and_reverted() {
    let env = env_with_declaration().await;
    env.write_file(
        "d.ini",
        &DECLARATION.replace("deadline_ms = 1000", "deadline_ms = 900"),
    );
    let id = system::new_key().to_string();
    let apply = [
        "apply", "d.ini", "--reason", "faster", "--author", "noura", "--change", &id, "--json",
    ];
    let first = env.jujubeferry(&apply).await;
    assert_exit_code(&first, 0);
    let first: Value = serde_json::from_str(&stdout(&first)).unwrap();
    assert_eq!(first["applied"], true);
    let again = env.jujubeferry(&apply).await;
    assert_exit_code(&again, 0);
    let again: Value = serde_json::from_str(&stdout(&again)).unwrap();
    assert_eq!(
        (&again["applied"], &again["revision"]),
        (&Value::Bool(false), &first["revision"])
    );

    let revision = first["revision"].to_string();
    let audit = env
        .jujubeferry(&["audit", "--from", &revision, "--json"])
        .await;
    let record: Value = serde_json::from_str(stdout(&audit).lines().next().unwrap()).unwrap();
    assert_eq!(
        (&record["author"], &record["reason"]),
        (&"noura".into(), &"faster".into())
    );

    let reverted = env
        .jujubeferry(&["revert", &revision, "--reason", "too fast"])
        .await;
    assert_exit_code(&reverted, 0);
    assert!(stdout(&env.jujubeferry(&["export"]).await).contains("deadline_ms = 1000"));
    let unknown = env.jujubeferry(&["revert", "999", "--reason", "r"]).await;
    assert_exit_code(&unknown, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn change_on_an_old_base_conflicts_and_shows_both_sides() {
    let env = env_with_declaration().await;
    env.write_file(
        "a.ini",
        &DECLARATION.replace("deadline_ms = 1000", "deadline_ms = 900"),
    );
    env.write_file(
        "b.ini",
        &DECLARATION.replace("deadline_ms = 1000", "deadline_ms = 800"),
    );
    let base = env.api().declaration().await.unwrap().revision.to_string();
    assert_exit_code(
        &env.jujubeferry(&["apply", "a.ini", "--reason", "a", "--base", &base])
            .await,
        0,
    );
    let conflict = env
        .jujubeferry(&["apply", "b.ini", "--reason", "b", "--base", &base])
        .await;
    assert_exit_code(&conflict, 4);
    let stderr = String::from_utf8_lossy(&conflict.stderr);
    for side in ["- deadline_ms = 900", "+ deadline_ms = 800"] {
        assert!(stderr.contains(side), "{stderr}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_declaration_changes_nothing_and_exits_with_3() {
    let env = env_with_declaration().await;
    let before = env.api().declaration().await.unwrap().revision;
    env.write_file(
        "d.ini",
        &DECLARATION.replace("kind = encoder", "kind = decoder"),
    );
    assert_exit_code(
        &env.jujubeferry(&["apply", "d.ini", "--reason", "r"]).await,
        3,
    );
    assert_eq!(env.api().declaration().await.unwrap().revision, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_leader_and_fails_without_a_quorum() {
    let mut env = env_with_declaration().await;
    let healthy = env.jujubeferry(&["status"]).await;
    assert_exit_code(&healthy, 0);
    assert!(stdout(&healthy).contains("leader"), "{}", stdout(&healthy));
    for vm in &KEEPER_VMS[..2] {
        env.kill_keeper(vm).await;
    }
    system::wait_until("the last keeper steps down as leader", async || {
        let status = env.jujubeferry(&["status"]).await;
        (status.status.code() == Some(5)).then_some(())
    })
    .await;
    env.write_file("d.ini", DECLARATION);
    let refused = env
        .jujubeferry(&["apply", "d.ini", "--reason", "r", "--base", "1"])
        .await;
    assert_exit_code(&refused, 5);
    let stderr = String::from_utf8_lossy(&refused.stderr);
    assert!(stderr.contains("--change"), "{stderr}");
}

/// Guards against blocked parts that operators can't see or take back.
#[tokio::test(flavor = "multi_thread")]
async fn blocked_parts_are_listed_and_unblocked() {
    let env = Env::start_empty().await;
    let empty = env.jujubeferry(&["blocked"]).await;
    assert_exit_code(&empty, 0);
    assert_eq!(stdout(&empty), "no part is blocked\n");
    let status = stdout(&env.jujubeferry(&["status"]).await);
    assert!(
        status.contains("blocked parts of prompts: none"),
        "{status}"
    );

    system::block_part(&env, 0xab, "dealer-1").await;
    let listed = stdout(&env.jujubeferry(&["blocked"]).await);
    for text in [
        "00000000000000ab",
        "dealer-portal",
        "dealer-1",
        "r-1",
        "sousse-a-1",
    ] {
        assert!(listed.contains(text), "{text} is not in {listed}");
    }
    system::wait_until("the leader's status counts the block", async || {
        let status = stdout(&env.jujubeferry(&["status"]).await);
        status
            .contains("blocked parts of prompts: 1;")
            .then_some(())
    })
    .await;

    let part = "00000000000000ab";
    assert_exit_code(&env.jujubeferry(&["unblock", part]).await, 2);
    assert_exit_code(
        &env.jujubeferry(&["unblock", "ab", "--reason", "r"]).await,
        2,
    );
    let unblock = [
        "unblock",
        part,
        "--reason",
        "engine fixed",
        "--author",
        "noura",
    ];
    let unblocked = env.jujubeferry(&unblock).await;
    assert_exit_code(&unblocked, 0);
    assert_eq!(stdout(&unblocked), "00000000000000ab is unblocked\n");
    let again = env.jujubeferry(&[&unblock[..], &["--json"]].concat()).await;
    let again: Value = serde_json::from_str(&stdout(&again)).unwrap();
    assert_eq!(again, serde_json::json!({ "part": part, "existed": false }));
    let list = env.jujubeferry(&["blocked", "--json"]).await;
    let list: Value = serde_json::from_str(&stdout(&list)).unwrap();
    assert_eq!(list["blocked"], serde_json::json!([]));
    let unblocked = &list["unblocked"][0];
    assert_eq!(
        (&unblocked["author"], &unblocked["reason"]),
        (&"noura".into(), &"engine fixed".into())
    );
}
