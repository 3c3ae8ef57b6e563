//! Tests of a queue under load and with faulty endpoints, without a network.

use std::{sync::Arc, time::Duration};

use declaration::{BatchCapacity, Capacity};
use routing::{RetryBudget, RetryBudgetConfig};
use tokio::time::{Instant, sleep};

use super::{Bound, NextCall, NextStep, Queue, SHED_INTERVAL};
use crate::{
    batch_outcome::{BatchOutcome, ItemFailure},
    fleet::{Fleet, Pool, ReachableZones},
    messages::{StageFailure, Submission},
    testing::{mirror, view},
};

/// Space for results at one endpoint, in bytes.
const SPACE_BYTES: u64 = 1_000_000;

/// Creates a pool from endpoint names and availability zones.
pub(super) fn pool(endpoints: &[(&str, &str)]) -> Arc<Pool> {
    let fleet = Fleet::default();
    let views = endpoints.iter().map(|(name, az)| view(name, "ice", az));
    fleet.update(&mirror(views), |_| None);
    fleet.pool("ice").unwrap()
}

impl Queue {
    /// Returns the next call if one can be sent without a permit.
    pub(super) fn next_call(
        &mut self,
        pool: &Pool,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Option<NextCall> {
        match self.next_step(pool, reachable, now) {
            NextStep::Call(next) => Some(next),
            NextStep::RequestPermit(_) | NextStep::Wait => None,
        }
    }
}

pub(super) fn queue() -> Queue {
    let mut queue = Queue::new(None);
    queue.set_capacity(&Capacity {
        slots: Some(1),
        batch: Some(BatchCapacity {
            max_items: 4,
            call_overhead: Duration::from_millis(200),
            item_duration: Duration::from_millis(20),
            result_capacity_bytes: SPACE_BYTES,
            result_retention: Duration::from_secs(4),
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
        result_bytes: SPACE_BYTES,
        crossing_bytes: 0,
        remaining: Duration::from_secs(20),
        urgency: 0,
        due_ms: 1_000,
        az: "a".to_owned(),
        wants_wait: false,
        flow: None,
    }
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_without_free_space_is_retried_with_growing_delay() {
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
        queue.record_no_capacity("i-1", SPACE_BYTES, Instant::now());
        queue.requeue(next.jobs[0].clone());
    }
    assert_eq!(pauses, [0, 240, 480, 960, 960]);
}

/// Endpoints hold results of other gates. Items with results much smaller than the space must not
/// probe an endpoint call by call.
#[tokio::test(start_paused = true)]
async fn an_endpoint_without_space_for_a_small_result_is_not_retried_at_once() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let small = Submission {
        result_bytes: SPACE_BYTES / 100,
        ..submission()
    };
    queue
        .enqueue(small, &pool, &reachable, Instant::now())
        .unwrap();
    let next = queue.next_call(&pool, &reachable, Instant::now()).unwrap();
    let outcome = BatchOutcome::Answered(vec![Err(ItemFailure::NoCapacity)]);
    queue.record_outcome(&next, next.expected, &outcome, Instant::now());
    queue.record_no_capacity("i-1", SPACE_BYTES / 100, Instant::now());
    queue.requeue(next.jobs[0].clone());
    let again = queue.next_call(&pool, &reachable, Instant::now());
    assert!(again.is_none());
}

/// Returns how long an item of zone a with `crossing_bytes` that is due in `due_ms` waits while the
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
async fn items_wait_for_their_zone_in_proportion_to_their_bytes() {
    // A call of four items takes 280 ms.
    assert_eq!(waits_ms(3_000_000, 1_000).await, 280);
    assert_eq!(waits_ms(1_000_000, 1_000).await, 140);
    assert_eq!(waits_ms(3_000_000, 400).await, 120, "no more is to spare");
    assert_eq!(waits_ms(0, 1_000).await, 0);
}

/// Items with small results.
pub(super) fn items(items: u32, urgency: u8, left_ms: u64) -> Submission {
    Submission {
        items,
        urgency,
        remaining: Duration::from_millis(left_ms),
        result_bytes: 1,
        ..submission()
    }
}

/// Two classes share a pool. Less urgent requests that a burst of urgent ones delays beyond their
/// deadline fail at once, with time left to be served elsewhere.
#[tokio::test(start_paused = true)]
async fn stages_delayed_past_their_deadline_by_urgent_items_fail_at_once() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let now = Instant::now();
    let mut enqueue = |s| queue.enqueue(s, &pool, &reachable, now).unwrap();
    // A call of four items takes 280 ms. Three such calls fit before the deadline of this stage.
    let plain = enqueue(items(4, 2, 1_200));
    let urgent: Vec<_> = (0..6).map(|_| enqueue(items(4, 0, 5_000))).collect();
    let first = queue.next_call(&pool, &reachable, now).unwrap();
    assert_eq!(first.jobs[0].ticket.id, urgent[0].id);
    assert!(plain.is_closed());
    assert!(urgent.iter().all(|ticket| !ticket.is_closed()));
    let failure = plain.finished().await.unwrap_err();
    assert!(matches!(failure, StageFailure::Crowded { .. }), "{failure}");
}

/// The same load after the less urgent stage has started: its results occupy space already.
#[tokio::test(start_paused = true)]
async fn a_started_stage_is_not_failed_by_a_burst_of_urgent_items() {
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
    // Wait for the next check for late stages.
    sleep(2 * SHED_INTERVAL).await;
    queue.next_call(&pool, &reachable, Instant::now()).unwrap();
    assert!(!plain.is_closed());
}

/// Returns the jobs of a call for `submission` from another queue.
fn other_job(pool: &Pool, submission: Submission) -> Vec<super::Job> {
    let (mut queue, reachable, now) = (queue(), ReachableZones::default(), Instant::now());
    queue.enqueue(submission, pool, &reachable, now).unwrap();
    queue.next_call(pool, &reachable, now).unwrap().jobs
}

/// An endpoint repeats a response late on a reused connection. No item may get the results of
/// another one.
#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_response_is_detected_by_its_handles() {
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
    // The same item, produced again, may have the same handle.
    assert!(!queue.is_stale_copy(&next.jobs, &first));
    // The copy is detected for as long as the result could have been held, even after its release.
    queue.release("h-1");
    assert!(queue.is_stale_copy(&other, &first));
    assert!(!queue.is_stale_copy(&other, &results(&["h-2"])));
    assert!(!queue.is_stale_copy(&other, &[Err(ItemFailure::NoCapacity)]));
    sleep(Duration::from_secs(5)).await;
    queue.next_call(&pool, &reachable, Instant::now());
    assert!(!queue.is_stale_copy(&other, &first));
}

#[tokio::test(start_paused = true)]
async fn a_call_reports_what_limited_its_size() {
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
    assert_eq!(bound(9, SPACE_BYTES / 2), Bound::Room);
}

/// Completes `next` with a result for each item but the last `capacity_misses` ones.
fn end(queue: &mut Queue, next: &super::NextCall, capacity_misses: usize, took: Duration) {
    let produced = next.jobs.len() - capacity_misses;
    let handle = || format!("h-{}", rand::random::<u64>());
    let results = (0..next.jobs.len()).map(|n| match n < produced {
        true => Ok(handle()),
        false => Err(ItemFailure::NoCapacity),
    });
    let outcome = BatchOutcome::Answered(results.collect());
    queue.record_outcome(next, took, &outcome, Instant::now());
}

/// A caller names the number of items, so a stage that no pool could complete must not take memory.
#[tokio::test(start_paused = true)]
async fn a_stage_of_more_items_than_can_be_completed_in_time_is_refused() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a"), ("i-2", "b")]));
    let reachable = ReachableZones::default();
    // A call of four items takes 280 ms, and each endpoint runs one at a time.
    let mut is_accepted = |items_count, left_ms| {
        let stage = items(items_count, 0, left_ms);
        let enqueued = queue.enqueue(stage, &pool, &reachable, Instant::now());
        enqueued.map(|ticket| queue.remove_stage(&ticket)).is_ok()
    };
    assert!(is_accepted(8, 280));
    assert!(!is_accepted(9, 280));
    assert!(is_accepted(16, 560));
    assert!(!is_accepted(17, 560));
    assert!(!is_accepted(u32::MAX, 3_600_000));
}

