//! Tests of retry budgets, latency quantiles and admission control.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use declaration::Priority;
use proptest::prelude::*;
use routing::{
    Admission, AdmissionConfig, AdmissionRequest, Latencies, RefusalReason, RequestOutcome,
    RetryBudget, RetryBudgetConfig, SizeClass, Stage,
};
use tokio::time::{Instant, advance, sleep, timeout};

const STAGE: Stage<'static> = Stage {
    service: "plan-model",
    size: SizeClass::SMALLEST,
};

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_stay_within_their_budget(ops in prop::collection::vec((any::<bool>(), 0..300_u64), 1..600)) {
        block_on(async {
            let cfg = RetryBudgetConfig::default();
            let budget = RetryBudget::new(cfg);
            let (mut first, mut spent, mut elapsed) = (0.0, 0.0, Duration::ZERO);
            for (is_first, pause_ms) in ops {
                let pause = Duration::from_millis(pause_ms);
                advance(pause).await;
                elapsed += pause;
                match is_first {
                    true => {
                        budget.record_first_attempt("plan-model");
                        first += 1.0;
                    }
                    false if budget.try_spend("plan-model") => spent += 1.0,
                    false => {}
                }
                let idle = elapsed.as_secs_f64() / cfg.refill_interval.as_secs_f64();
                prop_assert!(spent <= cfg.ratio * first + cfg.reserve + idle + 1e-6);
            }
            Ok(())
        })?;
    }
}

#[tokio::test(start_paused = true)]
async fn retry_budgets_of_services_are_independent() {
    let budget = RetryBudget::new(RetryBudgetConfig::default());
    while budget.try_spend("plan-model") {}
    assert!(budget.try_spend("ice-reports"));
}

/// Guards against retries that are spent on calls that were never sent, and against refunds that add up.
#[tokio::test(start_paused = true)]
async fn refunded_retries_can_be_spent_once_again() {
    let cfg = RetryBudgetConfig::default();
    let budget = RetryBudget::new(cfg);
    while budget.try_spend("plan-model") {}
    budget.refund("plan-model");
    assert!(budget.try_spend("plan-model"));
    assert!(!budget.try_spend("plan-model"));
    (0..500).for_each(|_| budget.refund("plan-model"));
    assert!(budget.remaining("plan-model") <= cfg.max_balance);
}

#[tokio::test(start_paused = true)]
async fn quantiles_require_samples_and_drop_old_ones() {
    let latencies = Latencies::new();
    assert_eq!(latencies.hedge_after(STAGE), None);
    for ms in 1..=100 {
        latencies.observe(STAGE, Duration::from_millis(ms));
    }
    let hedge = latencies.hedge_after(STAGE).unwrap().as_millis();
    assert!((93..=97).contains(&hedge), "{hedge}");
    let estimate = latencies.estimate(&[STAGE, STAGE]).as_millis();
    assert!((98..=104).contains(&estimate), "{estimate}");
    advance(Duration::from_secs(70)).await;
    for _ in 0..30 {
        latencies.observe(STAGE, Duration::from_millis(5));
    }
    assert!(latencies.hedge_after(STAGE).unwrap() < Duration::from_millis(6));
}

fn admission(cfg: AdmissionConfig) -> Admission {
    Admission::new(cfg, Arc::new(Latencies::new()))
}

fn fixed_limit(limit: f64) -> AdmissionConfig {
    AdmissionConfig {
        initial: limit,
        min: limit,
        max: limit,
        ..AdmissionConfig::default()
    }
}

fn request(workspace: &str, priority: u8) -> AdmissionRequest<'_> {
    AdmissionRequest {
        workspace,
        priority: Priority(priority),
        max_in_flight: 10_000,
        stages: &[],
        deadline: Instant::now() + Duration::from_secs(3),
    }
}

