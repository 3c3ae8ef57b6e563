//! Real controller processes against a keeper, a gate and stand-in engines.

mod env;

use std::time::Duration;

use bench::{
    proxy::{Cut, Proxy, Rules},
    stand_in::{
        self, Fault, StandIn,
        weight_store::{self, WeightStoreConfig},
    },
};
use env::{Env, fencing, until_loaded, until_one_has};
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
        .until("nothing differs", |s| {
            s["endpoints"] == 3 && s["differences"] == serde_json::json!([])
        })
        .await;
    assert!(status["lease"]["fencing"].as_u64().unwrap() > 0);
    env.declare(4, "horlogerie").await;
    let status = controller
        .until("something differs", |s| {
            s["differences"] != serde_json::json!([])
        })
        .await;
    assert!(
        status["differences"][0]["why"]
            .as_str()
            .is_some_and(|why| !why.is_empty())
    );
    for engine in &engines {
        until_loaded(engine, &[4]).await;
        assert_eq!(engine.models()[0].adapters, ["horlogerie"]);
        assert_eq!(fencing(engine).len(), 2);
    }
    controller
        .until("all is as declared", |s| {
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
        .until("the first holds", |s| s["lease"]["held"] == true)
        .await;
    let second = env.controller("c2");
    second
        .until("the second waits", |s| {
            s["lease"]["why"]
                .as_str()
                .is_some_and(|why| why.contains("held by c1"))
        })
        .await;
    first.kill();
    env.declare(4, "horlogerie").await;
    let status = second
        .until("the second holds", |s| s["lease"]["held"] == true)
        .await;
    assert!(
        status["lease"]["waits_ms"].as_u64().unwrap() > 0,
        "{status:#}"
    );
    assert!(fencing(&engine).is_empty());
    until_loaded(&engine, &[4]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_holder_gives_no_order_after_it_wakes() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let (checking, trusting) = (
        env.engine("e1", 3, true).await,
        env.engine("e2", 3, false).await,
    );
    let first = env.controller("c1");
    first
        .until("the first knows both", |s| {
            s["lease"]["held"] == true && s["endpoints"] == 2
        })
        .await;
    let second = env.controller("c2");
    let old = first.status().await["lease"]["fencing"].as_u64().unwrap();
    first.signal("-STOP");
    env.declare(4, "horlogerie").await;
    second
        .until("the second holds", |s| s["lease"]["held"] == true)
        .await;
    first.signal("-CONT");
    until_loaded(&checking, &[4]).await;
    until_loaded(&trusting, &[4]).await;
    sleep(Duration::from_secs(1)).await;
    let numbers = [fencing(&checking), fencing(&trusting)].concat();
    assert!(numbers.iter().all(|n| *n > old), "{numbers:?} {old}");
    assert_ne!(first.status().await["lease"]["fencing"], old);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_to_stop_gives_the_lease_up_at_once() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let engine = env.engine("e", 3, false).await;
    let mut first = env.controller("c1");
    first
        .until("the first holds", |s| s["lease"]["held"] == true)
        .await;
    let second = env.controller("c2");
    first.signal("-TERM");
    assert_eq!(first.ended().await.code(), Some(0));
    env.declare(4, "horlogerie").await;
    let status = second
        .until("the second holds", |s| s["lease"]["held"] == true)
        .await;
    assert_eq!(status["lease"]["waits_ms"], 0);
    until_loaded(&engine, &[4]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_is_sent_again_and_carried_out_once() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let proxy = Proxy::start(1).await.unwrap();
    let engine = env.engine_behind(&proxy, "e", 3).await;
    let controller = env.controller("c");
    controller
        .until("it knows the engine", |s| {
            s["lease"]["held"] == true && s["endpoints"] == 1
        })
        .await;
    // Orders arrive; neither answers nor announcements come back.
    proxy.set_rules(Rules::cut(Cut::FromUpstream));
    engine.set_gates(Vec::new());
    env.declare(4, "horlogerie").await;
    controller
        .until("the order is sent again", |s| {
            s["orders"][0]["sent"].as_u64() >= Some(2)
        })
        .await;
    assert_eq!(fencing(&engine).len(), 1);
    proxy.set_rules(Rules::default());
    engine.set_gates(vec![env.gate_url()]);
    until_loaded(&engine, &[4]).await;
    controller
        .until("all is as declared", |s| {
            s["differences"] == serde_json::json!([])
        })
        .await;
    // One load and one unload.
    assert_eq!(fencing(&engine).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_endpoints_refuse_is_halted_and_said_so() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let refusing = [env.refusing("e1", 3).await, env.refusing("e2", 3).await];
    let controller = env.controller("c");
    controller
        .until("it knows both", |s| s["endpoints"] == 2)
        .await;
    env.declare(4, "horlogerie").await;
    let status = controller
        .until("the version is halted", |s| s["halted"][0]["version"] == 4)
        .await;
    assert_eq!(status["halted"][0]["failures"].as_array().unwrap().len(), 2);
    let status = controller
        .until("it says why", |s| {
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
async fn a_rollout_under_load_cuts_no_request() {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let mut engines = Vec::new();
    for at in 0..3 {
        engines.push(env.engine(&format!("e{at}"), 3, true).await);
    }
    let controller = env.controller("c");
    controller
        .until("nothing differs", |s| {
            s["endpoints"] == 3 && s["differences"] == serde_json::json!([])
        })
        .await;
    let load = env.load();
    env.declare(4, "horlogerie").await;
    for engine in &engines {
        until_loaded(engine, &[4]).await;
    }
    sleep(Duration::from_millis(500)).await;
    let (answered, failed) = load.stop().await;
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 100, "{answered}");
}

/// A rollout of version 4, during which the first engine that has it shows `fault`.
async fn a_rollout_halts_under(fault: Fault) {
    let mut env = Env::start().await;
    env.declare(3, "horlogerie").await;
    let mut engines = Vec::new();
    for at in 0..4 {
        engines.push(env.engine(&format!("e{at}"), 3, true).await);
    }
    let controller = env.controller_with("c", "settle_ms = 3600000\n");
    controller
        .until("nothing differs", |s| {
            s["endpoints"] == 4 && s["differences"] == serde_json::json!([])
        })
        .await;
    let load = env.load();
    env.declare(4, "horlogerie").await;
    let first = until_one_has(&engines, 4).await;
    first.set_fault(fault);
    let status = controller
        .until("the version is halted", |s| s["halted"][0]["version"] == 4)
        .await;
    let attainment = &status["halted"][0]["attainment"];
    assert!(attainment["new"]["missed"].as_u64() > Some(0), "{status:#}");
    assert!(
        attainment["old"]["calls"].as_u64() >= Some(20),
        "{status:#}"
    );
    let status = controller
        .until("it says why", |s| {
            let mut whys = s["differences"].as_array().into_iter().flatten();
            whys.any(|d| {
                let why = d["why"].as_str().unwrap_or_default();
                why.starts_with("halted because attainment fell")
            })
        })
        .await;
    assert_eq!(status["orders"], serde_json::json!([]));
    let with_old = |e: &&StandIn| e.models().iter().any(|m| m.version == 3);
    assert_eq!(engines.iter().filter(with_old).count(), 4);
    // Only an operator's change ends the halt: undoing it takes the version away again.
    env.declare(3, "horlogerie").await;
    controller
        .until("nothing is halted", |s| {
            s["halted"] == serde_json::json!([])
        })
        .await;
    let (answered, failed) = load.stop().await;
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 100, "{answered}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_halts_when_the_new_version_fails_and_no_request_is_cut() {
    a_rollout_halts_under(Fault::FailEvery(1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_halts_when_the_new_version_is_slow_and_no_request_is_cut() {
    a_rollout_halts_under(Fault::Slow(8.0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn declared_roles_are_ordered_once_and_a_repeat_changes_nothing() {
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
        .until("roles are as declared", |s| {
            let mut roles: Vec<_> = engines.iter().map(StandIn::role).collect();
            roles.sort();
            let is_quiet = s["differences"] == serde_json::json!([]);
            is_quiet && roles == [both, prefill, decode, decode]
        })
        .await;
    let ordered: usize = engines.iter().map(|e| fencing(e).len()).sum();
    assert_eq!(ordered, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_weight_store_that_refuses_is_asked_again_with_pauses_and_one_at_a_time() {
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
        .until("it knows all", |s| s["endpoints"] == 4)
        .await;
    env.declare(4, "horlogerie").await;
    let status = controller
        .until("it says what the store refused", |s| {
            s["store_refusals"][0]["refusals"].as_u64() >= Some(3)
        })
        .await;
    assert_eq!(status["store_refusals"][0]["version"], 4, "{status:#}");
    assert_eq!(status["halted"], serde_json::json!([]), "{status:#}");
    let why = status["store_refusals"][0]["why"].as_str().unwrap();
    assert!(why.contains("503"), "{why}");
    let fetches = status["store_refusals"][0]["refusals"].as_u64().unwrap();
    assert!(store.refused() <= fetches + 1, "one fetch a refusal");
    store.set_refusing(false);
    for engine in &engines {
        until_loaded(engine, &[4]).await;
    }
    assert_eq!((store.given(), store.most_open()), (4, 1));
    controller
        .until("the refusals are over", |s| {
            s["store_refusals"] == serde_json::json!([])
        })
        .await;
}

/// Engines with memory for one version change it under load; `keys` are those of the service.
async fn versions_are_swapped(keys: &str, most_refused: usize) {
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
        .until("it knows all", |s| s["endpoints"] == 3)
        .await;
    let load = env.load();
    env.declare_with(4, "horlogerie", keys).await;
    controller
        .until("every engine has version 4 and at most one has none", |s| {
            let without = engines.iter().filter(|e| e.models().is_empty()).count();
            assert!(without <= 1, "{s:#}");
            let has = |e: &StandIn| e.models().iter().any(|m| m.version == 4);
            engines.iter().all(has)
        })
        .await;
    let (answered, failed) = load.stop().await;
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 100, "{answered}");
    let metrics = controller.get("/metrics").await;
    let refused = metrics.lines().find_map(|line| {
        let count = line.strip_prefix("jujube_controller_orders_total{answer=\"no_room\"} ")?;
        count.parse::<usize>().ok()
    });
    assert_eq!(refused, Some(most_refused), "{metrics}");
    assert_eq!(controller.status().await["halted"], serde_json::json!([]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_declared_not_to_fit_beside_another_is_never_ordered_there() {
    versions_are_swapped("model_mb = 600\nendpoint_mb = 1000\n", 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_refusal_for_lack_of_memory_is_enough_to_swap_instead() {
    versions_are_swapped("", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_only_engine_is_not_emptied_to_make_room() {
    let mut env = Env::start().await;
    let keys = "model_mb = 600\nendpoint_mb = 1000\n";
    let engine = env.engine("e", 3, true).await;
    let controller = env.controller("c");
    env.declare_with(4, "horlogerie", keys).await;
    controller
        .until("it says why", |s| {
            let why = s["differences"][0]["why"].as_str().unwrap_or_default();
            why.starts_with("no other endpoint would serve")
        })
        .await;
    sleep(Duration::from_secs(1)).await;
    assert!(fencing(&engine).is_empty());
    until_loaded(&engine, &[3]).await;
}
