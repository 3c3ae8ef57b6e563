//! What load reports and cached prompts count for in a choice.

mod common;

use common::{AZ, announcement, drawn_by_cache, router, spread, table};

#[tokio::test(start_paused = true)]
async fn a_cached_prefix_does_not_outweigh_a_long_queue() {
    let most = drawn_by_cache(2, 40);
    assert!((20..=24).contains(&most), "{most}");
}

#[tokio::test(start_paused = true)]
async fn calls_begun_since_a_load_report_add_to_it() {
    let table = table(2);
    for (endpoint, running) in [("e0000", 4), ("e0001", 6)] {
        let mut busy = announcement(endpoint, AZ, 2);
        busy.load.running = running;
        table.announce(busy).unwrap();
    }
    let got = spread(&router(&table), 6);
    assert_eq!(got.get("e0000"), Some(&4), "{got:?}");
    assert_eq!(got.get("e0001"), Some(&2), "{got:?}");
}
