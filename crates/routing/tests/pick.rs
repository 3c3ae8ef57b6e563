//! Which endpoint gets a call.

mod common;

use std::time::Duration;

use common::{
    AZ, SERVICE, announcement, answered, drawn_by_cache, requirements, router, spread, table,
};
use membership::{Announcement, EndpointState, LoadedModel, Readiness, Table, TableConfig};
use proptest::prelude::*;
use routing::{
    CacheEvents, CacheUsage, CallOutcome, CallRequirements, ModelRequirement, NoEndpoint,
    Observation, Router, RouterConfig, block_hashes, max_ejected,
};
use tokio::time::advance;

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test)
}

/// A call that failed at once.
fn failed() -> Observation {
    Observation::new(CallOutcome::Failed, Duration::from_millis(1))
}

/// What a random fleet and need are made of.
#[derive(Clone, Debug)]
struct Fleet {
    endpoints: Vec<(bool, bool, u32, bool, u64)>,
    adapter: bool,
    azs: bool,
    avoid: usize,
}

fn fleet() -> impl Strategy<Value = Fleet> {
    let endpoint = (
        any::<bool>(),
        any::<bool>(),
        1..4_u32,
        any::<bool>(),
        0..8_000_u64,
    );
    let endpoints = prop::collection::vec(endpoint, 1..30);
    (endpoints, any::<bool>(), any::<bool>(), 0..30_usize).prop_map(
        |(endpoints, adapter, azs, avoid)| Fleet {
            endpoints,
            adapter,
            azs,
            avoid,
        },
    )
}

fn announced(fleet: &Fleet) -> Vec<(Announcement, u64)> {
    let endpoints = fleet.endpoints.iter().enumerate();
    let announced = endpoints.map(|(at, (near, leaving, version, adapter, silent_ms))| {
        let mut a = announcement(&format!("e{at}"), if *near { AZ } else { "portland" }, 1);
        a.state = if *leaving {
            Readiness::Leaving
        } else {
            Readiness::Ready
        };
        a.models = vec![LoadedModel {
            model: "planner".to_owned(),
            version: *version,
            adapters: if *adapter {
                vec!["ice".to_owned()]
            } else {
                Vec::new()
            },
        }];
        (a, *silent_ms)
    });
    announced.collect()
}

/// Why `endpoint` must not get a call of `need`.
fn fault(
    table: &Table,
    requirements: &CallRequirements<'_>,
    endpoint: &str,
) -> Option<&'static str> {
    let list = table.list();
    let Some(view) = list.iter().find(|view| view.endpoint == endpoint) else {
        return Some("unknown");
    };
    let has_model = requirements.model.is_none_or(|model| {
        let is_it = |m: &LoadedModel| {
            (m.model.as_str(), m.version) == (model.model, model.version)
                && model
                    .adapters
                    .iter()
                    .all(|adapter| m.adapters.contains(adapter))
        };
        view.models.iter().any(is_it)
    });
    match () {
        () if view.state != EndpointState::Ready => Some("not ready"),
        () if !has_model => Some("lacks the model"),
        () if !requirements.azs.is_empty() && !requirements.azs.contains(&view.az) => {
            Some("not allowed")
        }
        () if requirements.avoid.iter().any(|name| name == endpoint) => Some("was tried"),
        () => None,
    }
}

