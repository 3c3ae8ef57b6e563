use std::collections::BTreeMap;

use super::{FairShare, FairShares, WaitingStage, count_flows};

/// Items of one stage.
const ITEMS: u32 = 4;
/// Rounds after which a waiting stage is refused.
const PATIENCE: usize = 20;

/// Serves `rounds` rounds in which the pool calls `capacity` stages and each flow (first the most
/// urgent one) submits its number of stages. Returns the stages served by flow.
fn serve(arrivals: &[(u64, usize)], capacity: usize, rounds: usize) -> BTreeMap<u64, usize> {
    let mut shares = FairShare::default();
    let mut waiting: Vec<(usize, WaitingStage)> = Vec::new();
    let mut served = BTreeMap::new();
    for round in 0..rounds {
        for (flow, stages) in arrivals {
            if *stages > 0 && !waiting.iter().any(|(_, stage)| stage.flow == *flow) {
                shares.activate(*flow);
            }
            let stage = WaitingStage {
                flow: *flow,
                items: ITEMS,
                has_started: false,
            };
            waiting.extend(vec![(round, stage); *stages]);
        }
        waiting.retain(|(since, _)| round < since + PATIENCE);
        waiting.sort_by_key(|(since, stage)| (stage.flow, *since));
        let stages: Vec<WaitingStage> = waiting.iter().map(|(_, stage)| *stage).collect();
        let order = shares.order(&stages);
        let mut called: Vec<usize> = order.into_iter().take(capacity).collect();
        for index in &called {
            shares.start(stages[*index].flow, ITEMS, count_flows(&stages));
            shares.advance(ITEMS);
            *served.entry(stages[*index].flow).or_default() += 1;
        }
        called.sort_unstable();
        for index in called.into_iter().rev() {
            waiting.remove(index);
        }
    }
    served
}

/// Guards against a large workspace that pushes others below half of their equal share, whether its
/// requests are more or less urgent than theirs.
#[test]
fn no_flow_gets_less_than_its_floor() {
    for large in 0..4 {
        let arrivals: Vec<(u64, usize)> = (0..4)
            .map(|flow| (flow, if flow == large { 100 } else { 4 }))
            .collect();
        let served = serve(&arrivals, 10, 400);
        assert_eq!(served.values().sum::<usize>(), 4_000, "{served:?}");
        let least = served.values().min().copied();
        // Half of an equal share of 1,000 stages; the last round may be short of one stage.
        assert!(least >= Some(499), "large {large}: {served:?}");
    }
}

/// Guards against floors that leave capacity unused or refuse flows that ask for less than it.
#[test]
fn unused_shares_go_to_the_others() {
    let served = serve(&[(0, 1), (1, 30), (2, 0)], 10, 200);
    assert_eq!((served[&0], served[&1]), (200, 1_800));
    let alone = serve(&[(7, 30)], 10, 200);
    assert_eq!(alone[&7], 2_000);
}

/// Guards against a kind that is served less often than a less urgent one.
#[test]
fn more_urgent_flows_are_served_at_least_as_often() {
    for arrivals in [[10, 10, 10], [5, 10, 20], [20, 10, 5], [3, 30, 3]] {
        let flows: Vec<(u64, usize)> = (0..3).zip(arrivals).collect();
        let served = serve(&flows, 10, 400);
        for (urgent, other) in [(0, 1), (1, 2)] {
            let asked = 400 * arrivals[urgent as usize];
            let is_satisfied = served[&urgent] + 30 * PATIENCE >= asked;
            assert!(
                is_satisfied || served[&urgent] >= served[&other],
                "{arrivals:?}: {served:?}"
            );
        }
    }
}

/// Guards against a flow that used idle capacity and gets nothing afterwards, and against one that
/// saved up its share while it was idle.
#[test]
fn shares_are_neither_owed_nor_saved_up() {
    let mut shares = FairShare::default();
    let stage = |flow| WaitingStage {
        flow,
        items: ITEMS,
        has_started: false,
    };
    shares.activate(2);
    for _ in 0..1_000 {
        shares.start(2, ITEMS, 1);
        shares.advance(ITEMS);
    }
    shares.activate(1);
    let waiting: Vec<WaitingStage> = [vec![stage(1); 40], vec![stage(2); 40]].concat();
    let order = shares.order(&waiting);
    let among_first = order.iter().take(20).filter(|n| **n >= 40).count();
    assert!((4..=6).contains(&among_first), "a quarter: {among_first}");
}

/// Guards against stages that hold results of their first items while others start.
#[test]
fn started_stages_come_first_and_each_stage_once() {
    let stages = |n: u64| WaitingStage {
        flow: n % 3,
        items: 1 + n as u32 % 5,
        has_started: n % 7 == 6,
    };
    let waiting: Vec<WaitingStage> = (0..30).map(stages).collect();
    let order = FairShare::default().order(&waiting);
    assert!(order[..4].iter().all(|n| waiting[*n].has_started));
    let mut sorted = order;
    sorted.sort_unstable();
    assert_eq!(sorted, (0..30).collect::<Vec<_>>());
}

/// Guards against a deployment without the setting that is served in another way than before.
#[test]
fn the_default_is_off() {
    assert_eq!(FairShares::parse(None), Ok(FairShares::Off));
    let workspaces = FairShares::parse(Some("workspaces"));
    assert_eq!(workspaces, Ok(FairShares::Workspaces));
    let fault = FairShares::parse(Some("on")).unwrap_err();
    assert!(fault.contains("off or workspaces"));
}
