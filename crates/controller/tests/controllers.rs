//! Tests of controller processes with a keeper, a gate and stand-in engines.

mod env;

use std::time::Duration;

use bench::{
    proxy::{Cut, Proxy, Rules},
    stand_in::{
        self, Fault, StandIn,
        weight_store::{self, WeightStoreConfig},
    },
};
use env::{Env, order_fencing_numbers, wait_for_engine_with, wait_for_versions};
use membership::StageRole;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn a_declared_version_is_loaded_and_the_old_one_unloaded() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let mut engines = Vec::new();
    for at in 0..3 {
        engines.push(env.engine(&format!("e{at}"), 3, true).await);
    }
    let controller = env.controller("c");
    let status = controller
        .wait_for_status("the lease is held and nothing differs", |s| {
            s["lease"]["held"] == true
                && s["endpoints"] == 3
                && s["differences"] == serde_json::json!([])
        })
        .await;
    assert!(status["lease"]["fencing"].as_u64().unwrap() > 0);
    env.declare(4, "horlogerie").await;
    let status = controller
        .wait_for_status("something differs", |s| {
            s["differences"] != serde_json::json!([])
        })
        .await;
    assert!(
        status["differences"][0]["why"]
            .as_str()
            .is_some_and(|why| !why.is_empty())
    );
    for engine in &engines {
        wait_for_versions(engine, &[4]).await;
        assert_eq!(engine.models()[0].adapters, ["horlogerie"]);
        assert_eq!(order_fencing_numbers(engine).len(), 2);
    }
    controller
        .wait_for_status("everything is as declared", |s| {
            s["differences"] == serde_json::json!([]) && s["orders"] == serde_json::json!([])
        })
        .await;
    let metrics = controller.get("/metrics").await;
    assert!(
        metrics.contains("jujube_controller_orders_total{answer=\"taken\"} 6"),
        "{metrics}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_standby_takes_over_from_a_killed_controller() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let engine = env.engine("e", 3, false).await;
    let mut first = env.controller("c1");
    first
        .wait_for_status("the first holds", |s| s["lease"]["held"] == true)
        .await;
    let second = env.controller("c2");
    second
        .wait_for_status("the second waits", |s| {
            s["lease"]["why"]
                .as_str()
                .is_some_and(|why| why.contains("held by c1"))
        })
        .await;
    first.kill();
    env.declare(4, "horlogerie").await;
    let status = second
        .wait_for_status("the second holds", |s| s["lease"]["held"] == true)
        .await;
    assert!(
        status["lease"]["waits_ms"].as_u64().unwrap() > 0,
        "{status:#}"
    );
    assert!(order_fencing_numbers(&engine).is_empty());
    wait_for_versions(&engine, &[4]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_holder_sends_no_order_after_it_resumes() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let (checking, non_checking) = (
        env.engine("e1", 3, true).await,
        env.engine("e2", 3, false).await,
    );
    let first = env.controller("c1");
    first
        .wait_for_status("the first knows both engines", |s| {
            s["lease"]["held"] == true && s["endpoints"] == 2
        })
        .await;
    let second = env.controller("c2");
    let old = first.status().await["lease"]["fencing"].as_u64().unwrap();
    first.signal("-STOP");
    env.declare(4, "horlogerie").await;
    second
        .wait_for_status("the second holds", |s| s["lease"]["held"] == true)
        .await;
    first.signal("-CONT");
    wait_for_versions(&checking, &[4]).await;
    wait_for_versions(&non_checking, &[4]).await;
    sleep(Duration::from_secs(1)).await;
    let numbers = [
        order_fencing_numbers(&checking),
        order_fencing_numbers(&non_checking),
    ]
    .concat();
    assert!(numbers.iter().all(|n| *n > old), "{numbers:?} {old}");
    assert_ne!(first.status().await["lease"]["fencing"], old);
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_releases_the_lease_at_once() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let engine = env.engine("e", 3, false).await;
    let mut first = env.controller("c1");
    first
        .wait_for_status("the first holds", |s| s["lease"]["held"] == true)
        .await;
    let second = env.controller("c2");
    first.signal("-TERM");
    assert_eq!(first.wait_for_exit().await.code(), Some(0));
    env.declare(4, "horlogerie").await;
    let status = second
        .wait_for_status("the second holds", |s| s["lease"]["held"] == true)
        .await;
    assert_eq!(status["lease"]["waits_ms"], 0);
    wait_for_versions(&engine, &[4]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_a_reply_is_resent_and_applied_once() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let proxy = Proxy::start(1).await.unwrap();
    let engine = env.engine_behind_proxy(&proxy, "e", 3).await;
    let controller = env.controller("c");
    controller
        .wait_for_status("the controller knows the engine", |s| {
            s["lease"]["held"] == true && s["endpoints"] == 1
        })
        .await;
    // Orders arrive, but neither replies nor announcements get through.
    proxy.set_rules(Rules::cut(Cut::FromUpstream));
    engine.set_gates(Vec::new());
    env.declare(4, "horlogerie").await;
    controller
        .wait_for_status("the order is resent", |s| {
            s["orders"][0]["sent"].as_u64() >= Some(2)
        })
        .await;
    assert_eq!(order_fencing_numbers(&engine).len(), 1);
    proxy.set_rules(Rules::default());
    engine.set_gates(vec![env.gate_url()]);
    wait_for_versions(&engine, &[4]).await;
    controller
        .wait_for_status("everything is as declared", |s| {
            s["differences"] == serde_json::json!([])
        })
        .await;
    // One load and one unload.
    assert_eq!(order_fencing_numbers(&engine).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_endpoints_refuse_is_halted_and_reported() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let refusing = [
        env.start_refusing_endpoint("e1", 3).await,
        env.start_refusing_endpoint("e2", 3).await,
    ];
    let controller = env.controller("c");
    controller
        .wait_for_status("the controller knows both endpoints", |s| {
            s["endpoints"] == 2
        })
        .await;
    env.declare(4, "horlogerie").await;
    let status = controller
        .wait_for_status("the version is halted", |s| s["halted"][0]["version"] == 4)
        .await;
    assert_eq!(status["halted"][0]["failures"].as_array().unwrap().len(), 2);
    let status = controller
        .wait_for_status("the reason is reported", |s| {
            let why = s["differences"][0]["why"].as_str().unwrap_or_default();
            why.starts_with("halted after 2 failures")
        })
        .await;
    assert_eq!(status["orders"], serde_json::json!([]));
    for task in refusing {
        task.abort();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_under_load_fails_no_request() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let mut engines = Vec::new();
    for at in 0..3 {
        engines.push(env.engine(&format!("e{at}"), 3, true).await);
    }
    let controller = env.controller("c");
    controller
        .wait_for_status("nothing differs", |s| {
            s["endpoints"] == 3 && s["differences"] == serde_json::json!([])
        })
        .await;
    let load = env.start_load().await;
    env.declare(4, "horlogerie").await;
    for engine in &engines {
        wait_for_versions(engine, &[4]).await;
    }
    sleep(Duration::from_millis(500)).await;
    let (answered, failed) = load.stop_after(100).await;
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 100, "{answered}");
}

/// Checks that a rollout of version 4 halts if the first engine that loads it shows `fault`.
async fn check_rollout_halts_on(fault: Fault) {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let mut engines = Vec::new();
    for at in 0..4 {
        engines.push(env.engine(&format!("e{at}"), 3, true).await);
    }
    let controller = env.controller_with("c", "settle_ms = 3600000\n");
    controller
        .wait_for_status("nothing differs", |s| {
            s["endpoints"] == 4 && s["differences"] == serde_json::json!([])
        })
        .await;
    let load = env.start_load().await;
    env.declare(4, "horlogerie").await;
    let first = wait_for_engine_with(&engines, 4).await;
    first.set_fault(fault);
    let status = controller
        .wait_for_status("the version is halted", |s| s["halted"][0]["version"] == 4)
        .await;
    let attainment = &status["halted"][0]["attainment"];
    assert!(attainment["new"]["missed"].as_u64() > Some(0), "{status:#}");
    assert!(
        attainment["old"]["calls"].as_u64() >= Some(20),
        "{status:#}"
    );
    let status = controller
        .wait_for_status("the reason is reported", |s| {
            let mut reasons = s["differences"].as_array().into_iter().flatten();
            reasons.any(|d| {
                let why = d["why"].as_str().unwrap_or_default();
                why.starts_with("halted because attainment fell")
            })
        })
        .await;
    assert_eq!(status["orders"], serde_json::json!([]));
    let has_old = |e: &&StandIn| e.models().iter().any(|m| m.version == 3);
    assert_eq!(engines.iter().filter(has_old).count(), 4);
    // The halt ends only with an operator's change, here a rollback, which unloads the version.
    env.declare(3, "horlogerie").await;
    controller
        .wait_for_status("nothing is halted", |s| {
            s["halted"] == serde_json::json!([])
        })
        .await;
    let (answered, failed) = load.stop_after(100).await;
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 100, "{answered}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_halts_when_the_new_version_fails_and_no_request_fails() {
    check_rollout_halts_on(Fault::FailEvery(1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_halts_when_the_new_version_is_slow_and_no_request_fails() {
    check_rollout_halts_on(Fault::Slow(8.0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn each_declared_role_is_ordered_once() {
    let mut env = Env::start().await;
    let mut engines = Vec::new();
    for at in 0..4 {
        engines.push(env.engine(&format!("e{at}"), 3, true).await);
    }
    let controller = env.controller("c");
    env.declare_with(
        3,
        "horlogerie",
        "prefill_percent = 25\ndecode_percent = 50\n",
    )
    .await;
    let (both, prefill, decode) = (StageRole::Both, StageRole::Prefill, StageRole::Decode);
    controller
        .wait_for_status("roles are as declared", |s| {
            let mut roles: Vec<_> = engines.iter().map(StandIn::role).collect();
            roles.sort();
            let is_quiet = s["differences"] == serde_json::json!([]);
            is_quiet && roles == [both, prefill, decode, decode]
        })
        .await;
    let ordered: usize = engines.iter().map(|e| order_fencing_numbers(e).len()).sum();
    assert_eq!(ordered, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusing_weight_store_is_retried_with_backoff_one_fetch_at_a_time() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let store = weight_store::start(WeightStoreConfig {
        model_bytes: 64 << 10,
        bytes_per_second: 256 << 10,
    });
    let store = store.await.unwrap();
    store.set_refusing(true);
    let mut engines = Vec::new();
    for at in 0..4 {
        let mut cfg = env.engine_config(&format!("e{at}"), 3, true);
        cfg.engine.weight_store = Some(store.url());
        engines.push(stand_in::start(cfg).await.unwrap());
    }
    let controller = env.controller_with("c", "settle_ms = 100\nshare_percent = 100\n");
    controller
        .wait_for_status("the controller knows all engines", |s| s["endpoints"] == 4)
        .await;
    env.declare(4, "horlogerie").await;
    let status = controller
        .wait_for_status("the status lists the store refusals", |s| {
            s["store_refusals"][0]["refusals"].as_u64() >= Some(3)
        })
        .await;
    assert_eq!(status["store_refusals"][0]["version"], 4, "{status:#}");
    assert_eq!(status["halted"], serde_json::json!([]), "{status:#}");
    let why = status["store_refusals"][0]["why"].as_str().unwrap();
    assert!(why.contains("503"), "{why}");
    let fetches = status["store_refusals"][0]["refusals"].as_u64().unwrap();
    assert!(
        store.refused_fetches() <= fetches + 1,
        "one fetch a refusal"
    );
    store.set_refusing(false);
    for engine in &engines {
        wait_for_versions(engine, &[4]).await;
    }
    assert_eq!(
        (store.completed_fetches(), store.max_concurrent_fetches()),
        (4, 1)
    );
    controller
        .wait_for_status("the refusals are cleared", |s| {
            s["store_refusals"] == serde_json::json!([])
        })
        .await;
}

/// Checks that engines with memory for one version swap it under load; `keys` are added to the
/// service.
async fn check_versions_are_swapped(keys: &str, expected_refusals: usize) {
    let mut env = Env::start().await;
    env.declare_with(3, "horlogerie", keys).await;
    let mut engines = Vec::new();
    for at in 0..3 {
        let mut cfg = env.engine_config(&format!("e{at}"), 3, true);
        cfg.engine.max_models = Some(1);
        engines.push(stand_in::start(cfg).await.unwrap());
    }
    let controller = env.controller_with("c", "settle_ms = 100\ndrain_ms = 1500\n");
    controller
        .wait_for_status("the controller knows all engines", |s| s["endpoints"] == 3)
        .await;
    let load = env.start_load().await;
    env.declare_with(4, "horlogerie", keys).await;
    controller
        .wait_for_status("every engine has version 4 and at most one has none", |s| {
            let without = engines.iter().filter(|e| e.models().is_empty()).count();
            assert!(without <= 1, "{s:#}");
            let has = |e: &StandIn| e.models().iter().any(|m| m.version == 4);
            engines.iter().all(has)
        })
        .await;
    let (answered, failed) = load.stop_after(100).await;
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 100, "{answered}");
    let metrics = controller.get("/metrics").await;
    let refused = metrics.lines().find_map(|line| {
        let count = line.strip_prefix("jujube_controller_orders_total{answer=\"no_room\"} ")?;
        count.parse::<usize>().ok()
    });
    assert_eq!(refused, Some(expected_refusals), "{metrics}");
    assert_eq!(controller.status().await["halted"], serde_json::json!([]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_declared_too_large_is_never_loaded_next_to_another() {
    check_versions_are_swapped("model_mb = 600\nendpoint_mb = 1000\n", 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_out_of_memory_reply_leads_to_a_swap() {
    check_versions_are_swapped("", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_only_engine_is_not_unloaded_for_a_swap() {
    let mut env = Env::start().await;
    let keys = "model_mb = 600\nendpoint_mb = 1000\n";
    let engine = env.engine("e", 3, true).await;
    let controller = env.controller("c");
    env.declare_with(4, "horlogerie", keys).await;
    controller
        .wait_for_status("the reason is reported", |s| {
            let why = s["differences"][0]["why"].as_str().unwrap_or_default();
            why.starts_with("no other endpoint would serve")
        })
        .await;
    sleep(Duration::from_secs(1)).await;
    assert!(order_fencing_numbers(&engine).is_empty());
    wait_for_versions(&engine, &[3]).await;
}
