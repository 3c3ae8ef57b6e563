//! Tests of stages that start, complete and lose their results.

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

/// Completes stage `number` and returns a weak reference to its results.
fn finish(graph: &mut StageGraph<'_, usize>, number: usize) -> std::sync::Weak<usize> {
    let results = Arc::new(number);
    let watched = Arc::downgrade(&results);
    graph.finish(number, Some(results));
    watched
}

#[test]
fn results_are_released_once_no_stage_needs_them() {
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
    // Stage 2 releases its inputs early because its endpoint has fetched them.
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

/// An endpoint fails together with the results that it holds after later stages have started.
#[test]
fn only_stages_before_a_lost_input_run_again() {
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
    fn each_stage_starts_once_with_all_its_inputs(
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