/// Inputs are released early only if the call will most likely succeed. Nothing is known of a new
/// endpoint, a slow one has other calls ahead, and a pool that runs out of space returns items.
#[tokio::test(start_paused = true)]
async fn inputs_are_released_early_only_if_the_call_will_likely_succeed() {
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

/// The collecting gate shuts down in a burst: waiting stages move to the next gate, started ones
/// are completed here.
#[tokio::test(start_paused = true)]
async fn a_leaving_gate_hands_over_stages_that_have_not_started() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let reachable = ReachableZones::default();
    let now = Instant::now();
    let mut enqueue = || {
        queue
            .enqueue(items(4, 0, 60_000), &pool, &reachable, now)
            .unwrap()
    };
    let (first, second) = (enqueue(), enqueue());
    let next = queue.next_call(&pool, &reachable, now).unwrap();
    queue.hand_over();
    assert_eq!(second.finished().await, Err(StageFailure::Moved));
    assert!(!first.is_closed() && queue.is_empty());
    // A requeued item of the first stage is still processed here.
    queue.requeue(next.jobs[0].clone());
    queue.hand_over();
    assert_eq!(queue.waiting(), 1);
}

/// Makes the only endpoint of `pool` name a request rate.
fn name_rate(pool: &Pool, per_second: f64) {
    let rate = membership::ObservedRate {
        per_second: Some(per_second),
        observed_at: Instant::now(),
    };
    pool.targets[0].record_rate(rate, "gate-1");
}

