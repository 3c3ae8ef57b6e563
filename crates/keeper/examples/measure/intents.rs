//! Throughput of intents and settlements through three keepers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use link::{
    keeper::{Intent, IntentReply, KeeperReply, KeeperRequest, Output, Settle, Settlement},
    keepers::Keepers,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::group::Group;

/// Sets of links that the tasks share, as that many gates would have.
const GATES: usize = 8;
const LIMIT: Duration = Duration::from_secs(10);

/// Runs `tasks` concurrent bookings for `time`.
pub async fn run(tasks: usize, time: Duration, group_commit: bool) {
    let group = Group::start(group_commit).await;
    sleep(Duration::from_secs(2)).await;
    let gates: Vec<Arc<Keepers>> = (0..GATES)
        .map(|i| Arc::new(Keepers::new(group.peers(i))))
        .collect();
    let granted = Arc::new(AtomicU64::new(0));
    let mut running = JoinSet::new();
    let start = Instant::now();
    for i in 0..tasks {
        let (keepers, granted) = (Arc::clone(&gates[i % GATES]), Arc::clone(&granted));
        running.spawn(async move {
            let mut times = Vec::new();
            while start.elapsed() < time {
                let started_at = Instant::now();
                book(&keepers).await;
                times.push(started_at.elapsed() / 2);
                granted.fetch_add(1, Ordering::Relaxed);
            }
            times
        });
    }
    let mut times = running.join_all().await.concat();
    let elapsed = start.elapsed().as_secs_f64();
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let n = granted.load(Ordering::Relaxed) as f64;
    println!("tasks {tasks} group_commit {group_commit}");
    println!(
        "intents a second: {:.0}, entries a second: {:.0}",
        n / elapsed,
        2.0 * n / elapsed
    );
    println!(
        "time of one entry: p50 {:?} p99 {:?}",
        quantile(0.5),
        quantile(0.99)
    );
}

async fn book(keepers: &Keepers) {
    let (key, attempt) = (Uuid::now_v7(), Uuid::new_v4());
    let intent = KeeperRequest::Intent(Intent {
        key,
        digest: vec![1; 32],
        gate: "sousse-a-1".to_owned(),
        incarnation: attempt,
        attempt,
        service: "ledger-desk".to_owned(),
        endpoint: "ledger-desk-1".to_owned(),
        expires: Duration::from_secs(10),
    });
    match keepers.request(&intent, LIMIT).await {
        Ok(KeeperReply::Intent(IntentReply::Granted)) => {}
        other => panic!("{other:?}"),
    }
    let settle = KeeperRequest::Settle(Settle {
        key,
        attempt,
        settlement: Settlement::Completed(Output::Whole(vec![b'x'; 100])),
    });
    match keepers.request(&settle, LIMIT).await {
        Ok(KeeperReply::Settled) => {}
        other => panic!("{other:?}"),
    }
}
