//! Measures the duration of one pick and the memory of a table and a router by fleet size.
//!
//! `cargo run --release -p routing --example pick_cost`

use std::{fs, hint::black_box, time::Instant};

use membership::{Announcement, Load, LoadedModel, Readiness, StageRole, Table, TableConfig};
use routing::{CallOutcome, CallRequirements, ModelRequirement, Observation, Router, RouterConfig};
use uuid::Uuid;

/// Fleets: number of endpoints, availability zones, and gates per availability zone.
const FLEETS: [(usize, usize, usize); 3] = [(10, 1, 7), (100, 4, 8), (5_900, 12, 33)];
const PICKS: u32 = 200_000;
const PAGE_BYTES: usize = 4_096;

fn announce_all(table: &Table, endpoints: usize, azs: usize, seq: u64) {
    for at in 0..endpoints {
        let result = table.announce(announcement(at, azs, seq));
        result.expect("the table has room");
    }
}

fn announcement(at: usize, azs: usize, seq: u64) -> Announcement {
    Announcement {
        endpoint: format!("appraise-llm-{at:05}"),
        service: "appraise-llm".to_owned(),
        az: format!("az{}", at % azs),
        address: format!("http://127.0.0.1:{}", 10_000 + at),
        incarnation: Uuid::nil(),
        seq,
        state: Readiness::Ready,
        models: vec![LoadedModel {
            model: "appraise-7b".to_owned(),
            version: 3,
            adapters: vec!["horlogerie".to_owned()],
        }],
        role: StageRole::Both,
        checks_fencing: true,
        slots: None,
        cold_left_ms: 0,
        load: Load::default(),
    }
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn ns_per_pick(router: &Router, requirements: &CallRequirements<'_>) -> u128 {
    let start = Instant::now();
    for _ in 0..PICKS {
        let pick = router.pick(requirements).expect("an endpoint is ready");
        black_box(pick.name());
        let elapsed = std::time::Duration::from_millis(5);
        pick.finish(Observation::new(CallOutcome::Answered, elapsed));
    }
    start.elapsed().as_nanos() / u128::from(PICKS)
}

fn main() {
    let adapters = ["horlogerie".to_owned()];
    let prompt = vec![b'x'; 4_096];
    println!("endpoints  zones  gates  talks to  pick and finish  with 4 KiB prompt  resident");
    for (endpoints, azs, gates) in FLEETS {
        let before = resident_bytes();
        let table = Table::new(TableConfig::new("g00", "az0"));
        announce_all(&table, endpoints, azs, 1);
        let gates = (0..gates).map(|at| format!("g{at:02}")).collect();
        let router = Router::new(RouterConfig::new("g00", "az0", gates), table.clone());
        let requirements = CallRequirements {
            service: "appraise-llm",
            model: Some(ModelRequirement {
                model: "appraise-7b",
                version: 3,
                adapters: &adapters,
            }),
            ..CallRequirements::default()
        };
        let plain_ns = ns_per_pick(&router, &requirements);
        let with_prompt = CallRequirements {
            prompt: Some(&prompt),
            ..requirements
        };
        announce_all(&table, endpoints, azs, 2);
        let prompt_ns = ns_per_pick(&router, &with_prompt);
        let subset = router.stats("appraise-llm").len();
        let kib = resident_bytes().saturating_sub(before) / 1_024;
        println!(
            "{endpoints:>9}  {azs:>5}  {:>5}  {subset:>8}  {plain_ns:>12} ns  {prompt_ns:>14} ns  {kib:>4} KiB",
            gate_count(&router)
        );
    }
}

fn gate_count(router: &Router) -> usize {
    router.config().gates.len()
}
