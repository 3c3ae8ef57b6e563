//! Benchmarks of a group of keepers; the first argument selects one: `followers`, `relays`, `idle`,
//! `intents`, `departures`, `ledger`, `workspaces` or `routes`.
//!
//! Three keepers run as tasks of this process. Each has its own folder and syncs it as in
//! production; followers and gates reach them over loopback links.

mod departures;
mod distribution;
mod group;
mod intents;
mod memory;
mod routes;

use std::time::Duration;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const USAGE: &str = "usage: measure followers N WORKSPACES CHANGES | relays N WORKSPACES CHANGES | idle N SECONDS | \
                     intents TASKS SECONDS yes|no | departures N | ledger KEYS | workspaces N | routes N";

#[tokio::main]
async fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize| -> usize { args.get(i).and_then(|a| a.parse().ok()).expect(USAGE) };
    match args.first().map(String::as_str) {
        Some("followers") => distribution::changes(number(1), number(2), number(3), false).await,
        Some("relays") => distribution::changes(number(1), number(2), number(3), true).await,
        Some("idle") => distribution::idle(number(1), seconds(number(2))).await,
        Some("intents") => {
            let group_commit = args.get(3).map(String::as_str) == Some("yes");
            intents::run(number(1), seconds(number(2)), group_commit).await;
        }
        Some("departures") => departures::run(number(1)).await,
        Some("ledger") => memory::ledger(number(1)),
        Some("routes") => routes::changes(number(1)),
        Some("workspaces") => memory::workspaces(number(1)),
        _ => panic!("{USAGE}"),
    }
}

fn seconds(n: usize) -> Duration {
    Duration::from_secs(n as u64)
}
