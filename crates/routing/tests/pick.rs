//! Tests of endpoint selection.

mod common;

use std::time::Duration;

use common::{
    AZ, SERVICE, announcement, answered, pick_counts, picks_of_cached_endpoint, requirements,
    router, table,
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

/// Observation of a call that failed after 1 ms.
fn failed() -> Observation {
    Observation::new(CallOutcome::Failed, Duration::from_millis(1))
}

/// Parameters of a random fleet and of the requirements of a call.
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

/// Returns the reason why `endpoint` must not get a call with `requirements`, if there is one.
fn violation(
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

/// Announces a fleet such that each endpoint has been silent for its `silent_ms`.
async fn announce_fleet(fleet: &Fleet) -> Table {
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
    fn only_suitable_endpoints_are_picked_and_one_is_found_if_any(fleet in fleet()) {
        block_on(async {
            let table = announce_fleet(&fleet).await;
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
            let is_suitable = |name: &str| violation(&table, &requirements, name).is_none();
            let any_suitable = table.list().iter().any(|view| is_suitable(&view.endpoint));
            for _ in 0..40 {
                match router.pick(&requirements) {
                    Ok(pick) => {
                        prop_assert_eq!(violation(&table, &requirements, pick.name()), None);
                        pick.finish(answered(5));
                    }
                    Err(_) => prop_assert!(!any_suitable),
                }
            }
            Ok(())
        })?;
    }

    #[test]
    fn ejections_respect_the_cap_and_ejected_endpoints_are_not_picked(
        endpoints in 1..25_usize,
        calls in prop::collection::vec((any::<u8>(), 0..900_u64), 1..400),
        leave_at in 0..400_usize,
    ) {
        block_on(async {
            let table = table(endpoints);
            let router = router(&table);
            let cap = |n: usize| max_ejected(n, RouterConfig::new("g0", AZ, vec![]).ejection.max_ejected_share);
            for (step, (roll, pause_ms)) in calls.into_iter().enumerate() {
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
                    pick.finish(if roll < 200 { failed() } else { answered(5) });
                }
            }
            Ok(())
        })?;
    }
}

#[test]
fn check_detects_a_router_that_ignores_requirements() {
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
        let lenient = router(&table);
        let picked: Vec<String> = (0..30)
            .map(|_| lenient.pick(&requirements()).unwrap().name().to_owned())
            .collect();
        let violations = picked
            .iter()
            .filter_map(|name| violation(&table, &strict, name));
        assert!(violations.count() > 0);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 50, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn load_per_endpoint_is_within_a_quarter_of_the_mean(endpoints in 2..20_usize, seed: u64) {
        const CALLS_PER_ENDPOINT: usize = 20;
        block_on(async {
            let cfg = RouterConfig { seed, ..RouterConfig::new("g0", AZ, vec![]) };
            let router = Router::new(cfg, table(endpoints));
            let counts = pick_counts(&router, CALLS_PER_ENDPOINT * endpoints);
            prop_assert_eq!(counts.len(), endpoints);
            let most = *counts.values().max().unwrap();
            prop_assert!(f64::from(most) <= 1.25 * CALLS_PER_ENDPOINT as f64, "{:?}", counts);
            Ok(())
        })?;
    }
}

#[tokio::test(start_paused = true)]
async fn failing_endpoint_is_ejected_and_ramped_up_after_its_return() {
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
        pick_counts(router, calls).get(bad).copied().unwrap_or(0)
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
    let restored = share(&router, 100);
    assert!(returning < 5, "{returning}");
    assert!((8..=12).contains(&restored), "{restored}");
}

#[tokio::test(start_paused = true)]
async fn local_zone_is_preferred_and_spills_over_when_overloaded() {
    let table = table(2);
    for at in 0..2 {
        table
            .announce(announcement(&format!("far{at}"), "portland", 1))
            .unwrap();
    }
    let router = router(&table);
    let counts = pick_counts(&router, 48);
    assert!(
        counts.keys().all(|name| name.starts_with('e')),
        "{counts:?}"
    );
    let counts = pick_counts(&router, 80);
    assert!(
        counts.keys().any(|name| name.starts_with("far")),
        "{counts:?}"
    );
}

/// Guards against calls to evacuated zones, and against a refusal while another zone has endpoints.
#[tokio::test(start_paused = true)]
async fn endpoints_of_evacuated_zones_are_not_picked() {
    let table = table(2);
    table.announce(announcement("far", "portland", 1)).unwrap();
    let router = router(&table);
    let evacuated = [AZ.to_owned(), "portland".to_owned()];
    let pick = |evacuated_azs| {
        router.pick(&CallRequirements {
            evacuated_azs,
            ..requirements()
        })
    };
    for _ in 0..8 {
        assert_eq!(pick(&evacuated[..1]).unwrap().name(), "far");
    }
    assert_eq!(pick(&evacuated).unwrap_err(), NoEndpoint::Evacuated);
    assert!(pick(&[]).is_ok());
}

#[tokio::test(start_paused = true)]
async fn prompts_follow_their_cached_prefix_until_responses_deny_it() {
    let table = table(10);
    let router = router(&table);
    let prompt = vec![b'x'; 1_024];
    let with_prompt = CallRequirements {
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
        let pick = router.pick(&with_prompt).unwrap();
        assert_eq!(pick.name(), "e0004");
        pick.finish(answered(10));
    }
    // Late and duplicate batches are ignored.
    router.cache_events(events(2, Vec::new()));
    let pick = router.pick(&with_prompt).unwrap();
    assert!(pick.cached_share() > 0.9);
    let denied = CacheUsage {
        cached: 0,
        prompt: 256,
    };
    pick.finish(Observation {
        cache_usage: Some(denied),
        ..answered(10)
    });
    let again = router.pick(&with_prompt).unwrap();
    assert!(again.cached_share() < 0.05 || again.name() != "e0004");
}

#[tokio::test(start_paused = true)]
async fn cached_prefix_does_not_attract_all_calls_to_one_endpoint() {
    let count = picks_of_cached_endpoint(10, 100);
    assert!((12..=35).contains(&count), "{count}");
}

#[tokio::test(start_paused = true)]
async fn old_load_reports_lose_weight() {
    let table = table(2);
    let mut busy = announcement("e0000", AZ, 2);
    busy.load.running = 10;
    table.announce(busy).unwrap();
    let router = router(&table);
    let fresh = pick_counts(&router, 8);
    assert_eq!(fresh.get("e0000"), None);
    advance(Duration::from_millis(3_900)).await;
    let aged = pick_counts(&router, 20);
    assert!(aged["e0000"] >= 6, "{aged:?}");
}

#[tokio::test(start_paused = true)]
async fn endpoint_limit_falls_on_slow_responses_and_recovers() {
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
    let initial = limit();
    rounds(3, 200);
    let slowed = limit();
    assert!(slowed < initial, "{slowed} {initial}");
    rounds(40, 10);
    assert!(limit() > slowed);
}

#[tokio::test(start_paused = true)]
async fn dropped_pick_releases_its_capacity_and_counts_as_no_failure() {
    let table = table(1);
    let router = router(&table);
    for _ in 0..100 {
        drop(router.pick(&requirements()).unwrap());
    }
    let stats = &router.stats(SERVICE)[0];
    assert_eq!((stats.in_flight, stats.is_ejected), (0, false));
}

#[tokio::test(start_paused = true)]
async fn each_gate_has_endpoints_of_both_versions_during_a_rollout() {
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
async fn gates_with_the_same_seed_choose_differently() {
    let table = table(3);
    let chosen = |gate: &str| -> Vec<String> {
        let router = Router::new(RouterConfig::new(gate, AZ, Vec::new()), table.clone());
        let picks = (0..30).map(|_| router.pick(&requirements()).unwrap().name().to_owned());
        picks.collect()
    };
    assert_ne!(chosen("g0"), chosen("g1"));
}

#[tokio::test(start_paused = true)]
async fn new_version_is_preferred_during_a_rollout_and_the_old_one_takes_the_rest() {
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
async fn gates_of_other_zones_are_ignored_in_subsetting() {
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
fn paused_endpoints_are_skipped_and_the_shortest_pause_is_reported() {
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
fn endpoint_noted_as_leaving_is_not_picked_even_if_it_announces_ready() {
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