/// All endpoints of a pool name a request rate. What they can do in time waits for it, and the rest
/// is refused at once with a time to come back.
#[tokio::test(start_paused = true)]
async fn items_wait_for_the_rate_of_their_endpoints_as_long_as_they_can_be_in_time() {
    let (mut queue, pool) = (queue(), pool(&[("i-1", "a")]));
    let (reachable, now) = (ReachableZones::default(), Instant::now());
    name_rate(&pool, 0.5);
    let permits = || &pool.targets[0];
    permits()
        .stats()
        .permits
        .refuse(now + Duration::from_secs(2));
    let mut due_ms = 0;
    let mut small = || {
        due_ms += 1;
        Submission {
            result_bytes: 1,
            remaining: Duration::from_secs(9),
            items: 4,
            due_ms,
            ..submission()
        }
    };
    // Half a call a second: each waits for two seconds for each call before it.
    let mut enqueue = || queue.enqueue(small(), &pool, &reachable, now).map(drop);
    let accepted = (0..20).take_while(|_| enqueue().is_ok()).count();
    assert!((3..=5).contains(&accepted), "{accepted}");
    let Err(StageFailure::Crowded { retry_after }) = enqueue() else {
        panic!("it can't be done in time");
    };
    assert!(retry_after > Duration::from_secs(5));
    assert!(matches!(
        queue.next_step(&pool, &reachable, now),
        NextStep::Wait
    ));
    // Once the refusal is over, a permit is requested, once at a time, and used for a full call.
    let later = now + Duration::from_secs(2);
    let NextStep::RequestPermit(target) = queue.next_step(&pool, &reachable, later) else {
        panic!("the call needs a permit");
    };
    target.stats().permits.start_request();
    assert!(matches!(
        queue.next_step(&pool, &reachable, later),
        NextStep::Wait
    ));
    target.stats().permits.end_request();
    target.stats().permits.grant(1, later, later);
    let NextStep::Call(next) = queue.next_step(&pool, &reachable, later) else {
        panic!("the call is permitted");
    };
    assert_eq!(next.jobs.len(), 4);
}

