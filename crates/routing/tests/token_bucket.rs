//! Token buckets under arbitrary sequences of waits and takes.

use std::time::Duration;

use proptest::prelude::*;
use routing::TokenBucket;
use tokio::time::Instant;

proptest! {
    /// Whatever the sequence, no more is taken than accrues in the time, and a burst at most.
    #[test]
    fn no_more_is_taken_than_accrues(
        steps in prop::collection::vec((0_u64..3_000, 1_u32..5), 1..60),
        per_second in 0.1_f64..50.0,
        burst in 1.0_f64..5.0,
    ) {
        let start = Instant::now();
        let mut bucket = TokenBucket::empty(start);
        let mut now = start;
        let mut taken = Vec::new();
        for (wait_ms, wanted) in steps {
            now += Duration::from_millis(wait_ms);
            bucket.refill(per_second, burst, now);
            taken.push((now, bucket.take(wanted)));
        }
        let in_all: u32 = taken.iter().map(|(_, n)| n).sum();
        let accrued = per_second * (now - start).as_secs_f64();
        prop_assert!(f64::from(in_all) <= accrued + 1e-6);
        for (index, (from, _)) in taken.iter().enumerate() {
            let mut since = 0;
            for (at, n) in &taken[index..] {
                since += n;
                let most = burst + per_second * (*at - *from).as_secs_f64();
                prop_assert!(f64::from(since) <= most + 1e-6);
            }
        }
    }

    /// A caller that waits as told gets its token.
    #[test]
    fn a_token_is_there_when_it_was_announced(
        per_second in 0.01_f64..1_000.0,
        wait_ms in 0_u64..100,
    ) {
        let start = Instant::now();
        let mut bucket = TokenBucket::empty(start);
        let now = start + Duration::from_millis(wait_ms);
        bucket.refill(per_second, 1.0, now);
        let wait = bucket.time_to_token(per_second).unwrap();
        let later = now + wait + Duration::from_micros(1);
        bucket.refill(per_second, 1.0, later);
        prop_assert_eq!(bucket.take(1), 1);
    }
}

#[test]
fn without_a_rate_there_is_never_a_token() {
    let now = Instant::now();
    let mut bucket = TokenBucket::empty(now);
    assert_eq!(bucket.time_to_token(0.0), None);
    bucket.refill(0.0, 1.0, now + Duration::from_hours(1));
    assert_eq!(bucket.take(1), 0);
}
