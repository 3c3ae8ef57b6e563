use std::{collections::HashMap, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    batch_outcome::BatchOutcome,
    fleet::ReachableZones,
    messages::{StageRequest, Submission},
    queue::{
        NextCall,
        tests::{items, pool, queue},
    },
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
    // A call of four items takes 280 ms; half of one counts for a call in flight, and 5 % are a
    // margin. Four fit.
    let (full_ms, left_ms) = (280, 4 * 280 + 140 + 50);
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

/// Requests of a burst by their end.
#[derive(Debug, Default)]
struct Ends {
    served: usize,
    refused_first: usize,
    wasted: usize,
}

/// Sends requests of two stages to two pools of `endpoints` for six seconds, 2.3 times as many as the
/// second pool can serve, each with three seconds. With `asks`, those start that the second pool expects.
async fn burst(endpoints: [usize; 2], asks: bool) -> Ends {
    const TICK: Duration = Duration::from_millis(10);
    const LIMIT: Duration = Duration::from_secs(3);
    const CALL: Duration = Duration::from_millis(280);
    let names: Vec<String> = (0..16).map(|n| format!("i-{n}")).collect();
    let pools = endpoints.map(|count| {
        let names = names[..count].iter();
        pool(&names.map(|name| (name.as_str(), "a")).collect::<Vec<_>>())
    });
    let (mut queues, reachable) = ([queue(), queue()], ReachableZones::default());
    let (mut ends, start) = (Ends::default(), Instant::now());
    let (mut calls, mut starts): (Vec<_>, Vec<Instant>) = (Vec::new(), Vec::new());
    let mut done: HashMap<(usize, usize), u32> = HashMap::new();
    let per_second = 2.3 * endpoints[1] as f64 / CALL.as_secs_f64();
    while start.elapsed() < Duration::from_secs(12) {
        let now = Instant::now();
        let mut submitted = Vec::new();
        let sent = (start.elapsed().as_secs_f64().min(6.0) * per_second) as usize;
        while starts.len() < sent {
            submitted.push((starts.len(), 0));
            starts.push(now);
        }
        calls.retain(|(at, pool, next): &(Instant, usize, NextCall)| {
            if *at > now {
                return true;
            }
            queues[*pool].record_outcome(next, CALL, &BatchOutcome::NotRun, now);
            for job in next.jobs.iter().filter(|job| !job.ticket.is_closed()) {
                let request: usize = job.ticket.submission.request[1..].parse().unwrap();
                let items = done.entry((request, *pool)).or_default();
                *items += 1;
                match (*items, *pool) {
                    (4, 0) => submitted.push((request, 1)),
                    (4, _) => ends.served += usize::from(now <= starts[request] + LIMIT),
                    _ => {}
                }
            }
            false
        });
        for (request, pool) in submitted {
            let left = (starts[request] + LIMIT).saturating_duration_since(now);
            let left = left.saturating_sub(CALL * (1 - pool as u32));
            let stage = Submission {
                due_ms: left.as_millis() as i64,
                ..stage(request, 4, left.as_millis() as u64)
            };
            if pool == 0 && asks {
                let second = Submission {
                    remaining: left + CALL,
                    due_ms: stage.due_ms + CALL.as_millis() as i64,
                    ..stage.clone()
                };
                let forecast = queues[1].forecast(second, CALL, &pools[1], &reachable, now);
                if !forecast.unwrap().is_in_time {
                    ends.refused_first += 1;
                    continue;
                }
            }
            let accepted = queues[pool].enqueue(stage, &pools[pool], &reachable, now);
            ends.refused_first += usize::from(accepted.is_err() && pool == 0);
        }
        for pool in [0, 1] {
            while let Some(next) = queues[pool].next_call(&pools[pool], &reachable, now) {
                calls.push((now + CALL, pool, next));
            }
        }
        sleep(TICK).await;
    }
    ends.wasted = starts.len() - ends.served - ends.refused_first;
    ends
}

/// Guards against work of a first pool for requests that a full second one refuses, and against
/// forecasts that leave the second pool without work.
#[tokio::test(start_paused = true)]
async fn forecasts_save_the_work_of_the_first_pool_in_a_burst() {
    for endpoints in [[12, 4], [6, 2], [16, 5]] {
        let (before, after) = (burst(endpoints, false).await, burst(endpoints, true).await);
        assert!(after.wasted * 4 <= before.wasted, "{before:?}, {after:?}");
        // The last call of a burst may hold one request more or less.
        assert!(after.served + 1 >= before.served, "{before:?}, {after:?}");
    }
}