/// Announces a fleet so that each endpoint has been silent for its time.
async fn settle(fleet: &Fleet) -> Table {
    let table = Table::new(TableConfig::new("g0", AZ));
    let mut announced = announced(fleet);
    announced.sort_by_key(|(_, silent_ms)| std::cmp::Reverse(*silent_ms));
    let mut passed = 8_000;
    for (a, silent_ms) in announced {
        advance(Duration::from_millis(passed - silent_ms)).await;
        passed = silent_ms;
        table.announce(a).unwrap();
    }
    advance(Duration::from_millis(passed)).await;
    table
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_unfit_endpoint_is_ever_picked_and_a_fit_one_is_found(fleet in fleet()) {
        block_on(async {
            let table = settle(&fleet).await;
            let cfg = RouterConfig { remote_subset: 30, ..RouterConfig::new("g0", AZ, vec![]) };
            let router = Router::new(cfg, table.clone());
            let adapters: Vec<String> = fleet.adapter.then(|| "ice".to_owned()).into_iter().collect();
            let azs = match fleet.azs {
                true => vec![AZ.to_owned()],
                false => Vec::new(),
            };
            let avoid = [format!("e{}", fleet.avoid)];
            let model = ModelRequirement { model: "planner", version: 3, adapters: &adapters };
            let requirements = CallRequirements {
                service: SERVICE,
                model: Some(model),
                azs: &azs,
                avoid: &avoid,
                ..CallRequirements::default()
            };
            let is_fit = |name: &str| fault(&table, &requirements, name).is_none();
            let some_fit = table.list().iter().any(|view| is_fit(&view.endpoint));
            for _ in 0..40 {
                match router.pick(&requirements) {
                    Ok(pick) => {
                        prop_assert_eq!(fault(&table, &requirements, pick.name()), None);
                        pick.finish(answered(5));
                    }
                    Err(_) => prop_assert!(!some_fit),
                }
            }
            Ok(())
        })?;
    }

    #[test]
    fn never_more_than_the_cap_are_ejected_and_none_of_them_is_picked(
        endpoints in 1..25_usize,
        calls in prop::collection::vec((any::<u8>(), 0..900_u64), 1..400),
        leave_at in 0..400_usize,
    ) {
        block_on(async {
            let table = table(endpoints);
            let router = router(&table);
            let cap = |n: usize| max_ejected(n, RouterConfig::new("g0", AZ, vec![]).ejection.max_ejected_share);
            for (step, (dice, pause_ms)) in calls.into_iter().enumerate() {
                advance(Duration::from_millis(pause_ms)).await;
                let names: Vec<String> = table.list().into_iter().map(|e| e.endpoint).collect();
                for name in &names {
                    let mut a = announcement(name, AZ, step as u64 + 2);
                    if step >= leave_at && name.ends_with('1') {
                        a.state = Readiness::Leaving;
                    }
                    table.announce(a).unwrap();
                }
                let ejected: Vec<String> = router
                    .stats(SERVICE)
                    .into_iter()
                    .filter(|e| e.is_ejected)
                    .map(|e| e.endpoint)
                    .collect();
                prop_assert!(ejected.len() <= cap(endpoints));
                if let Ok(pick) = router.pick(&requirements()) {
                    prop_assert!(!ejected.contains(&pick.name().to_owned()));
                    pick.finish(if dice < 200 { failed() } else { answered(5) });
                }
            }
            Ok(())
        })?;
    }
}

