use tokio::time::{Duration, Instant};

use super::{Fit, Line, Slowness};

const GUESS: Line = Line {
    base_ms: 50.0,
    slope_ms: 0.02,
};

#[test]
fn a_line_is_found_again() {
    let mut fit = Fit::new(GUESS);
    assert_eq!(fit.line(), GUESS);
    let now = Instant::now();
    for n in 0..20_u32 {
        let amount = f64::from(n * 500);
        fit.observe(amount, 80.0 + amount * 0.013, now);
    }
    let line = fit.line();
    assert!((line.base_ms - 80.0).abs() < 0.1, "{line:?}");
    assert!((line.slope_ms - 0.013).abs() < 1e-4, "{line:?}");
}

#[test]
fn slowness_is_seen_and_forgotten() {
    let mut slow = Slowness::new();
    let now = Instant::now();
    for _ in 0..5 {
        slow.observe(100.0, 500.0, now);
    }
    assert!(slow.factor(now) > 3.0);
    assert!(slow.factor(now + Duration::from_secs(30)) < 1.1);
}
