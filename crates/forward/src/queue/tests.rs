//! Loads and faults that a queue meets, without a network.

use std::{sync::Arc, time::Duration};

use declaration::{Batch, Capacity};
use tokio::time::{Instant, sleep};

use super::{Bound, Queue, SHED_INTERVAL};
use crate::{
    batch_outcome::{BatchOutcome, ItemFailure},
    fleet::{Fleet, Pool, ReachableZones},
    messages::{StageFailure, Submission},
    testing::{mirror, view},
};

/// Room of one endpoint, in bytes.
const ROOM: u64 = 1_000_000;

/// Endpoints with their availability zones.
fn pool(endpoints: &[(&str, &str)]) -> Arc<Pool> {
    let fleet = Fleet::default();
    let views = endpoints.iter().map(|(name, az)| view(name, "ice", az));
    fleet.update(&mirror(views), |_| None);
    fleet.pool("ice").unwrap()
}

fn queue() -> Queue {
    let mut queue = Queue::new(None);
    queue.set_capacity(&Capacity {
        slots: Some(1),
        batch: Some(Batch {
            items: 4,
            call: Duration::from_millis(200),
            item: Duration::from_millis(20),
            room_bytes: ROOM,
            keep: Duration::from_secs(4),
        }),
        ..Capacity::default()
    });
    queue
}

fn submission() -> Submission {
    Submission {
        request: "r1".to_owned(),
        service: "ice".to_owned(),
        stage: 0,
        items: 1,
        key: None,
        inputs: Vec::new(),
        result_bytes: ROOM,
        crossing_bytes: 0,
        remaining: Duration::from_secs(20),
        urgency: 0,
        due_ms: 1_000,
        az: "a".to_owned(),
    }
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_without_room_is_left_alone_for_longer_each_time() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let accepted = queue.enqueue(submission(), &pool, &reachable, Instant::now());
    accepted.unwrap();
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let start = Instant::now();
        let next = loop {
            match queue.next_call(&pool, &reachable, Instant::now()) {
                Some(next) => break next,
                None => sleep(Duration::from_millis(10)).await,
            }
        };
        pauses.push(start.elapsed().as_millis());
        let outcome = BatchOutcome::Answered(vec![Err(ItemFailure::NoCapacity)]);
        queue.record_outcome(&next, next.expected, &outcome, Instant::now());
        queue.record_no_capacity("i-1", ROOM, Instant::now());
        queue.requeue(next.jobs[0].clone());
    }
    assert_eq!(pauses, [0, 240, 480, 960, 960]);
}

/// A pool whose endpoints keep results of others: a result much smaller than the free_bytes does not
/// find out call by call how much is chosen.
#[tokio::test(start_paused = true)]
async fn an_endpoint_without_room_for_a_small_result_is_not_asked_again_at_once() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let small = Submission {
        result_bytes: ROOM / 100,
        ..submission()
    };
    queue
        .enqueue(small, &pool, &reachable, Instant::now())
        .unwrap();
    let next = queue.next_call(&pool, &reachable, Instant::now()).unwrap();
    let outcome = BatchOutcome::Answered(vec![Err(ItemFailure::NoCapacity)]);
    queue.record_outcome(&next, next.expected, &outcome, Instant::now());
    queue.record_no_capacity("i-1", ROOM / 100, Instant::now());
    queue.requeue(next.jobs[0].clone());
    let again = queue.next_call(&pool, &reachable, Instant::now());
    assert!(again.is_none());
}

/// How long an item of zone a with `crossing_bytes` that is due in `due_ms` waits while the
/// only endpoint there is busy and one of zone b is free.
async fn waits_ms(crossing_bytes: u64, due_ms: i64) -> u128 {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a"), ("i-2", "b")]));
    let reachable = ReachableZones::default();
    let items = |crossing_bytes, due_ms| Submission {
        crossing_bytes,
        due_ms,
        result_bytes: 1,
        ..submission()
    };
    let first = items(u64::MAX / 2, 1_000);
    queue
        .enqueue(first, &pool, &reachable, Instant::now())
        .unwrap();
    let busy = queue.next_call(&pool, &reachable, Instant::now()).unwrap();
    assert_eq!(busy.target.name, "i-1");
    let second = items(crossing_bytes, due_ms);
    queue
        .enqueue(second, &pool, &reachable, Instant::now())
        .unwrap();
    let start = Instant::now();
    while queue.next_call(&pool, &reachable, Instant::now()).is_none() {
        sleep(Duration::from_millis(10)).await;
    }
    start.elapsed().as_millis()
}

