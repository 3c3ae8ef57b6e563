//! Compares the router with round robin and least in flight on ten endpoints, one of them slow.
//!
//! Runs on a paused clock with a fixed seed; results still vary slightly between runs:
//! `cargo run --release -p routing --example balance`

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use membership::{Announcement, Load, Readiness, StageRole, Table, TableConfig};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{CallOutcome, CallRequirements, Observation, Router, RouterConfig};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};
use uuid::Uuid;

const ENDPOINTS: usize = 10;
const SLOW_ENDPOINT: usize = 3;
const SLOW_FACTOR: u32 = 5;
/// Calls that one endpoint processes concurrently.
const CONCURRENCY: usize = 8;
const MEAN_WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(250);
const DURATION_SECONDS: usize = 20;
const SEED: u64 = 20_261_204;
/// 60% of what all ten endpoints could serve if none were slow.
const REQUESTS_PER_SECOND: usize = 1_200;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    RoundRobin,
    LeastInFlight,
    Router,
}

/// Simulated endpoints, and the calls in flight to each as counted by one gate.
struct Fleet {
    permits: Vec<Semaphore>,
    in_flight: Vec<AtomicUsize>,
    next: AtomicUsize,
    router: Router,
}

fn announcement(at: usize, seq: u64) -> Announcement {
    Announcement {
        endpoint: format!("e{at}"),
        service: "plan-model".to_owned(),
        az: "rockland".to_owned(),
        address: "http://127.0.0.1:9000".to_owned(),
        incarnation: Uuid::nil(),
        seq,
        state: Readiness::Ready,
        models: Vec::new(),
        role: StageRole::Both,
        checks_fencing: true,
        slots: None,
        cold_left_ms: 0,
        load: Load::default(),
    }
}

impl Fleet {
    fn index(name: &str) -> usize {
        name[1..].parse().expect("names are `e` and a number")
    }

    async fn work(&self, at: usize, work: Duration) {
        let permit = self.permits[at].acquire().await;
        let factor = if at == SLOW_ENDPOINT { SLOW_FACTOR } else { 1 };
        sleep(work * factor).await;
        drop(permit);
    }

    async fn call(&self, policy: Policy, work: Duration) -> Option<usize> {
        let start = Instant::now();
        let requirements = CallRequirements {
            service: "plan-model",
            ..CallRequirements::default()
        };
        let pick = match policy {
            Policy::Router => self.router.pick(&requirements).ok(),
            _ => None,
        };
        let at = match (&pick, policy) {
            (Some(pick), _) => Self::index(pick.name()),
            (None, Policy::LeastInFlight) => {
                // Breaks ties by round robin.
                let first = self.next.fetch_add(1, Relaxed);
                (0..ENDPOINTS)
                    .map(|step| (first + step) % ENDPOINTS)
                    .min_by_key(|at| self.in_flight[*at].load(Relaxed))
                    .unwrap_or(0)
            }
            (None, _) => self.next.fetch_add(1, Relaxed) % ENDPOINTS,
        };
        self.in_flight[at].fetch_add(1, Relaxed);
        let done = timeout(DEADLINE, self.work(at, work)).await;
        self.in_flight[at].fetch_sub(1, Relaxed);
        if let Some(pick) = pick {
            let outcome = match done {
                Ok(()) => CallOutcome::Answered,
                Err(_) => CallOutcome::Stalled,
            };
            pick.finish(Observation::new(outcome, start.elapsed()));
        }
        done.ok().map(|()| at)
    }
}

async fn run(policy: Policy) {
    let table = Table::new(TableConfig::new("g0", "rockland"));
    let cfg = RouterConfig {
        seed: SEED,
        ..RouterConfig::new("g0", "rockland", Vec::new())
    };
    let fleet = Arc::new(Fleet {
        permits: (0..ENDPOINTS)
            .map(|_| Semaphore::new(CONCURRENCY))
            .collect(),
        in_flight: (0..ENDPOINTS).map(|_| AtomicUsize::new(0)).collect(),
        next: AtomicUsize::new(0),
        router: Router::new(cfg, table.clone()),
    });
    let announcer = tokio::spawn(async move {
        for seq in 1.. {
            for at in 0..ENDPOINTS {
                // The table has capacity and each announcement is newer than the last.
                let _ = table.announce(announcement(at, seq));
            }
            sleep(Duration::from_secs(1)).await;
        }
    });
    sleep(Duration::from_millis(1)).await;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let start = Instant::now();
    let ended: Arc<Mutex<Vec<(Duration, Option<usize>)>>> = Arc::default();
    let mut tasks = JoinSet::new();
    for at in 0..REQUESTS_PER_SECOND * DURATION_SECONDS {
        let jitter = rng.random_range(0..1_000_000 / REQUESTS_PER_SECOND as u64 * 2);
        let due = start
            + Duration::from_micros(at as u64 * 1_000_000 / REQUESTS_PER_SECOND as u64 + jitter);
        let work = MEAN_WORK.mul_f64(rng.random_range(0.5..1.5));
        let (fleet, ended) = (Arc::clone(&fleet), Arc::clone(&ended));
        tasks.spawn(async move {
            sleep_until(due).await;
            let done = fleet.call(policy, work).await;
            let mut ended = ended.lock().expect("no holder of this lock panics");
            ended.push((due.elapsed(), done));
        });
    }
    while tasks.join_next().await.is_some() {}
    announcer.abort();
    report(
        policy,
        &ended.lock().expect("no holder of this lock panics"),
    );
}

fn report(policy: Policy, ended: &[(Duration, Option<usize>)]) {
    let mut times: Vec<Duration> = ended.iter().map(|(time, _)| *time).collect();
    times.sort_unstable();
    let quantile = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_millis();
    let mut by_endpoint: BTreeMap<usize, usize> = BTreeMap::new();
    for at in ended.iter().filter_map(|(_, at)| *at) {
        *by_endpoint.entry(at).or_default() += 1;
    }
    let done: usize = by_endpoint.values().sum();
    let slow = by_endpoint.get(&SLOW_ENDPOINT).copied().unwrap_or(0);
    println!(
        "{:<14} {:>7.2}% {:>9} {:>9} {:>13.2}%",
        format!("{policy:?}"),
        100.0 * done as f64 / ended.len() as f64,
        quantile(0.5),
        quantile(0.99),
        100.0 * slow as f64 / done as f64,
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    println!("policy         in time   p50 (ms)  p99 (ms)  done by slow");
    for policy in [Policy::RoundRobin, Policy::LeastInFlight, Policy::Router] {
        run(policy).await;
    }
}
