use std::time::Duration;

use tokio::time::Instant;

use super::{
    Announced, Announcement, GraphEstimate, PoolWaits, StageAdmission, StageEstimate, retry_after,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Stages of the given predecessors, waits and durations in milliseconds, before a request of 300 ms.
fn graph<'a>(stages: &[(&'a [usize], u64, u64)], remaining: u64) -> GraphEstimate<'a> {
    let estimate = |(after, wait, duration): &(&'a [usize], u64, u64)| StageEstimate {
        after,
        wait: ms(*wait),
        duration: ms(*duration),
    };
    GraphEstimate {
        stages: stages.iter().map(estimate).collect(),
        request_time: ms(300),
        remaining: ms(remaining),
    }
}

/// Guards against stages that are started although a later pool can't be passed in time, and against
/// refusals of requests that can.
#[test]
fn a_full_later_pool_refuses_before_the_first_stage() {
    let stages: &[(&[usize], u64, u64)] = &[(&[], 0, 200), (&[0], 2_500, 400)];
    let late = graph(stages, 3_000).admit().unwrap_err();
    assert_eq!((late.stage, late.wait), (1, ms(2_500)));
    assert_eq!(late.excess, ms(200));
    // The queue moves on while the first stage runs.
    assert_eq!(graph(stages, 3_200).admit(), Ok(()));
}

/// Guards against waits of parallel stages that are added up.
#[test]
fn only_the_critical_path_counts() {
    let stages: &[(&[usize], u64, u64)] =
        &[(&[], 900, 200), (&[], 900, 300), (&[0, 1], 1_500, 400)];
    assert_eq!(graph(stages, 2_200).admit(), Ok(()));
    assert_eq!(graph(stages, 2_199).admit().unwrap_err().excess, ms(1));
    let submitted = graph(stages, 2_200).submitted_in();
    assert_eq!(submitted, [ms(0), ms(0), ms(1_200)]);
    // A stage without items neither takes time nor waits.
    let absurd = GraphEstimate {
        stages: vec![StageEstimate {
            after: &[9],
            wait: Duration::MAX,
            duration: Duration::MAX,
        }],
        ..graph(&[], 600)
    };
    assert!(absurd.is_suspect() && absurd.admit().is_err());
    let skipped: &[(&[usize], u64, u64)] = &[(&[], 0, 200), (&[0], 60_000, 0)];
    assert_eq!(graph(skipped, 600).admit(), Ok(()));
}

/// Guards against refusals without a full pool: a request that is late by itself is left to the
/// deadline checks that exist without this module.
#[test]
fn a_request_is_refused_only_for_a_wait() {
    let stages: &[(&[usize], u64, u64)] = &[(&[], 0, 200), (&[0], 0, 400)];
    assert_eq!(graph(stages, 1).admit(), Ok(()));
    assert!(!graph(stages, 1).is_suspect());
    assert_eq!(graph(&[], 1).admit(), Ok(()));
    let stages: &[(&[usize], u64, u64)] = &[(&[], 100, 200), (&[0], 0, 400)];
    assert!(!graph(stages, 2_000).is_suspect());
    assert!(graph(stages, 1_999).is_suspect());
}

/// Guards against refusals because of old reports, and against waits of less urgent items that hold up
/// more urgent ones.
#[tokio::test(start_paused = true)]
async fn reported_waits_age_and_hold_for_equally_or_less_urgent_items() {
    let (mut waits, now) = (PoolWaits::default(), Instant::now());
    waits.record("ice", "a", 3, ms(2_000), now);
    let at = |waits: &PoolWaits, urgency, age| waits.expected("ice", "a", urgency, now + ms(age));
    assert_eq!(at(&waits, 3, 250), ms(2_000));
    assert_eq!(at(&waits, 3, 625), ms(1_000));
    assert_eq!(at(&waits, 3, 1_000), ms(0));
    assert_eq!((at(&waits, 2, 0), at(&waits, 4, 0)), (ms(0), ms(2_000)));
    assert_eq!(waits.expected("ice", "b", 3, now), ms(0));
    waits.record("ice", "a", 3, ms(500), now + ms(100));
    assert_eq!(at(&waits, 3, 100), ms(500));
    waits.record("snow", "a", 3, ms(500), now + ms(1_100));
    assert_eq!(waits.pools(), 1, "the old one is forgotten");
    // An absurd wait from another gate does not overflow.
    waits.record("snow", "a", 0, Duration::MAX, now + ms(1_100));
    let absurd = waits.expected("snow", "a", 0, now + ms(1_100));
    assert!(absurd >= Duration::from_mins(1));
}

/// Guards against announcements that count for ever, or twice.
#[tokio::test(start_paused = true)]
async fn announced_items_count_until_they_arrive_or_expire() {
    let (mut announced, now) = (Announced::default(), Instant::now());
    let items = |position, items, left| Announcement {
        position,
        urgency: 0,
        flow: 0,
        items,
        expires_at: now + ms(left),
    };
    announced.add(1, items(100, 8, 500));
    announced.add(2, items(200, 4, 900));
    announced.add(2, items(200, 4, 900));
    assert_eq!(announced.ahead(100), 0);
    assert_eq!(announced.ahead(300), 12);
    announced.remove(1);
    announced.expire(now + ms(899));
    assert_eq!(announced.ahead(300), 4);
    announced.expire(now + ms(900));
    assert_eq!(announced.ahead(300), 0);
    assert!(announced.is_empty());
}

/// Guards against callers that return together, before there is capacity, or never because they were
/// told a time beyond that for which they wait.
#[test]
fn retries_are_spread_over_the_time_for_which_callers_wait() {
    let at = |free_after, random| retry_after(ms(free_after), ms(3_000), random);
    assert_eq!((at(200, 0.0), at(200, 1.0)), (ms(200), ms(1_000)));
    assert_eq!((at(5_000, 0.0), at(5_000, 0.5)), (ms(500), ms(750)));
    assert_eq!(retry_after(ms(400), ms(0), 0.7), ms(0));
}

/// Guards against a deployment without the setting that is served in another way than before.
#[test]
fn the_default_is_admission_by_pool() {
    assert_eq!(StageAdmission::parse(None), Ok(StageAdmission::Pool));
    let graph = StageAdmission::parse(Some("graph"));
    assert_eq!(graph, Ok(StageAdmission::Graph));
    assert!(
        StageAdmission::parse(Some("on"))
            .unwrap_err()
            .contains("pool or graph")
    );
}
