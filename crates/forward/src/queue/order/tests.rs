use std::{collections::BTreeMap, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    batch_outcome::BatchOutcome,
    fleet::ReachableZones,
    messages::Submission,
    queue::{
        Queue,
        tests::{items, pool, queue},
    },
};

/// Time of a call of four items, in milliseconds.
const CALL_MS: u64 = 280;

/// Serves `rounds` calls of one endpoint while each flow submits its number of stages before each of
/// them. Returns the called items by flow.
async fn serve(mut queue: Queue, arrivals: &[(u64, usize)], rounds: u64) -> BTreeMap<u64, usize> {
    let (pool, reachable) = (pool(&[("i-1", "a")]), ReachableZones::default());
    let mut called = BTreeMap::new();
    for round in 0..rounds {
        let flows = arrivals.iter();
        for (flow, n) in flows.flat_map(|(flow, stages)| (0..*stages).map(move |n| (*flow, n))) {
            let stage = Submission {
                request: format!("r{flow}-{round}-{n}"),
                flow: Some(flow),
                urgency: flow as u8,
                ..items(4, 0, 12 * CALL_MS)
            };
            // A full pool refuses some.
            let _ = queue.enqueue(stage, &pool, &reachable, Instant::now());
        }
        let Some(next) = queue.next_call(&pool, &reachable, Instant::now()) else {
            panic!("the endpoint is free and items wait");
        };
        for job in &next.jobs {
            *called.entry(job.ticket.submission.flow()).or_default() += 1;
        }
        sleep(Duration::from_millis(CALL_MS)).await;
        let outcome = BatchOutcome::NotRun;
        queue.record_outcome(&next, next.expected, &outcome, Instant::now());
    }
    called
}

/// Guards against a burst of one kind that starves the others, against floors that leave endpoints
/// unused, and against a kind that is served less often than a less urgent one.
#[tokio::test(start_paused = true)]
async fn a_burst_of_one_kind_leaves_the_others_their_floors() {
    let arrivals = [(0, 5), (1, 1), (2, 1)];
    let rounds = 120;
    let without = serve(queue(), &arrivals, rounds).await;
    let mut fair = queue();
    fair.use_shares();
    let with = serve(fair, &arrivals, rounds).await;
    let total = |called: &BTreeMap<u64, usize>| called.values().sum::<usize>();
    assert_eq!(total(&with), total(&without), "{with:?}, {without:?}");
    let floor = total(&with) / 6;
    // The first calls are made before stages wait for longer than their deadline.
    let tolerance = 4 * 4;
    for flow in [1, 2] {
        let served = with.get(&flow).copied().unwrap_or_default();
        assert!(served + tolerance >= floor, "{with:?}, before {without:?}");
    }
    assert!(with[&0] >= with[&1] && with[&0] >= with[&2], "{with:?}");
    let least = without.get(&2).copied().unwrap_or_default();
    assert!(least < floor / 2, "the load is no burst: {without:?}");
}