#[tokio::test(start_paused = true)]
async fn items_wait_for_their_zone_by_their_bytes_while_they_have_time() {
    // A call of four items takes 280 ms.
    assert_eq!(waits_ms(3_000_000, 1_000).await, 280);
    assert_eq!(waits_ms(1_000_000, 1_000).await, 140);
    assert_eq!(waits_ms(3_000_000, 400).await, 120, "no more is to spare");
    assert_eq!(waits_ms(0, 1_000).await, 0);
}

/// Items with small results, of an urgency and with a time left.
fn items(items: u32, urgency: u8, left_ms: u64) -> Submission {
    Submission {
        items,
        urgency,
        remaining: Duration::from_millis(left_ms),
        result_bytes: 1,
        ..submission()
    }
}

/// A burst of an urgent class over a pool that a less urgent one shares: the less urgent requests
/// that it puts back beyond their time hear so at once, with time left to be served elsewhere.
#[tokio::test(start_paused = true)]
async fn what_a_more_urgent_burst_puts_back_beyond_its_time_is_refused_at_once() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let now = Instant::now();
    let mut take = |s| queue.enqueue(s, &pool, &reachable, now).unwrap();
    // A call of four items takes 280 ms. Three calls' worth fit before this one's time is over.
    let plain = take(items(4, 2, 1_200));
    let urgent: Vec<_> = (0..6).map(|_| take(items(4, 0, 5_000))).collect();
    let first = queue.next_call(&pool, &reachable, now).unwrap();
    assert_eq!(first.jobs[0].ticket.id, urgent[0].id);
    assert!(plain.is_closed());
    assert!(urgent.iter().all(|ticket| !ticket.is_closed()));
    let failure = plain.finished().await.unwrap_err();
    assert!(matches!(failure, StageFailure::Crowded { .. }), "{failure}");
}

/// The same load where the less urgent stage has begun: its results are there already.
#[tokio::test(start_paused = true)]
async fn a_stage_that_has_begun_is_not_refused_for_a_burst_behind_it() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a"), ("i-2", "a")]));
    let reachable = ReachableZones::default();
    let now = Instant::now();
    let plain = queue.enqueue(items(8, 2, 1_200), &pool, &reachable, now);
    let plain = plain.unwrap();
    queue.next_call(&pool, &reachable, now).unwrap();
    for _ in 0..12 {
        let urgent = items(4, 0, 5_000);
        queue.enqueue(urgent, &pool, &reachable, now).unwrap();
    }
    // The queue looks again for what can't be in time.
    sleep(2 * SHED_INTERVAL).await;
    queue.next_call(&pool, &reachable, Instant::now()).unwrap();
    assert!(!plain.is_closed());
}

/// The items of a call of `submission`'s own.
fn other_job(pool: &Pool, submission: Submission) -> Vec<super::Job> {
    let (mut queue, reachable, now) = (queue(), ReachableZones::default(), Instant::now());
    queue.enqueue(submission, pool, &reachable, now).unwrap();
    queue.next_call(pool, &reachable, now).unwrap().jobs
}

/// An endpoint repeats an answer, late, on a connection in use again: no item gets the results of
/// another one.
#[tokio::test(start_paused = true)]
async fn a_late_copy_of_an_answer_is_known_by_its_results() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let small = Submission {
        result_bytes: 1,
        ..submission()
    };
    queue
        .enqueue(small, &pool, &reachable, Instant::now())
        .unwrap();
    let next = queue.next_call(&pool, &reachable, Instant::now()).unwrap();
    let results = |handles: &[&str]| -> Vec<Result<String, ItemFailure>> {
        handles.iter().map(|h| Ok((*h).to_owned())).collect()
    };
    let first = results(&["h-1"]);
    let other = Submission {
        request: "r2".to_owned(),
        ..items(1, 0, 20_000)
    };
    let other = other_job(&pool, other);
    assert!(!queue.is_stale_copy(&other, &first));
    let outcome = BatchOutcome::Answered(first.clone());
    queue.record_outcome(&next, next.expected, &outcome, Instant::now());
    assert!(queue.is_stale_copy(&other, &first));
    // The same item, made once more, may have the same name.
    assert!(!queue.is_stale_copy(&next.jobs, &first));
    // Also once its results are given up, for as long as they could have been kept.
    queue.release("h-1");
    assert!(queue.is_stale_copy(&other, &first));
    assert!(!queue.is_stale_copy(&other, &results(&["h-2"])));
    assert!(!queue.is_stale_copy(&other, &[Err(ItemFailure::NoCapacity)]));
    sleep(Duration::from_secs(5)).await;
    queue.next_call(&pool, &reachable, Instant::now());
    assert!(!queue.is_stale_copy(&other, &first));
}