#[test]
fn the_check_sees_a_router_that_ignores_what_a_call_needs() {
    block_on(async {
        let table = table(3);
        let mut other = announcement("e0001", AZ, 2);
        other.models[0].version = 2;
        table.announce(other).unwrap();
        let adapters = [];
        let model = ModelRequirement {
            model: "planner",
            version: 3,
            adapters: &adapters,
        };
        let strict = CallRequirements {
            model: Some(model),
            ..requirements()
        };
        let broken = router(&table);
        let picked: Vec<String> = (0..30)
            .map(|_| broken.pick(&requirements()).unwrap().name().to_owned())
            .collect();
        let faults = picked
            .iter()
            .filter_map(|name| fault(&table, &strict, name));
        assert!(faults.count() > 0);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 50, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn load_spreads_within_a_quarter_of_the_mean(endpoints in 2..20_usize, seed: u64) {
        const EACH: usize = 20;
        block_on(async {
            let cfg = RouterConfig { seed, ..RouterConfig::new("g0", AZ, vec![]) };
            let router = Router::new(cfg, table(endpoints));
            let got = spread(&router, EACH * endpoints);
            prop_assert_eq!(got.len(), endpoints);
            let most = *got.values().max().unwrap();
            prop_assert!(f64::from(most) <= 1.25 * EACH as f64, "{:?}", got);
            Ok(())
        })?;
    }
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_fails_is_ejected_and_comes_back_slowly() {
    let table = table(10);
    let router = router(&table);
    let bad = "e0003";
    let mut seq = 2;
    let mut share = |router: &Router, calls: usize| {
        seq += 1;
        for at in 0..10 {
            table
                .announce(announcement(&format!("e{at:04}"), AZ, seq))
                .unwrap();
        }
        spread(router, calls).get(bad).copied().unwrap_or(0)
    };
    let others: Vec<String> = (0..10)
        .map(|at| format!("e{at:04}"))
        .filter(|e| e != bad)
        .collect();
    let only_bad = CallRequirements {
        avoid: &others,
        ..requirements()
    };
    for _ in 0..5 {
        router.pick(&only_bad).unwrap().finish(failed());
    }
    assert_eq!(router.ejections(), 1);
    assert_eq!(router.pick(&only_bad).unwrap_err(), NoEndpoint::AllTried);
    assert_eq!(share(&router, 100), 0);
    advance(Duration::from_millis(5_500)).await;
    let returning = share(&router, 100);
    advance(Duration::from_secs(15)).await;
    let back = share(&router, 100);
    assert!(returning < 5, "{returning}");
    assert!((8..=12).contains(&back), "{back}");
}

#[tokio::test(start_paused = true)]
async fn the_own_zone_goes_first_and_spills_when_overloaded() {
    let table = table(2);
    for at in 0..2 {
        table
            .announce(announcement(&format!("far{at}"), "portland", 1))
            .unwrap();
    }
    let router = router(&table);
    let got = spread(&router, 48);
    assert!(got.keys().all(|name| name.starts_with('e')), "{got:?}");
    let got = spread(&router, 80);
    assert!(got.keys().any(|name| name.starts_with("far")), "{got:?}");
}

#[tokio::test(start_paused = true)]
async fn a_prompt_goes_where_its_prefix_is_until_answers_deny_it() {
    let table = table(10);
    let router = router(&table);
    let prompt = vec![b'x'; 1_024];
    let asked = CallRequirements {
        prompt: Some(&prompt),
        ..requirements()
    };
    let _ = router.pick(&requirements());
    let events = |seq, stored: Vec<u64>| CacheEvents {
        endpoint: "e0004".to_owned(),
        incarnation: uuid::Uuid::from_u128(7),
        seq,
        stored,
        removed: Vec::new(),
    };
    router.cache_events(events(3, block_hashes(&prompt)));
    for _ in 0..20 {
        let pick = router.pick(&asked).unwrap();
        assert_eq!(pick.name(), "e0004");
        pick.finish(answered(10));
    }
    // Late, and again: neither adds anything.
    router.cache_events(events(2, Vec::new()));
    let pick = router.pick(&asked).unwrap();
    assert!(pick.cached_share() > 0.9);
    let denied = CacheUsage {
        cached: 0,
        prompt: 256,
    };
    pick.finish(Observation {
        cache_usage: Some(denied),
        ..answered(10)
    });
    let again = router.pick(&asked).unwrap();
    assert!(again.cached_share() < 0.05 || again.name() != "e0004");
}

#[tokio::test(start_paused = true)]
async fn a_prefix_in_cache_does_not_draw_everything_to_one_endpoint() {
    let most = drawn_by_cache(10, 100);
    assert!((12..=35).contains(&most), "{most}");
}

#[tokio::test(start_paused = true)]
async fn old_load_reports_fade() {
    let table = table(2);
    let mut busy = announcement("e0000", AZ, 2);
    busy.load.running = 10;
    table.announce(busy).unwrap();
    let router = router(&table);
    let fresh = spread(&router, 8);
    assert_eq!(fresh.get("e0000"), None);
    advance(Duration::from_millis(3_900)).await;
    let aged = spread(&router, 20);
    assert!(aged["e0000"] >= 6, "{aged:?}");
}

#[tokio::test(start_paused = true)]
async fn a_limit_falls_under_slow_answers_and_refusals_and_rises_again() {
    let table = table(1);
    let router = router(&table);
    let limit = || router.stats(SERVICE)[0].limit;
    let rounds = |count: usize, ms: u64| {
        for _ in 0..count {
            let picks: Vec<_> = std::iter::from_fn(|| router.pick(&requirements()).ok()).collect();
            assert!(matches!(
                router.pick(&requirements()),
                Err(NoEndpoint::Busy { .. })
            ));
            for pick in picks {
                pick.finish(answered(ms));
            }
        }
    };
    rounds(1, 10);
    let at_first = limit();
    rounds(3, 200);
    let slowed = limit();
    assert!(slowed < at_first, "{slowed} {at_first}");
    rounds(40, 10);
    assert!(limit() > slowed);
}

#[tokio::test(start_paused = true)]
async fn a_pick_dropped_without_outcome_frees_its_slot_and_blames_nobody() {
    let table = table(1);
    let router = router(&table);
    for _ in 0..100 {
        drop(router.pick(&requirements()).unwrap());
    }
    let stats = &router.stats(SERVICE)[0];
    assert_eq!((stats.in_flight, stats.is_ejected), (0, false));
}

#[tokio::test(start_paused = true)]
async fn a_rollout_leaves_each_gate_with_endpoints_of_both_versions() {
    const GATES: usize = 33;
    let table = table(400);
    for at in 0..3 {
        let mut rolled = announcement(&format!("e{at:04}"), AZ, 2);
        rolled.models[0].version = 4;
        table.announce(rolled).unwrap();
    }
    let gates: Vec<String> = (0..GATES).map(|at| format!("g{at:02}")).collect();
    for gate in &gates {
        let router = Router::new(RouterConfig::new(gate, AZ, gates.clone()), table.clone());
        for version in [3, 4] {
            let model = ModelRequirement {
                model: "planner",
                version,
                adapters: &[],
            };
            let requirements = CallRequirements {
                model: Some(model),
                ..requirements()
            };
            assert!(router.pick(&requirements).is_ok());
        }
        assert!(router.stats(SERVICE).len() < 50);
    }
}

#[tokio::test(start_paused = true)]
async fn gates_of_the_same_seed_do_not_choose_alike() {
    let table = table(3);
    let chosen = |gate: &str| -> Vec<String> {
        let router = Router::new(RouterConfig::new(gate, AZ, Vec::new()), table.clone());
        let picks = (0..30).map(|_| router.pick(&requirements()).unwrap().name().to_owned());
        picks.collect()
    };
    assert_ne!(chosen("g0"), chosen("g1"));
}

#[tokio::test(start_paused = true)]
async fn during_a_rollout_the_new_version_goes_first_and_the_old_one_carries_the_rest() {
    let table = table(10);
    let mut rolled = announcement("e0000", AZ, 2);
    rolled.models[0].version = 4;
    table.announce(rolled).unwrap();
    let router = router(&table);
    let model = ModelRequirement {
        model: "planner",
        version: 4,
        adapters: &[],
    };
    let requirements = CallRequirements {
        model: Some(model),
        ..requirements()
    };
    assert_eq!(
        router.pick_in_rollout(&requirements).unwrap().name(),
        "e0000"
    );
    let picks: Vec<_> = (0..100)
        .map(|_| router.pick_in_rollout(&requirements).unwrap())
        .collect();
    let new = picks.iter().filter(|pick| pick.name() == "e0000").count();
    assert!((11..=25).contains(&new), "{new}");
    let other = ModelRequirement {
        model: "another",
        ..model
    };
    let requirements = CallRequirements {
        model: Some(other),
        ..requirements
    };
    assert_eq!(
        router.pick_in_rollout(&requirements).unwrap_err(),
        NoEndpoint::NoModel
    );
}

#[tokio::test(start_paused = true)]
async fn gates_of_other_zones_do_not_count_for_subsets() {
    let gates: Vec<String> = (0..30).map(|at| format!("g{at:02}")).collect();
    let table = table(300);
    let router = Router::new(RouterConfig::new("g00", AZ, gates.clone()), table.clone());
    drop(router.pick(&requirements()).unwrap());
    let among_thirty = router.stats(SERVICE).len();
    gates
        .iter()
        .skip(2)
        .for_each(|gate| table.note_foreign(gate));
    let among_two = router.stats(SERVICE).len();
    assert!(
        among_thirty < 40 && among_two == 300,
        "{among_thirty} {among_two}"
    );
}

#[test]
fn an_endpoint_that_pauses_is_passed_over_and_all_of_them_say_for_how_long() {
    block_on(async {
        let router = router(&table(2));
        let seconds = Duration::from_secs;
        let first = router.pick(&requirements()).unwrap();
        let name = first.name().to_owned();
        first.pause(seconds(2));
        first.pause(seconds(1));
        first.finish(failed());
        for _ in 0..10 {
            let pick = router.pick(&requirements()).unwrap();
            assert_ne!(pick.name(), name);
            pick.finish(answered(10));
        }
        let second = router.pick(&requirements()).unwrap();
        second.pause(seconds(1_000_000_000));
        second.finish(answered(10));
        let retry_after = Duration::from_secs(2);
        assert_eq!(
            router.pick(&requirements()).unwrap_err(),
            NoEndpoint::Paused { retry_after }
        );
        advance(retry_after).await;
        assert_eq!(router.pick(&requirements()).unwrap().name(), name);
    });
}

#[test]
fn an_endpoint_that_says_it_leaves_is_not_picked_though_it_announces_that_it_is_ready() {
    block_on(async {
        let table = table(1);
        let router = router(&table);
        let pick = router.pick(&requirements()).unwrap();
        pick.note_leaving();
        pick.finish(answered(10));
        table.announce(announcement("e0000", AZ, 2)).unwrap();
        assert_eq!(
            router.pick(&requirements()).unwrap_err(),
            NoEndpoint::NoneReady
        );
    });
}
