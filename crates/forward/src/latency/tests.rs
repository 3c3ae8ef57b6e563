use tokio::time::{Duration, Instant};

use super::Slowness;

#[test]
fn slowness_rises_and_decays() {
    let mut slow = Slowness::new();
    let now = Instant::now();
    for _ in 0..5 {
        slow.observe(100.0, 500.0, now);
    }
    assert!(slow.factor(now) > 3.0);
    assert!(slow.factor(now + Duration::from_secs(30)) < 1.1);
}