#[tokio::test(start_paused = true)]
async fn a_call_says_what_keeps_it_from_holding_more() {
    let pool = pool(&[("i-1", "a")]);
    let reachable = ReachableZones::default();
    let bound = |items, result_bytes| {
        let mut queue = queue();
        let submission = Submission {
            items,
            result_bytes,
            ..submission()
        };
        queue
            .enqueue(submission, &pool, &reachable, Instant::now())
            .unwrap();
        queue
            .next_call(&pool, &reachable, Instant::now())
            .unwrap()
            .bound
    };
    assert_eq!(bound(2, 1), Bound::Items);
    assert_eq!(bound(9, 1), Bound::Batch);
    assert_eq!(bound(9, ROOM / 2), Bound::Room);
}

/// Ends `next` with a result for each item but the last `capacity_misses` ones.
fn end(queue: &mut Queue, next: &super::NextCall, capacity_misses: usize, took: Duration) {
    let made = next.jobs.len() - capacity_misses;
    let handle = || format!("h-{}", rand::random::<u64>());
    let results = (0..next.jobs.len()).map(|n| match n < made {
        true => Ok(handle()),
        false => Err(ItemFailure::NoCapacity),
    });
    let outcome = BatchOutcome::Answered(results.collect());
    queue.record_outcome(next, took, &outcome, Instant::now());
}

/// Inputs are given up early only where the call is as good as made: nothing is known of a new
/// endpoint, one that takes longer has other calls before ours, and a pool that runs out of free_bytes
/// sends items back.
#[tokio::test(start_paused = true)]
async fn inputs_of_a_call_are_given_up_early_only_where_it_is_likely_to_give_all_results() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let mut starts_at_once = |capacity_misses, delay| {
        queue
            .enqueue(items(4, 0, 60_000), &pool, &reachable, Instant::now())
            .unwrap();
        let next = queue.next_call(&pool, &reachable, Instant::now()).unwrap();
        // A call of four items takes 280 ms.
        end(
            &mut queue,
            &next,
            capacity_misses,
            Duration::from_millis(280) + delay,
        );
        next.starts_at_once
    };
    let (on_time, late) = (Duration::ZERO, Duration::from_millis(200));
    assert!(!starts_at_once(0, on_time), "a new endpoint");
    assert!(starts_at_once(0, on_time));
    assert!(starts_at_once(0, late));
    assert!(!starts_at_once(0, on_time), "its last call waited there");
    assert!(starts_at_once(0, on_time));
    assert!(starts_at_once(1, on_time));
    assert!(!starts_at_once(0, on_time), "its pool runs out of space");
}

/// A planned stop of the gate that collects, in a burst: what waits is done by the next gate, what has
/// begun ends here.
#[tokio::test(start_paused = true)]
async fn a_gate_that_goes_down_hands_over_what_it_has_not_begun() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let now = Instant::now();
    let mut take = || {
        queue
            .enqueue(items(4, 0, 60_000), &pool, &reachable, now)
            .unwrap()
    };
    let (first, second) = (take(), take());
    let next = queue.next_call(&pool, &reachable, now).unwrap();
    queue.hand_over();
    assert_eq!(second.finished().await, Err(StageFailure::Moved));
    assert!(!first.is_closed() && queue.is_empty());
    // An item of the first one that comes back is still done here.
    queue.requeue(next.jobs[0].clone());
    queue.hand_over();
    assert_eq!(queue.waiting(), 1);
}
