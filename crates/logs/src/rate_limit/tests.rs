use std::time::Duration;

use proptest::prelude::*;
use tokio::time::sleep;

use super::RateLimits;
use crate::kind::Kind;

#[tokio::test(start_paused = true)]
async fn a_second_has_its_lines_and_the_rest_is_counted() {
    let limits = RateLimits::new();
    let most = Kind::Failed.max_per_second();
    let written = (0..most * 10)
        .filter(|_| limits.try_acquire(Kind::Failed))
        .count();
    assert_eq!(written, most as usize);
    assert!(
        limits.try_acquire(Kind::Served),
        "other kinds have their own"
    );
    assert_eq!(
        limits.take_left_out(),
        [(Kind::Failed, u64::from(most) * 9)]
    );
    assert_eq!(limits.take_left_out(), []);
    sleep(Duration::from_secs(1)).await;
    assert!(limits.try_acquire(Kind::Failed));
}

#[test]
fn every_kind_has_its_own_account() {
    for (at, kind) in Kind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, at);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_and_what_is_left_out_is_all(lines in proptest::collection::vec(0..25_usize, 0..600)) {
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
