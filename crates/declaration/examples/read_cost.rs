//! Measures the time to parse and validate a declaration from text, and from a parsed document, by
//! the number of workspaces.
//!
//! `cargo run --release -p declaration --example read_cost`

use std::{fmt::Write as _, time::Instant};

use declaration::{Declaration, Document};

const ROUNDS: usize = 11;
const SERVICES: usize = 23;
const PIPELINES: usize = 11;
const AVAILABILITY_ZONES: usize = 12;

fn main() {
    for workspaces in [830, 2_490, 8_300, 24_900] {
        let text = document(workspaces);
        let read = median_us(|| {
            let declared = Declaration::read("x.ini", text.as_bytes());
            assert_eq!(declared.map(|d| d.workspaces.len()), Ok(workspaces));
        });
        let parsed = Document::read("x.ini", text.as_bytes()).expect("the document is valid");
        let check = median_us(|| {
            let declared = Declaration::from_document(&parsed);
            assert_eq!(declared.map(|d| d.workspaces.len()), Ok(workspaces));
        });
        let bytes = text.len();
        println!(
            "workspaces {workspaces:>6}  bytes {bytes:>8}  read {read:>7} us  check {check:>7} us"
        );
    }
}

fn median_us(work: impl Fn()) -> u128 {
    let mut times: Vec<u128> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            work();
            start.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn document(workspaces: usize) -> String {
    let mut out = String::new();
    for az in 0..AVAILABILITY_ZONES {
        let _ = writeln!(out, "[availability-zone az-{az}]\nregion = r-{}", az % 3);
    }
    for service in 0..SERVICES {
        let _ = writeln!(
            out,
            "[service s-{service}]\nkind = engine\nrepeatable = yes\nmodel = m-{service}\nversion = 1"
        );
    }
    for pipeline in 0..PIPELINES {
        let _ = writeln!(
            out,
            "[pipeline p-{pipeline}]\nstages = s-{pipeline}, s-{}, s-{}",
            pipeline + 1,
            pipeline + 2
        );
    }
    for workspace in 0..workspaces {
        let _ = writeln!(
            out,
            "[workspace w-{workspace}]\npriority = {}\npipelines = p-{}, p-{}\n\
             availability_zones = az-{}, az-{}\nmax_in_flight = 200",
            workspace % 10,
            workspace % PIPELINES,
            (workspace + 1) % PIPELINES,
            workspace % AVAILABILITY_ZONES,
            (workspace + 5) % AVAILABILITY_ZONES
        );
    }
    out
}
