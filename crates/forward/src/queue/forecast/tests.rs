use std::time::Duration;

use tokio::time::Instant;

use crate::{
    fleet::ReachableZones,
    messages::{StageRequest, Submission},
    queue::tests::{items, pool, queue},
};

/// The items of `request`, of which none is more urgent than another.
fn stage(request: usize, count: u32, left_ms: u64) -> Submission {
    Submission {
        request: format!("r{request}"),
        result_bytes: 1,
        ..items(count, 0, left_ms)
    }
}

/// Guards against gates that all learn of the same free capacity while requests of the others are
/// still in an earlier stage, and against announcements that count after their items have arrived.
#[tokio::test(start_paused = true)]
async fn announced_items_count_until_they_are_submitted() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let (reachable, now) = (ReachableZones::default(), Instant::now());
    let in_400 = Duration::from_millis(400);
    // A call of four items takes 280 ms; half of one counts for a call in flight. Four fit.
    let (full_ms, left_ms) = (280, 4 * 280 + 140);
    let mut forecast = |n, left_ms| {
        let stage = Submission {
            due_ms: 1_000 + n as i64,
            ..stage(n, 4, left_ms)
        };
        let forecast = queue.forecast(stage, in_400, &pool, &reachable, now);
        forecast.unwrap()
    };
    let told: Vec<bool> = (0..6).map(|n| forecast(n, left_ms).is_in_time).collect();
    assert_eq!(told, [true, true, true, true, false, false]);
    // A request that asks again does not wait for itself.
    assert!(forecast(3, left_ms).is_in_time);
    // What is announced does not refuse items that have arrived.
    let ticket = queue.enqueue(stage(9, 4, full_ms), &pool, &reachable, now);
    queue.remove_stage(&ticket.unwrap());
    for n in 0..4 {
        let submitted = stage(n, 4, 20_000);
        let ticket = queue.enqueue(submitted, &pool, &reachable, now).unwrap();
        queue.remove_stage(&ticket);
    }
    let after = queue.forecast(stage(7, 4, 20_000), in_400, &pool, &reachable, now);
    assert_eq!(after.unwrap().wait, Duration::ZERO);
}

/// Guards against submissions of gates of earlier versions, which lack the field, that can't be read.
#[test]
fn submissions_without_the_newest_field_are_read() {
    for wants_wait in [false, true] {
        let stage = Submission {
            wants_wait,
            ..stage(1, 4, 1_000)
        };
        let request = StageRequest::Submit(stage);
        let encoded = link::encode(&request);
        let decoded: StageRequest = link::decode(&encoded).unwrap();
        assert_eq!(decoded, request);
        let field = [0x61, b'w', 0xf5];
        let has_field = encoded.windows(field.len()).any(|bytes| bytes == field);
        assert_eq!(has_field, wants_wait, "its CBOR key and value");
    }
}
