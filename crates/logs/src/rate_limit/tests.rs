use std::time::Duration;

use proptest::prelude::*;
use tokio::time::sleep;

use super::RateLimits;
use crate::kind::Kind;

#[tokio::test(start_paused = true)]
async fn lines_above_the_limit_are_counted_as_left_out() {
    let limits = RateLimits::new();
    let limit = Kind::Failed.max_per_second();
    let written = (0..limit * 10)
        .filter(|_| limits.try_acquire(Kind::Failed))
        .count();
    assert_eq!(written, limit as usize);
    assert!(
        limits.try_acquire(Kind::Served),
        "other kinds have their own limit"
    );
    assert_eq!(
        limits.take_left_out(),
        [(Kind::Failed, u64::from(limit) * 9)]
    );
    assert_eq!(limits.take_left_out(), []);
    sleep(Duration::from_secs(1)).await;
    assert!(limits.try_acquire(Kind::Failed));
}

#[test]
fn kind_discriminants_match_their_index() {
    for (at, kind) in Kind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, at);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn written_and_left_out_lines_add_up(lines in proptest::collection::vec(0..25_usize, 0..600)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        runtime.block_on(async {
            let limits = RateLimits::new();
            let written = lines.iter().filter(|at| limits.try_acquire(Kind::ALL[**at])).count();
            let left_out: u64 = limits.take_left_out().iter().map(|(_, count)| count).sum();
            assert_eq!(written as u64 + left_out, lines.len() as u64);
            assert_eq!(limits.total_left_out(), left_out);
        });
    }
}