/// Guards against overflows on submissions of other gates with absurd numbers: they are queued or
/// refused, and the next one gets its call.
#[tokio::test(start_paused = true)]
async fn submissions_with_absurd_numbers_are_queued_or_refused() {
    let pool = pool(&[("ice-1", "rockland")]);
    let reachable = ReachableZones::default();
    let odd = [
        Submission {
            remaining: Duration::MAX,
            ..submission()
        },
        Submission {
            remaining: Duration::MAX,
            items: u32::MAX,
            ..submission()
        },
        Submission {
            due_ms: i64::MAX,
            urgency: u8::MAX,
            ..submission()
        },
        Submission {
            due_ms: i64::MIN,
            ..submission()
        },
        Submission {
            items: 4,
            result_bytes: u64::MAX,
            crossing_bytes: u64::MAX,
            stage: usize::MAX,
            ..submission()
        },
    ];
    let mut queue = queue();
    for submission in odd {
        let now = Instant::now();
        sleep(Duration::from_millis(1)).await;
        // Either outcome is right.
        let _ = queue.enqueue(submission, &pool, &reachable, now);
        while queue.next_call(&pool, &reachable, now).is_some() {}
    }
    let mut queue = self::queue();
    let now = Instant::now();
    queue.enqueue(submission(), &pool, &reachable, now).unwrap();
    assert!(queue.next_call(&pool, &reachable, now).is_some());
}

/// Guards against late calls that are given up although their items have no endpoint, try or retry
/// left, and against waits for those that have.
#[tokio::test(start_paused = true)]
async fn late_call_is_given_up_only_if_its_items_can_run_elsewhere() {
    let (alone, both) = (pool(&[("i-1", "a")]), pool(&[("i-1", "a"), ("i-2", "a")]));
    let (mut queue, reachable, now) = (queue(), ReachableZones::default(), Instant::now());
    let budget = |reserve| {
        RetryBudget::new(RetryBudgetConfig {
            reserve,
            ..RetryBudgetConfig::default()
        })
    };
    let (full, short) = (budget(4.0), budget(3.0));
    let ticket = queue.enqueue(items(4, 0, 60_000), &alone, &reachable, now);
    let ticket = ticket.unwrap();
    let mut next = queue.next_call(&alone, &reachable, now).unwrap();
    let may =
        |next: &NextCall, pool, budget| queue.may_give_up(next, pool, &reachable, budget, now);
    assert!(may(&next, Some(&both), &full));
    assert!(!may(&next, Some(&alone), &full), "no other endpoint");
    assert!(!may(&next, None, &full), "no pool");
    assert!(!may(&next, Some(&both), &short), "a retry too few");
    next.jobs[0] = next.jobs[0].next_try().unwrap();
    assert!(may(&next, Some(&both), &full));
    next.jobs[0] = next.jobs[0].next_try().unwrap();
    assert!(!may(&next, Some(&both), &full), "no try left");
    ticket.cancel();
    assert!(may(&next, Some(&alone), &short), "no caller left");
}

/// Guards against batched items that are sent to an endpoint of an evacuated zone, or that wait for
/// one.
#[tokio::test(start_paused = true)]
async fn items_avoid_evacuated_zones() {
    let fleet = Fleet::default();
    let views = [view("i-1", "ice", "a"), view("i-2", "ice", "b")];
    fleet.update(&mirror(views), |_| None);
    let pool = fleet.pool("ice").unwrap();
    let (mut queue, now) = (queue(), Instant::now());
    fleet.set_evacuated(1, vec!["a".to_owned()]);
    let reachable = fleet.reachable();
    for _ in 0..4 {
        queue.enqueue(submission(), &pool, &reachable, now).unwrap();
    }
    let next = queue.next_call(&pool, &reachable, now).unwrap();
    assert_eq!(next.target.name, "i-2");
    // The items that are left wait, although the other endpoint is idle.
    assert!(queue.next_call(&pool, &reachable, now).is_none());
    fleet.set_evacuated(2, vec!["a".to_owned(), "b".to_owned()]);
    let refused = queue.enqueue(submission(), &pool, &fleet.reachable(), now);
    assert_eq!(refused.unwrap_err(), StageFailure::Evacuated);
    fleet.set_evacuated(3, Vec::new());
    let next = queue.next_call(&pool, &fleet.reachable(), now).unwrap();
    assert_eq!(next.target.name, "i-1");
}
