//! Tests of the influence of load reports and cached prompts on picks.

mod common;

use common::{AZ, announcement, pick_counts, picks_of_cached_endpoint, router, table};

#[tokio::test(start_paused = true)]
async fn cached_prefix_does_not_outweigh_a_long_queue() {
    let count = picks_of_cached_endpoint(2, 40);
    assert!((20..=24).contains(&count), "{count}");
}

#[tokio::test(start_paused = true)]
async fn calls_started_after_a_load_report_add_to_it() {
    let table = table(2);
    for (endpoint, running) in [("e0000", 4), ("e0001", 6)] {
        let mut busy = announcement(endpoint, AZ, 2);
        busy.load.running = running;
        table.announce(busy).unwrap();
    }
    let counts = pick_counts(&router(&table), 6);
    assert_eq!(counts.get("e0000"), Some(&4), "{counts:?}");
    assert_eq!(counts.get("e0001"), Some(&2), "{counts:?}");
}
