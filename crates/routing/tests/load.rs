//! What load reports and cached prompts count for in a choice.

mod common;

use common::{AZ, announcement, answered, need, router, spread, table};
use routing::Need;

#[tokio::test(start_paused = true)]
async fn a_cached_prefix_does_not_outweigh_a_long_queue() {
    let table = table(2);
    let router = router(&table);
    let prompt = vec![b'x'; 1_024];
    let asked = Need {
        prompt: Some(&prompt),
        ..need()
    };
    router.pick(&asked).unwrap().finish(answered(10));
    let picks: Vec<_> = (0..40).map(|_| router.pick(&asked).unwrap()).collect();
    let most = picks.iter().filter(|p| p.cached_share() > 0.5).count();
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
