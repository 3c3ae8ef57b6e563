//! Measures goodput with and without admission control at 50% to 300% of the endpoints' capacity.
//!
//! Runs on a paused clock with a fixed seed; results still vary slightly between runs:
//! `cargo run --release -p routing --example overload`

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use declaration::Priority;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{
    Admission, AdmissionConfig, AdmissionRequest, Latencies, RequestOutcome, SizeClass, Stage,
};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// Calls that all endpoints together process concurrently.
const CONCURRENCY: usize = 20;
const MEAN_WORK: Duration = Duration::from_millis(50);
const CAPACITY_PER_SECOND: u64 = 400;
const DEADLINE: Duration = Duration::from_millis(500);
const DURATION_SECONDS: u64 = 20;
const SEED: u64 = 20_261_204;
const PRIORITIES: [u8; 3] = [1, 4, 8];
const STAGE: Stage<'static> = Stage {
    service: "plan-model",
    size: SizeClass::SMALLEST,
};

/// Result of one request.
#[derive(Clone, Copy, Debug)]
struct Ended {
    priority: u8,
    in_time: bool,
    /// Time until the request was refused; `None` if it was admitted.
    refused: Option<Duration>,
}

struct System {
    permits: Semaphore,
    latencies: Arc<Latencies>,
    admission: Option<Admission>,
}

impl System {
    /// Returns true if the work completed before the deadline. Work that was started is not cancelled
    /// at the deadline.
    async fn work(&self, work: Duration, deadline: Instant) -> bool {
        let start = Instant::now();
        let Ok(Ok(permit)) = timeout_at(deadline, self.permits.acquire()).await else {
            return false;
        };
        sleep(work).await;
        drop(permit);
        self.latencies.observe(STAGE, start.elapsed());
        Instant::now() <= deadline
    }

    async fn request(&self, priority: u8, work: Duration) -> Ended {
        let start = Instant::now();
        let deadline = start + DEADLINE;
        let ended = |in_time, refused| Ended {
            priority,
            in_time,
            refused,
        };
        let Some(admission) = &self.admission else {
            return ended(self.work(work, deadline).await, None);
        };
        let name = format!("workspace-{priority}");
        let request = AdmissionRequest {
            workspace: &name,
            priority: Priority(priority),
            max_in_flight: u32::MAX,
            stages: &[STAGE],
            deadline,
        };
        let Ok(guard) = admission.admit(request).await else {
            return ended(false, Some(start.elapsed()));
        };
        let in_time = self.work(work, deadline).await;
        guard.finish(if in_time {
            RequestOutcome::OnTime
        } else {
            RequestOutcome::Overloaded
        });
        ended(in_time, None)
    }
}

async fn run(load_percent: u64, with_admission: bool) {
    let latencies = Arc::new(Latencies::new());
    let admission = Admission::new(AdmissionConfig::default(), Arc::clone(&latencies));
    let system = Arc::new(System {
        permits: Semaphore::new(CONCURRENCY),
        latencies,
        admission: with_admission.then_some(admission),
    });
    let mut rng = SmallRng::seed_from_u64(SEED);
    let start = Instant::now();
    let rate = CAPACITY_PER_SECOND * load_percent / 100;
    let all: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let mut tasks = JoinSet::new();
    for at in 0..rate * DURATION_SECONDS {
        let jitter = rng.random_range(0..2_000_000 / rate);
        let due = start + Duration::from_micros(at * 1_000_000 / rate + jitter);
        let work = MEAN_WORK.mul_f64(rng.random_range(0.5..1.5));
        let priority = PRIORITIES[rng.random_range(0..PRIORITIES.len())];
        let (system, all) = (Arc::clone(&system), Arc::clone(&all));
        tasks.spawn(async move {
            sleep_until(due).await;
            let ended = system.request(priority, work).await;
            all.lock()
                .expect("no holder of this lock panics")
                .push(ended);
        });
    }
    while tasks.join_next().await.is_some() {}
    let all = all.lock().expect("no holder of this lock panics");
    report(load_percent, with_admission, &all);
}

fn report(load_percent: u64, with_admission: bool, all: &[Ended]) {
    let in_time = all.iter().filter(|e| e.in_time).count() as u64;
    let by_priority = PRIORITIES.map(|priority| {
        let of_priority = || all.iter().filter(|e| e.priority == priority);
        100.0 * of_priority().filter(|e| e.in_time).count() as f64 / of_priority().count() as f64
    });
    let mut refused: Vec<Duration> = all.iter().filter_map(|e| e.refused).collect();
    refused.sort_unstable();
    let median = refused
        .get(refused.len() / 2)
        .map_or(0, Duration::as_millis);
    let late = all
        .iter()
        .filter(|e| !e.in_time && e.refused.is_none())
        .count();
    println!(
        "{load_percent:>4}%  {:<9} {:>9} {:>7} {late:>6} {median:>9}  {:>6.1} {:>6.1} {:>6.1}",
        if with_admission { "admission" } else { "none" },
        in_time / DURATION_SECONDS,
        refused.len() as u64 / DURATION_SECONDS,
        by_priority[0],
        by_priority[1],
        by_priority[2],
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    println!(
        "load   policy    in time/s refused/s  late  refusal ms   % in time at priority 1, 4, 8"
    );
    for load_percent in [50, 100, 200, 300] {
        for with_admission in [false, true] {
            run(load_percent, with_admission).await;
        }
    }
}
