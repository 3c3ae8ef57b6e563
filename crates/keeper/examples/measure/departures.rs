//! Departures of endpoints through three keepers: time to the acknowledgement, and bytes on disk.

use std::{fs, path::Path, sync::Arc, time::Duration};

use keeper::{Departures, Entry, Stamp, State};
use link::{
    encode,
    keeper::{Departure, KeeperReply, KeeperRequest},
    keepers::Keepers,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::group::{Group, cpu_seconds, resident_bytes};

const LIMIT: Duration = Duration::from_secs(10);
/// Departures at once, as in a rollout.
const BURST: usize = 60;

fn departure(n: usize) -> Departure {
    Departure {
        endpoint: format!("appraise-llm-{n:05}"),
        incarnation: Uuid::now_v7(),
    }
}

async fn depart(keepers: &Keepers, n: usize) -> Duration {
    let started_at = Instant::now();
    let req = KeeperRequest::Depart(vec![departure(n)]);
    match keepers.request(&req, LIMIT).await {
        Ok(KeeperReply::Departed) => started_at.elapsed(),
        other => panic!("{other:?}"),
    }
}

/// Records `n` departures one after the other, then [`BURST`] at once.
pub async fn run(n: usize) {
    let group = Group::start(true).await;
    let keepers = Arc::new(Keepers::new(group.peers(0)));
    sleep(Duration::from_secs(2)).await;
    let (cpu, resident) = (cpu_seconds(), resident_bytes());
    let disk = folder_bytes(group.folder());
    let mut times = Vec::new();
    for i in 0..n {
        times.push(depart(&keepers, i).await);
    }
    print_times("in series", &mut times);
    println!(
        "processor time of the three keepers and the client: {:.0} us a departure",
        (cpu_seconds() - cpu) * 1e6 / n as f64
    );
    println!(
        "all three keepers: {} B resident, {} B on disk a departure",
        resident_bytes().saturating_sub(resident) / n as u64,
        folder_bytes(group.folder()).saturating_sub(disk) / n as u64
    );
    let mut running = JoinSet::new();
    for i in 0..BURST {
        let keepers = Arc::clone(&keepers);
        running.spawn(async move { depart(&keepers, n + i).await });
    }
    print_times("at once", &mut running.join_all().await);
    print_sizes(n);
}

fn print_times(what: &str, times: &mut [Duration]) {
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{} departures {what}: acknowledged after p50 {:?} p99 {:?}, most {:?}",
        times.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

/// Prints the sizes of `n` departures in a log entry each, in a snapshot and in a reply to a gate.
fn print_sizes(n: usize) {
    let stamp = Stamp {
        now_ms: 1_796_000_000_000,
        retention_ms: 86_400_000,
        skew_ms: 60_000,
        grace_ms: 60_000,
        max_keys: 2_000_000,
        max_total_output_bytes: 256 << 20,
        max_history_bytes: 64 << 20,
    };
    let command = keeper::Command::Depart(vec![departure(0)]);
    let entry = encode(&Entry { stamp, command });
    let mut state = State::default();
    let empty = state.snapshot().len();
    let mut departures = Departures::default();
    let started_at = Instant::now();
    for i in 0..n {
        departures.record(stamp.now_ms, &departure(i));
    }
    let recorded = started_at.elapsed();
    state.departures = departures;
    let started_at = Instant::now();
    let snapshot = state.snapshot().len() - empty;
    let encoded = started_at.elapsed();
    let reply = KeeperReply::Departures {
        version: 1,
        departures: vec![departure(0)],
    };
    println!(
        "entry {} B, snapshot {} B a departure, reply to a gate {} B",
        entry.len(),
        snapshot / n,
        encode(&reply).len()
    );
    println!("{n} recorded in {recorded:?}, snapshot encoded in {encoded:?}");
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).unwrap().map(Result::unwrap);
    let sizes = entries.map(|entry| match entry.file_type().unwrap().is_dir() {
        true => folder_bytes(&entry.path()),
        false => entry.metadata().unwrap().len(),
    });
    sizes.sum()
}
