//! Two gates share three engines in one availability zone, with a burst of twice their capacity for
//! 2 s. Compares queue imbalance and requests completed in time with least in flight, which counts
//! the calls of both gates.
//!
//! Runs deterministically on a paused clock: `cargo run --release -p routing --example burst`

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};

use membership::{Announcement, Load, Readiness, StageRole, Table, TableConfig};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{CallOutcome, CallRequirements, Observation, Pick, Router, RouterConfig};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use uuid::Uuid;

const ENDPOINTS: usize = 3;
const GATES: usize = 2;
/// Calls that one endpoint processes concurrently.
const CONCURRENCY: usize = 6;
const MEAN_WORK: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_millis(2_500);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
const DURATION_SECONDS: u64 = 8;
/// Request rates outside and during the burst. The endpoints can serve 45 requests per second.
const REQUESTS_PER_SECOND: f64 = 30.0;
const BURST_REQUESTS_PER_SECOND: f64 = 90.0;
const BURST_SECONDS: std::ops::Range<u64> = 2..4;
/// Longest time to retry a pick.
const MAX_PICK_WAIT: Duration = Duration::from_millis(500);
const PROMPTS: usize = 12;
const SEEDS: [u64; 8] = [7, 11, 23, 1, 2, 3, 4, 5];

struct Zone {
    permits: Vec<Semaphore>,
    in_flight: Vec<AtomicU32>,
    routers: Vec<Router>,
    prompts: Vec<String>,
}

fn announcement(at: usize, seq: u64, running: u32) -> Announcement {
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
        load: Load {
            running,
            ..Load::default()
        },
    }
}

impl Zone {
    /// Picks an endpoint by the router of gate number `gate`, retrying until one is available.
    async fn pick(&self, gate: usize, prompt: &str, deadline: Instant) -> Option<Pick> {
        let until = Instant::now() + MAX_PICK_WAIT;
        loop {
            let requirements = CallRequirements {
                service: "plan-model",
                prompt: Some(prompt.as_bytes()),
                remaining: Some(deadline.saturating_duration_since(Instant::now())),
                ..CallRequirements::default()
            };
            match self.routers[gate].pick(&requirements) {
                Ok(pick) => return Some(pick),
                Err(_) if Instant::now() >= until => return None,
                Err(_) => sleep(Duration::from_millis(7)).await,
            }
        }
    }

    fn least_in_flight(&self) -> usize {
        let all = 0..ENDPOINTS;
        all.min_by_key(|at| self.in_flight[*at].load(Relaxed))
            .unwrap_or(0)
    }

    /// Returns true if the call completes in time.
    async fn call(&self, gate: Option<usize>, prompt: usize, work: Duration) -> bool {
        let start = Instant::now();
        let deadline = start + DEADLINE;
        let pick = match gate {
            Some(gate) => self.pick(gate, &self.prompts[prompt], deadline).await,
            None => None,
        };
        let at = match (&pick, gate) {
            (Some(pick), _) => pick.name()[1..].parse().expect("`e` and a number"),
            (None, None) => self.least_in_flight(),
            (None, Some(_)) => return false,
        };
        let sent = Instant::now();
        self.in_flight[at].fetch_add(1, Relaxed);
        let run = async {
            let _permit = self.permits[at].acquire().await;
            if let Some(pick) = &pick {
                pick.record_first_byte();
            }
            sleep(work).await;
        };
        let is_done = timeout_at(deadline, run).await.is_ok();
        self.in_flight[at].fetch_sub(1, Relaxed);
        if let Some(pick) = pick {
            let outcome = match is_done {
                true => CallOutcome::Answered,
                false => CallOutcome::Cancelled,
            };
            pick.finish(Observation::new(outcome, sent.elapsed()));
        }
        is_done
    }

    async fn announce(&self, tables: &[Table]) {
        for seq in 1.. {
            for at in 0..ENDPOINTS {
                let running = self.in_flight[at].load(Relaxed);
                for table in tables {
                    // The table has capacity and each announcement is newer than the last.
                    let _ = table.announce(announcement(at, seq, running));
                }
            }
            sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    /// Returns the mean difference between the longest and the shortest queue until `end`.
    async fn imbalance(&self, end: Instant) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        while Instant::now() < end {
            let loads = || self.in_flight.iter().map(|n| n.load(Relaxed));
            let spread = loads().max().unwrap_or(0) - loads().min().unwrap_or(0);
            sum += f64::from(spread);
            count += 1.0;
            sleep(Duration::from_millis(20)).await;
        }
        sum / count
    }
}

async fn run(is_routed: bool, seed: u64) {
    let tables: Vec<Table> = (0..GATES)
        .map(|gate| Table::new(TableConfig::new(&format!("g{gate}"), "rockland")))
        .collect();
    let names: Vec<String> = (0..GATES).map(|gate| format!("g{gate}")).collect();
    let router = |(gate, table): (usize, &Table)| {
        let cfg = RouterConfig {
            seed,
            ..RouterConfig::new(&names[gate], "rockland", names.clone())
        };
        Router::new(cfg, table.clone())
    };
    let zone = Arc::new(Zone {
        permits: (0..ENDPOINTS)
            .map(|_| Semaphore::new(CONCURRENCY))
            .collect(),
        in_flight: (0..ENDPOINTS).map(|_| AtomicU32::new(0)).collect(),
        routers: tables.iter().enumerate().map(router).collect(),
        prompts: (0..PROMPTS)
            .map(|n| format!("dossier {n}. ").repeat(300))
            .collect(),
    });
    let announcer = Arc::clone(&zone);
    let announcer = tokio::spawn(async move { announcer.announce(&tables).await });
    sleep(Duration::from_millis(1)).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (start, mut at) = (Instant::now(), Duration::ZERO);
    let mut tasks = JoinSet::new();
    while at < Duration::from_secs(DURATION_SECONDS) {
        let rate = match BURST_SECONDS.contains(&at.as_secs()) {
            true => BURST_REQUESTS_PER_SECOND,
            false => REQUESTS_PER_SECOND,
        };
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / rate);
        let work = MEAN_WORK.mul_f64(rng.random_range(0.75..1.25));
        let prompt = rng.random_range(0..PROMPTS);
        let gate = is_routed.then_some(tasks.len() % GATES);
        let (zone, due) = (Arc::clone(&zone), start + at);
        tasks.spawn(async move {
            sleep_until(due).await;
            zone.call(gate, prompt, work).await
        });
    }
    let imbalance = zone
        .imbalance(start + Duration::from_secs(DURATION_SECONDS))
        .await;
    let (mut done, mut all) = (0, 0);
    while let Some(ended) = tasks.join_next().await {
        done += usize::from(ended.expect("calls do not panic"));
        all += 1;
    }
    announcer.abort();
    println!(
        "{:<14} {seed:>4} {:>7.2}% {imbalance:>21.1}",
        if is_routed { "Router" } else { "LeastInFlight" },
        100.0 * f64::from(u32::try_from(done).unwrap_or(u32::MAX)) / f64::from(all),
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    println!("policy         seed in time   queues differ (calls)");
    for seed in SEEDS {
        run(false, seed).await;
        run(true, seed).await;
    }
}
