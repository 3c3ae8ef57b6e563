//! Two gates that share three engines in one availability zone, at twice their capacity for 2 s:
//! how even the queues are and what ends in time, against least in flight over both gates' calls.
//!
//! Deterministic, on a paused clock: `cargo run --release -p routing --example burst`

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
/// Calls that one endpoint works on at once.
const PLACES: usize = 6;
const WORK: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_millis(2_500);
const ANNOUNCE_EVERY: Duration = Duration::from_millis(400);
const SECONDS: u64 = 8;
/// Requests a second outside the burst, and within it; the endpoints can do 45.
const RATE: f64 = 30.0;
const BURST_RATE: f64 = 90.0;
const BURST: std::ops::Range<u64> = 2..4;
/// Longest wait for an endpoint with a free slot.
const SLOT_WAIT: Duration = Duration::from_millis(500);
const DOSSIERS: usize = 12;
const SEEDS: [u64; 8] = [7, 11, 23, 1, 2, 3, 4, 5];

struct Zone {
    places: Vec<Semaphore>,
    in_flight: Vec<AtomicU32>,
    routers: Vec<Router>,
    dossiers: Vec<String>,
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
        load: Load {
            running,
            ..Load::default()
        },
    }
}

impl Zone {
    /// The pick of gate `gate`, as soon as an endpoint has a slot.
    async fn pick(&self, gate: usize, prompt: &str, deadline: Instant) -> Option<Pick> {
        let until = Instant::now() + SLOT_WAIT;
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

    /// Whether the call ends in time.
    async fn call(&self, gate: Option<usize>, dossier: usize, work: Duration) -> bool {
        let start = Instant::now();
        let deadline = start + DEADLINE;
        let pick = match gate {
            Some(gate) => self.pick(gate, &self.dossiers[dossier], deadline).await,
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
            let _place = self.places[at].acquire().await;
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
                    // A table with room takes a later announcement.
                    let _ = table.announce(announcement(at, seq, running));
                }
            }
            sleep(ANNOUNCE_EVERY).await;
        }
    }

    /// The mean difference between the longest and the shortest queue while the test runs.
    async fn unevenness(&self, end: Instant) -> f64 {
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
        places: (0..ENDPOINTS).map(|_| Semaphore::new(PLACES)).collect(),
        in_flight: (0..ENDPOINTS).map(|_| AtomicU32::new(0)).collect(),
        routers: tables.iter().enumerate().map(router).collect(),
        dossiers: (0..DOSSIERS)
            .map(|n| format!("dossier {n}. ").repeat(300))
            .collect(),
    });
    let announcing = Arc::clone(&zone);
    let announcing = tokio::spawn(async move { announcing.announce(&tables).await });
    sleep(Duration::from_millis(1)).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (start, mut at) = (Instant::now(), Duration::ZERO);
    let mut tasks = JoinSet::new();
    while at < Duration::from_secs(SECONDS) {
        let rate = match BURST.contains(&at.as_secs()) {
            true => BURST_RATE,
            false => RATE,
        };
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / rate);
        let work = WORK.mul_f64(rng.random_range(0.75..1.25));
        let dossier = rng.random_range(0..DOSSIERS);
        let gate = is_routed.then_some(tasks.len() % GATES);
        let (zone, due) = (Arc::clone(&zone), start + at);
        tasks.spawn(async move {
            sleep_until(due).await;
            zone.call(gate, dossier, work).await
        });
    }
    let unevenness = zone.unevenness(start + Duration::from_secs(SECONDS)).await;
    let (mut done, mut all) = (0, 0);
    while let Some(ended) = tasks.join_next().await {
        done += usize::from(ended.expect("calls do not panic"));
        all += 1;
    }
    announcing.abort();
    println!(
        "{:<14} {seed:>4} {:>7.2}% {unevenness:>21.1}",
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
