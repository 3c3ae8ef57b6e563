//! Stages of one request that begin, end and lose their results.

use std::sync::Arc;

use declaration::RouteStage;
use proptest::prelude::*;

use super::StageGraph;

fn stage(after: &[usize]) -> RouteStage {
    RouteStage {
        service: "ice".to_owned(),
        after: after.to_vec(),
        result_bytes: 1,
    }
}

/// Ends stage `number` with results of its own, and returns how these are watched.
fn finish(graph: &mut StageGraph<'_, usize>, number: usize) -> std::sync::Weak<usize> {
    let results = Arc::new(number);
    let watched = Arc::downgrade(&results);
    graph.finish(number, Some(results));
    watched
}

#[test]
fn results_are_kept_no_longer_than_the_stages_that_need_them() {
    let stages = [stage(&[]), stage(&[0]), stage(&[0]), stage(&[1, 2])];
    let mut graph = StageGraph::new(&stages);
    assert_eq!(graph.start_next().unwrap().0, 0);
    assert!(graph.start_next().is_none());
    let first = finish(&mut graph, 0);
    let (one, inputs) = graph.start_next().unwrap();
    assert_eq!((one, inputs.len()), (1, 1));
    drop(inputs);
    assert!(first.upgrade().is_some(), "stage 2 has yet to begin");
    let (two, inputs) = graph.start_next().unwrap();
    assert_eq!((two, inputs.len()), (2, 1));
    // Stage 2 gives them up before its end, as its endpoint has them.
    drop(inputs);
    assert!(first.upgrade().is_none());
    finish(&mut graph, 1);
    assert!(graph.start_next().is_none());
    finish(&mut graph, 2);
    assert_eq!(graph.start_next().unwrap().1.len(), 2);
    finish(&mut graph, 3);
    let last: Vec<usize> = graph.into_results().iter().map(|r| **r).collect();
    assert_eq!(last, [3]);
}

/// An endpoint goes with the results that it keeps after stages behind them have started.
#[test]
fn stages_before_a_lost_input_are_done_once_more_and_no_others() {
    let stages = [stage(&[]), stage(&[0]), stage(&[1]), stage(&[])];
    let mut graph = StageGraph::new(&stages);
    let started: Vec<usize> = std::iter::from_fn(|| graph.start_next())
        .map(|b| b.0)
        .collect();
    assert_eq!(started, [0, 3]);
    finish(&mut graph, 0);
    finish(&mut graph, 3);
    assert_eq!(graph.start_next().unwrap().0, 1);
    finish(&mut graph, 1);
    assert_eq!(graph.start_next().unwrap().0, 2);
    graph.restart(2);
    let mut again = Vec::new();
    while let Some((number, _)) = graph.start_next() {
        again.push(number);
        finish(&mut graph, number);
    }
    assert_eq!(again, [0, 1, 2]);
    assert_eq!(graph.into_results().len(), 2);
}

proptest! {
    #[test]
    fn each_stage_begins_once_with_all_that_it_needs(
        edges in prop::collection::vec(prop::collection::vec(any::<bool>(), 0..6), 1..7),
        ends in prop::collection::vec(any::<prop::sample::Index>(), 8),
    ) {
        let stages: Vec<RouteStage> = edges
            .iter()
            .enumerate()
            .map(|(n, row)| {
                let after: Vec<usize> = (0..n).filter(|b| row.get(*b) == Some(&true)).collect();
                stage(&after)
            })
            .collect();
        let mut graph = StageGraph::new(&stages);
        let (mut running, mut started) = (Vec::new(), Vec::new());
        let mut ends = ends.iter().cycle();
        loop {
            while let Some((number, inputs)) = graph.start_next() {
                let inputs: Vec<usize> = inputs.iter().map(|r| **r).collect();
                prop_assert_eq!(&inputs, &stages[number].after);
                running.push(number);
                started.push(number);
            }
            if running.is_empty() {
                break;
            }
            let at = ends.next().unwrap().index(running.len());
            finish(&mut graph, running.remove(at));
        }
        started.sort_unstable();
        prop_assert_eq!(started, (0..stages.len()).collect::<Vec<_>>());
    }
}
