//! Measures the cost of a controller for 50, 160 and 490 engines of one availability zone: the time
//! of a reconcile cycle and the encoded size of the replies from a gate.
//!
//! Run with `cargo run --release -p controller --example cost`; it opens no connection and starts no
//! process.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant as Clock},
};

use controller::{
    Limits,
    plan::{PlanInput, plan},
    tracker::OrderTracker,
};
use declaration::{Service, ServiceKind};
use link::calls::{CallCounts, CallsReply, ReleaseCalls};
use membership::{Changes, EndpointState, EndpointView, LoadedModel, Reply, StageRole};
use tokio::time::Instant;
use uuid::Uuid;

/// Number of services over which the engines are distributed.
const SERVICES: usize = 23;
const CYCLES: u32 = 500;
const CYCLES_PER_SECOND: f64 = 5.0;

fn main() {
    println!("engines,state,turn_us,core_percent,view_bytes,view_entry_bytes,calls_bytes,rss_kb");
    for count in [50, 160, 490] {
        for (state, declared) in [("as_declared", 3), ("rollout", 4)] {
            println!("{count},{state},{}", csv_row(count, declared));
        }
    }
}

fn csv_row(count: usize, declared: u32) -> String {
    let endpoints = simulated_endpoints(count);
    let services = services(declared);
    let cycle = mean_cycle_time(&endpoints, &services);
    let core = cycle.as_secs_f64() * CYCLES_PER_SECOND * 100.0;
    let view = view_bytes(endpoints.values().cloned().collect());
    let entry = view_bytes(endpoints.values().take(1).cloned().collect());
    format!(
        "{},{core:.3},{view},{entry},{},{}",
        cycle.as_micros(),
        calls_bytes(),
        rss_kb()
    )
}

/// Returns the mean time of a cycle: closing finished orders, planning, and collecting due orders.
fn mean_cycle_time(
    endpoints: &BTreeMap<String, EndpointView>,
    services: &BTreeMap<String, Service>,
) -> Duration {
    let (mut tracker, limits, now) = (OrderTracker::default(), Limits::default(), Instant::now());
    let started_at = Clock::now();
    for _ in 0..CYCLES {
        tracker.close_finished(endpoints, &limits, now);
        let input = PlanInput {
            services,
            endpoints,
            declaration_age: Duration::ZERO,
            now,
        };
        for (service, task) in plan(&input, &tracker, &limits).tasks {
            let order = task.order_id(1, tracker.attempt(&task));
            tracker.add(task, order, &service, now);
        }
        std::hint::black_box(tracker.claim_due(now, |_| true));
    }
    started_at.elapsed() / CYCLES
}

fn simulated_endpoints(count: usize) -> BTreeMap<String, EndpointView> {
    let named = (0..count).map(|at| {
        let view = EndpointView {
            endpoint: format!("engine-{at:04}"),
            service: format!("service-{:02}", at % SERVICES),
            az: "sousse-a".to_owned(),
            address: format!("http://10.0.{}.{}:9000", at / 250, at % 250),
            incarnation: Uuid::from_u128(at as u128 + 1),
            state: EndpointState::Ready,
            models: vec![LoadedModel {
                model: format!("model-{:02}", at % SERVICES),
                version: 3,
                adapters: vec!["horlogerie".to_owned()],
            }],
            role: StageRole::Both,
            checks_fencing: true,
            slots: None,
            calls: 3,
            silent_ms: 400,
            rate: None,
            cold: None,
        };
        (view.endpoint.clone(), view)
    });
    named.collect()
}

fn services(version: u32) -> BTreeMap<String, Service> {
    let named = (0..SERVICES).map(|at| {
        let service = Service {
            kind: ServiceKind::Engine,
            repeatable: true,
            model: Some(format!("model-{at:02}")),
            version: Some(version),
            adapters: vec!["horlogerie".to_owned()],
            max_tokens: 256,
            roles: None,
            model_mb: None,
            endpoint_mb: None,
            capacity: declaration::Capacity::default(),
        };
        (format!("service-{at:02}"), service)
    });
    named.collect()
}

fn view_bytes(endpoints: Vec<EndpointView>) -> usize {
    let changes = Changes {
        table: Uuid::from_u128(1),
        version: 1,
        is_whole: true,
        endpoints,
        departed: Vec::new(),
    };
    link::encode(&Reply::Since(changes)).len()
}

/// Returns the encoded size of the call counts from one gate while every service is rolled out.
fn calls_bytes() -> usize {
    let releases = (0..SERVICES).flat_map(|at| {
        [3, 4].map(|version| ReleaseCalls {
            service: format!("service-{at:02}"),
            model: format!("model-{at:02}"),
            version,
            counts: CallCounts {
                answered: 1_000_000,
                late: 1_000,
                failed: 1_000,
            },
        })
    });
    let reply = CallsReply {
        counter: Uuid::from_u128(1),
        releases: releases.collect(),
    };
    link::encode(&reply).len()
}

/// Returns the resident memory of this process.
fn rss_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let digits = line.and_then(|l| l.split_whitespace().next());
    digits.and_then(|d| d.parse().ok()).unwrap_or(0)
}