#[tokio::test(start_paused = true)]
async fn requests_above_the_workspace_limit_are_refused_immediately() {
    let admission = admission(fixed_limit(100.0));
    let req = AdmissionRequest {
        max_in_flight: 2,
        ..request("desk", 1)
    };
    let held = [
        admission.admit(req).await.unwrap(),
        admission.admit(req).await.unwrap(),
    ];
    let start = Instant::now();
    let refused = admission.admit(req).await.unwrap_err();
    assert_eq!(refused.reason, RefusalReason::WorkspaceLimit);
    assert!(refused.retry_after > Duration::ZERO);
    assert_eq!(start.elapsed(), Duration::ZERO);
    drop(held);
    assert!(admission.admit(req).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn requests_that_would_miss_their_deadline_are_refused() {
    let latencies = Arc::new(Latencies::new());
    for _ in 0..50 {
        latencies.observe(STAGE, Duration::from_secs(2));
    }
    let admission = Admission::new(fixed_limit(10.0), latencies);
    let two = AdmissionRequest {
        stages: &[STAGE, STAGE],
        ..request("desk", 1)
    };
    let refused = admission.admit(two).await.unwrap_err();
    assert_eq!(refused.reason, RefusalReason::TooLate);
    let one = AdmissionRequest {
        stages: &[STAGE],
        ..request("desk", 1)
    };
    let guard = admission.admit(one).await.unwrap();
    assert!(guard.still_fits(&[STAGE], Duration::from_millis(2_100)));
    assert!(!guard.still_fits(&[STAGE], Duration::from_millis(1_900)));
}

#[tokio::test(start_paused = true)]
async fn cancelled_admissions_release_their_permits() {
    let admission = admission(fixed_limit(1.0));
    let held = admission.admit(request("a", 1)).await.unwrap();
    for _ in 0..50 {
        let waiting = admission.admit(request("b", 1));
        let _ = timeout(Duration::from_millis(1), waiting).await;
    }
    drop(held);
    assert_eq!(admission.stats().in_flight, 0);
    drop(admission.admit(request("b", 1)).await.unwrap());
    assert_eq!(
        (admission.stats().in_flight, admission.stats().waiting),
        (0, 0)
    );
}

/// Request rate of one workspace.
#[derive(Clone, Copy)]
struct Demand {
    workspace: &'static str,
    priority: u8,
    per_second: u64,
}

/// Runs `demands` for 10 s with 100 ms of work per request. Returns the number of completed requests
/// per workspace.
async fn run_load(admission: &Admission, demands: &[Demand]) -> BTreeMap<&'static str, u64> {
    let mut tasks = tokio::task::JoinSet::new();
    for demand in demands {
        for at in 0..demand.per_second * 10 {
            let (admission, demand) = (admission.clone(), *demand);
            tasks.spawn(async move {
                sleep(Duration::from_micros(at * 1_000_000 / demand.per_second)).await;
                let guard = admission
                    .admit(request(demand.workspace, demand.priority))
                    .await
                    .ok()?;
                sleep(Duration::from_millis(100)).await;
                guard.finish(RequestOutcome::OnTime);
                Some(demand.workspace)
            });
        }
    }
    let mut done = BTreeMap::new();
    while let Some(ended) = tasks.join_next().await {
        if let Some(workspace) = ended.unwrap() {
            *done.entry(workspace).or_default() += 1;
        }
    }
    done
}

#[tokio::test(start_paused = true)]
async fn overload_sheds_the_lowest_priority_first_and_starves_nobody() {
    let demands = [
        Demand {
            workspace: "low",
            priority: 0,
            per_second: 100,
        },
        Demand {
            workspace: "middle",
            priority: 4,
            per_second: 100,
        },
        Demand {
            workspace: "high",
            priority: 9,
            per_second: 100,
        },
    ];
    // A limit of 10 with 100 ms of work serves 100 requests per second, a third of the demand.
    let done = run_load(&admission(fixed_limit(10.0)), &demands).await;
    let total: u64 = done.values().sum();
    assert!(total >= 950, "{done:?}");
    assert!(done["high"] > 800, "{done:?}");
    assert!(done["low"] >= 5, "{done:?}");
    assert!(done["middle"] > done["low"], "{done:?}");
}

#[tokio::test(start_paused = true)]
async fn goodput_stays_flat_at_three_times_the_capacity() {
    let at = |per_second| {
        [Demand {
            workspace: "desk",
            priority: 1,
            per_second,
        }]
    };
    let full = run_load(&admission(fixed_limit(10.0)), &at(100)).await["desk"];
    let overloaded = run_load(&admission(fixed_limit(10.0)), &at(300)).await["desk"];
    assert!(overloaded * 100 >= full * 95, "{overloaded} of {full}");
}

#[tokio::test(start_paused = true)]
async fn concurrency_limit_falls_on_late_requests_and_recovers() {
    let admission = admission(AdmissionConfig {
        initial: 64.0,
        ..AdmissionConfig::default()
    });
    let round = async |outcome| {
        let mut guards = Vec::new();
        while admission.stats().in_flight < admission.stats().limit {
            guards.push(admission.admit(request("desk", 1)).await.unwrap());
        }
        advance(Duration::from_millis(150)).await;
        for guard in guards {
            guard.finish(outcome);
        }
    };
    for _ in 0..20 {
        round(RequestOutcome::Overloaded).await;
    }
    let fallen = admission.stats().limit;
    assert!(fallen < 16, "{fallen}");
    for _ in 0..60 {
        round(RequestOutcome::OnTime).await;
    }
    assert!(admission.stats().limit > fallen);
}
