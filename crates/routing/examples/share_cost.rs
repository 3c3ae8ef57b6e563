//! Measures the time of ordering the waiting stages of a full pool by shares.

use std::time::Instant;

use routing::fair_share::{FairShare, WaitingStage};

/// Runs for each number of stages.
const RUNS: u32 = 1_000;

fn main() {
    for (stages, flows) in [(50, 3), (200, 12), (600, 12), (600, 200)] {
        let mut shares = FairShare::default();
        let waiting: Vec<WaitingStage> = (0..stages)
            .map(|n| WaitingStage {
                flow: n * 7 % flows,
                items: 4 + n as u32 % 9,
                has_started: n % 20 == 0,
            })
            .collect();
        for flow in 0..flows {
            shares.activate(flow);
        }
        let start = Instant::now();
        let calls: usize = (0..RUNS).map(|_| shares.order(&waiting).len()).sum();
        let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS);
        println!("{stages} stages of {flows} flows: {micros:.1} µs ({calls} ordered)");
    }
}
